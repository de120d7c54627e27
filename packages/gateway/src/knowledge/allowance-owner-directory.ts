/**
 * Which host keeps the allowance of which workspace, and which stands in for it, from the hosts listed
 * now. Every host works out the same without a message; a host that is killed gets its workspaces back
 * when it returns.
 */
import type { HostId, WorkspaceId } from '@gladespool/coordination';
import { rankCandidates, topCandidates } from '@gladespool/coordination';
import type { GatewayBoard } from './board.js';
import { BoardSection } from './board.js';

/**
 * Hosts for each keeper. Every operation asks once, so a keeper answers for eight hosts' operations: some
 * 2 % of a core at the ten operations a second of a small host, and a host holds few links to keepers.
 */
const HOSTS_PER_OWNER = 8;
/** Keepers at least, so that the loss of one concerns a part of the workspaces only. */
const MIN_OWNERS = 3;

/** Keepers as this host sees them. */
export class AllowanceOwnerDirectory {
  private keepers: readonly HostId[] = [];
  private readonly byWorkspace = new Map<WorkspaceId, readonly HostId[]>();
  /** Local time since which the keepers are the present ones. */
  unchangedSince: number;

  constructor(
    private readonly board: GatewayBoard,
    startedAt: number,
  ) {
    this.unchangedSince = startedAt;
    board.onChange(BoardSection.Hosts, () => {
      this.review(performance.now());
    });
  }

  /**
   * The host that keeps the allowance of a workspace, and one of another zone that stands in for it; none
   * while no host is listed.
   */
  ownersOf(workspace: WorkspaceId): readonly HostId[] {
    const held = this.byWorkspace.get(workspace);
    if (held !== undefined) return held;
    const [keeper, ...others] = rankCandidates(`allowance|${workspace}`, this.keepers);
    if (keeper === undefined) return [];
    const { hosts } = this.board;
    const zone = hosts.get(keeper)?.az;
    const standIn = others.find((host) => hosts.get(host)?.az !== zone) ?? others[0];
    const keepers = standIn === undefined ? [keeper] : [keeper, standIn];
    this.byWorkspace.set(workspace, keepers);
    return keepers;
  }

  private review(now: number): void {
    const hosts = [...this.board.hosts.keys()];
    const count = Math.max(MIN_OWNERS, Math.ceil(hosts.length / HOSTS_PER_OWNER));
    const keepers = topCandidates('allowances', hosts, count);
    if (keepers.join() === this.keepers.join()) return;
    this.keepers = keepers;
    this.byWorkspace.clear();
    this.unchangedSince = now;
  }
}
