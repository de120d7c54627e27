/**
 * Which hosts are homes of a group, from the hosts listed now.
 */
import type {
  AzId,
  GroupId,
  HomePlan,
  HostId,
  UpstreamRoom,
  WorkspaceId,
} from '@gladespool/coordination';
import { homesOfWorkspace, hostsByZone, planHomes, rankCandidates } from '@gladespool/coordination';
import type { GatewayBoard } from './board.js';
import { BoardSection } from './board.js';

/** Homes as this host sees them. */
export class HomeDirectory {
  /** The listed hosts of each zone. */
  zones: ReadonlyMap<AzId, readonly HostId[]> = new Map();
  private plans = new Map<GroupId, HomePlan>();

  constructor(private readonly board: GatewayBoard) {
    const reset = (): void => {
      this.plans = new Map();
    };
    board.onChange(BoardSection.Hosts, () => {
      this.zones = hostsByZone(board.hosts.values());
      reset();
    });
    board.onChange(BoardSection.Catalog, reset);
    board.onChange(BoardSection.Upstreams, reset);
  }

  /** The plan of a group. */
  plan(group: GroupId): HomePlan {
    const held = this.plans.get(group);
    if (held !== undefined) return held;
    const plan = planHomes(group, this.zones, this.room(group));
    this.plans.set(group, plan);
    return plan;
  }

  private room(group: GroupId): UpstreamRoom {
    const connections = this.board.catalog?.groups.get(group)?.connectionsPerUpstream ?? 1;
    const slots = this.board.upstreamsOf(group).map((entry) => entry.slots);
    const workspaces = this.board.catalog?.workspaces.size ?? 0;
    return { connections, slots: Math.max(1, ...slots), workspaces };
  }

  /** Whether this host holds connections of the group; a host that is not listed yet does. */
  isHome(group: GroupId): boolean {
    const { board } = this;
    if (!board.hosts.has(board.host)) return true;
    return this.plan(group).homes.get(board.az)?.includes(board.host) ?? true;
  }

  /**
   * Homes to ask for a workspace's work before this host does it itself, in order; none when it is a home.
   * Where connections are bound to workspaces, a host that is no home has hardly any of them, so homes of
   * other zones come before it.
   */
  homesBefore(group: GroupId, workspace: WorkspaceId | undefined): readonly HostId[] {
    if (this.isHome(group)) return [];
    const plan = this.plan(group);
    const near = this.homesFor(group, this.board.host);
    if (workspace === undefined || !plan.isBound) return near;
    const all = homesOfWorkspace(plan, group, workspace);
    return [...near, ...all.filter((host) => !near.includes(host))];
  }

  /** Homes of the own zone in the order in which `host` asks them, so that hosts spread over them. */
  homesFor(group: GroupId, host: HostId): readonly HostId[] {
    const homes = this.plan(group).homes.get(this.board.az) ?? [];
    return rankCandidates(`entry|${host}`, homes);
  }

  /** Homes of the other zones in the order in which `host` asks them. */
  homesElsewhere(group: GroupId, host: HostId): readonly HostId[] {
    const zones = [...this.plan(group).homes].filter(([az]) => az !== this.board.az);
    return rankCandidates(
      `entry|${host}`,
      zones.flatMap(([, homes]) => homes),
    );
  }
}
