/**
 * Which hosts are homes of a group, from the hosts listed now.
 */
import type {
  AzId,
  Distance,
  GroupId,
  HomePlan,
  HostId,
  UpstreamCapacity,
  WorkspaceId,
} from '@gladespool/coordination';
import {
  dedicatedConnections,
  homesNear,
  homesOfWorkspace,
  hostsByZone,
  isNearUpstreams,
  planHomes,
  planNearHomes,
  rankCandidates,
  spareConnections,
  usableConnections,
} from '@gladespool/coordination';
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
    const plan = this.makePlan(group);
    this.plans.set(group, plan);
    return plan;
  }

  /**
   * Homes stand near the upstreams where zones lie in several regions, and where connections serve one
   * workspace each; else each zone has its own.
   */
  private makePlan(group: GroupId): HomePlan {
    const { topology } = this.board;
    const room = this.room(group);
    const even = planHomes(group, this.zones, room);
    const upstreamZones = new Set(this.board.upstreamsOf(group).map((entry) => entry.az));
    const { isDedicated } = even;
    if (upstreamZones.size === 0 || !(isDedicated || topology.isMultiRegion)) return even;
    const usable = isDedicated ? dedicatedConnections(room) : usableConnections(room);
    const farUsable = isDedicated ? 0 : spareConnections(room);
    const near = { group, upstreamZones, usable, farUsable, isDedicated };
    return planNearHomes(near, this.zones, topology);
  }

  private room(group: GroupId): UpstreamCapacity {
    const connections = this.board.catalog?.groups.get(group)?.connectionsPerUpstream ?? 1;
    const slots = this.board.upstreamsOf(group).map((entry) => entry.slots);
    const workspaces = this.board.catalog?.workspaces.size ?? 0;
    return { connections, slots: Math.max(1, ...slots), workspaces };
  }

  /** Whether this host holds connections of the group; a host that is not listed yet does. */
  isHome(group: GroupId): boolean {
    const { board } = this;
    if (!board.hosts.has(board.host)) return true;
    const plan = this.plan(group);
    return plan.homes.get(board.az)?.includes(board.host) ?? !isNearUpstreams(plan);
  }

  /**
   * Homes to ask for a workspace's work before this host does it itself, in order. A home asks
   * none, except where homes stand near the upstreams: there it asks those nearer to the work.
   * Where connections are bound to workspaces, a host that is no home has hardly any of them, so homes of
   * other zones come before it.
   *
   * @param onlyPrimary whether the primary alone can run it
   */
  preferredHomes(
    group: GroupId,
    workspace: WorkspaceId | undefined,
    onlyPrimary: boolean,
  ): readonly HostId[] {
    const plan = this.plan(group);
    if (isNearUpstreams(plan)) {
      return onlyPrimary ? this.homesOfPrimary(group) : this.homesNearer(plan, this.board.az);
    }
    if (this.isHome(group)) return [];
    const near = this.homesInZone(group, this.board.host);
    if (workspace === undefined || !plan.isDedicated) return near;
    const all = homesOfWorkspace(plan, group, workspace);
    return [...near, ...all.filter((host) => !near.includes(host))];
  }

  /** Homes in the order in which this host asks them for work that only the primary does. */
  homesOfPrimary(group: GroupId): readonly HostId[] {
    const { board } = this;
    const plan = this.plan(group);
    const record = board.record(group);
    const primary = record && board.upstreams.get(record.primary);
    return primary === undefined ? [] : this.homesNearer(plan, primary.az);
  }

  /** Homes in order of distance from `az`: all of them if this host is none, else only those nearer than it. */
  private homesNearer(plan: HomePlan, az: AzId): readonly HostId[] {
    const { host, topology } = this.board;
    const homes = homesNear(plan, az, host, topology);
    const distanceOf = (home: HostId): Distance => this.distance(home, az);
    if (!homes.includes(host)) return homes;
    return homes.filter((home) => distanceOf(home) < distanceOf(host));
  }

  private distance(host: HostId, az: AzId): Distance {
    const { hosts, topology } = this.board;
    return topology.distance(hosts.get(host)?.az ?? az, az);
  }

  /** Homes of the own zone in the order in which `host` asks them, so that hosts spread over them. */
  homesInZone(group: GroupId, host: HostId): readonly HostId[] {
    const homes = this.plan(group).homes.get(this.board.az) ?? [];
    return rankCandidates(`entry|${host}`, homes);
  }

  /** Homes of the other zones in the order in which `host` asks them. */
  homesInOtherZones(group: GroupId, host: HostId): readonly HostId[] {
    const zones = [...this.plan(group).homes].filter(([az]) => az !== this.board.az);
    return rankCandidates(
      `entry|${host}`,
      zones.flatMap(([, homes]) => homes),
    );
  }
}
