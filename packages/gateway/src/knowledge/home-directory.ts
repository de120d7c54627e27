/**
 * The homes of each group, that is, the hosts that hold connections to its upstreams, computed from the listed hosts.
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

/** The homes as computed by one host; plans are cached until hosts, catalog or upstreams change. */
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

  /** The placement of a group's homes. */
  plan(group: GroupId): HomePlan {
    const cached = this.plans.get(group);
    if (cached !== undefined) return cached;
    const plan = this.makePlan(group);
    this.plans.set(group, plan);
    return plan;
  }

  /**
   * Homes are placed near the upstreams where zones lie in several regions, and where each connection is dedicated to
   * one workspace; otherwise each zone has its own homes.
   */
  private makePlan(group: GroupId): HomePlan {
    const { topology } = this.board;
    const capacity = this.room(group);
    const zonal = planHomes(group, this.zones, capacity);
    const upstreamZones = new Set(this.board.upstreamsOf(group).map((entry) => entry.az));
    const { isDedicated } = zonal;
    if (upstreamZones.size === 0 || !(isDedicated || topology.isMultiRegion)) return zonal;
    const usable = isDedicated ? dedicatedConnections(capacity) : usableConnections(capacity);
    const farUsable = isDedicated ? 0 : spareConnections(capacity);
    const near = { group, upstreamZones, usable, farUsable, isDedicated };
    return planNearHomes(near, this.zones, topology);
  }

  private room(group: GroupId): UpstreamCapacity {
    const connections = this.board.catalog?.groups.get(group)?.connectionsPerUpstream ?? 1;
    const slots = this.board.upstreamsOf(group).map((entry) => entry.slots);
    const workspaces = this.board.catalog?.workspaces.size ?? 0;
    return { connections, slots: Math.max(1, ...slots), workspaces };
  }

  /** Whether this host holds connections of the group; true also while it is not listed. */
  isHome(group: GroupId): boolean {
    const { board } = this;
    if (!board.hosts.has(board.host)) return true;
    const plan = this.plan(group);
    return plan.homes.get(board.az)?.includes(board.host) ?? !isNearUpstreams(plan);
  }

  /**
   * Homes to which this host forwards a workspace's statements before it runs them itself, in order. A home forwards to
   * none, except where homes are placed near the upstreams: there it forwards to nearer ones. Where connections are
   * dedicated to workspaces, a host that is not a home has hardly any of them, so homes of other zones are tried first.
   *
   * @param onlyPrimary whether only the primary can run the statement
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

  /** Homes in the order in which this host forwards statements to them that only the primary can run. */
  homesOfPrimary(group: GroupId): readonly HostId[] {
    const { board } = this;
    const plan = this.plan(group);
    const record = board.record(group);
    const primary = record && board.upstreams.get(record.primary);
    return primary === undefined ? [] : this.homesNearer(plan, primary.az);
  }

  /** Homes by distance from `az`; if this host is a home itself, only those that are nearer than it. */
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

  /** Homes of this host's zone in the order in which `host` tries them, which differs by host to spread the load. */
  homesInZone(group: GroupId, host: HostId): readonly HostId[] {
    const homes = this.plan(group).homes.get(this.board.az) ?? [];
    return rankCandidates(`entry|${host}`, homes);
  }

  /** Homes of the other zones in the order in which `host` tries them. */
  homesInOtherZones(group: GroupId, host: HostId): readonly HostId[] {
    const zones = [...this.plan(group).homes].filter(([az]) => az !== this.board.az);
    return rankCandidates(
      `entry|${host}`,
      zones.flatMap(([, homes]) => homes),
    );
  }
}
