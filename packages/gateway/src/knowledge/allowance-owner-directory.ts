/**
 * The hosts that own the allowance of each workspace, and their substitutes, computed from the listed hosts. Every host
 * computes the same result without messages; a killed host owns the same workspaces again when it returns.
 */
import type { HostId, WorkspaceId } from '@gladespool/coordination';
import { rankCandidates, topCandidates } from '@gladespool/coordination';
import type { GatewayBoard } from './board.js';
import { BoardSection } from './board.js';

/**
 * Hosts for each owner. Every operation sends one request, so an owner replies to the operations of eight hosts: about
 * 2 % of a core at the ten operations a second of a small host, and a host needs links to only a few owners.
 */
const HOSTS_PER_OWNER = 8;
/** Minimum number of owners, so that the loss of one affects only part of the workspaces. */
const MIN_OWNERS = 3;

/** The allowance owners as computed by one host. */
export class AllowanceOwnerDirectory {
  private owners: readonly HostId[] = [];
  private readonly byWorkspace = new Map<WorkspaceId, readonly HostId[]>();
  /** Local time since which the set of owners is unchanged. */
  unchangedSince: number;

  constructor(
    private readonly board: GatewayBoard,
    startedAt: number,
  ) {
    this.unchangedSince = startedAt;
    board.onChange(BoardSection.Hosts, () => {
      this.updateOwners(performance.now());
    });
  }

  /**
   * The host that owns the allowance of a workspace, and a substitute, of another zone if there is one; empty while no
   * host is listed.
   */
  ownersOf(workspace: WorkspaceId): readonly HostId[] {
    const cached = this.byWorkspace.get(workspace);
    if (cached !== undefined) return cached;
    const [owner, ...others] = rankCandidates(`allowance|${workspace}`, this.owners);
    if (owner === undefined) return [];
    const { hosts } = this.board;
    const zone = hosts.get(owner)?.az;
    const substitute = others.find((host) => hosts.get(host)?.az !== zone) ?? others[0];
    const owners = substitute === undefined ? [owner] : [owner, substitute];
    this.byWorkspace.set(workspace, owners);
    return owners;
  }

  private updateOwners(now: number): void {
    const hosts = [...this.board.hosts.keys()];
    const count = Math.max(MIN_OWNERS, Math.ceil(hosts.length / HOSTS_PER_OWNER));
    const owners = topCandidates('allowances', hosts, count);
    if (owners.join() === this.owners.join()) return;
    this.owners = owners;
    this.byWorkspace.clear();
    this.unchangedSince = now;
  }
}
