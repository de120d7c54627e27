/**
 * How many hosts of each zone hold connections to the upstreams of a group, and how many each.
 * With few hosts every host holds its own; with many, a few of each zone hold them for the others.
 * Where connections serve one workspace each and there are more workspaces than a home has
 * connections, one host of each zone is a home.
 */
import { homesOf } from '../placement/homes.js';
import type { AzId, GroupId, HostId, WorkspaceId } from '../model/ids.js';
import { rankCandidates } from '../placement/rendezvous.js';

/** A host as far as homes are concerned. */
export interface HomeCandidate {
  readonly host: HostId;
  readonly az: AzId;
}

/** Bounds of the split. */
export interface ShareRules {
  /** Part of an upstream's connections that is used; the rest covers hosts that come and go. */
  readonly usableShare: number;
  /** Connections for each statement that an upstream runs at once; more only make its queue longer. */
  readonly connectionsPerSlot: number;
  /** Least number of connections for which it is worth being a home. */
  readonly minConnectionsPerHome: number;
  /** Part of an upstream's connections that is used where each serves one workspace. */
  readonly dedicatedShare: number;
}

/**
 * 0.6: an upstream counts the connections of dark hosts for 3 s more; the rest lets most of them in again
 * at once after a power loss of all hosts. With 0.5 transactions wait for connections
 * (docs/DECISIONS.md). Six a slot: one running, one queued, the others in transactions or hosts with
 * nothing to do. Two a home: one transaction and one read. 0.9 where connections serve one workspace
 * each: mostly they rest, and each more saves opening others; a home that goes dark leaves a third of them
 * dark, and the rest covers the hosts that stand in.
 */
export const DEFAULT_SHARES: ShareRules = {
  usableShare: 0.6,
  connectionsPerSlot: 6,
  minConnectionsPerHome: 2,
  dedicatedShare: 0.9,
};

/** What upstreams of a group allow. */
export interface UpstreamCapacity {
  /** Connections to one upstream over all hosts. */
  readonly connections: number;
  /** Statements that one upstream runs at once. */
  readonly slots: number;
  /** Workspaces, each of which needs connections of its own; 0 where connections serve everybody. */
  readonly workspaces: number;
}

/** The homes of a group in all zones, and the connections to each upstream that each may hold. */
export interface HomePlan {
  readonly homes: ReadonlyMap<AzId, readonly HostId[]>;
  readonly connectionsPerHome: number;
  /** Whether connections serve one workspace each, and are too few for all at once. */
  readonly isDedicated: boolean;
  /**
   * Connections that one home may hold to one upstream: by the upstream's zone, then by the home's. Missing
   * where every home holds `connectionsPerHome`.
   */
  readonly shares?: ReadonlyMap<AzId, ReadonlyMap<AzId, number>>;
}

/** Plans the homes of a group from the hosts that live, by zone; every host computes the same plan. */
export function planHomes(
  group: GroupId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  room: UpstreamCapacity,
  rules: ShareRules = DEFAULT_SHARES,
): HomePlan {
  const shared = planShared(group, zones, room, rules);
  if (room.workspaces <= shared.connectionsPerHome) return shared;
  return planBound(group, zones, room, rules);
}

/** Connections to one upstream that the homes of a group may hold together. */
export function usableConnections(
  room: UpstreamCapacity,
  rules: ShareRules = DEFAULT_SHARES,
): number {
  return Math.min(allowedConnections(room, rules), room.slots * rules.connectionsPerSlot);
}

/** Connections that may be held beyond `usableConnections`, for homes that seldom need them. */
export function spareConnections(
  room: UpstreamCapacity,
  rules: ShareRules = DEFAULT_SHARES,
): number {
  return allowedConnections(room, rules) - usableConnections(room, rules);
}

function allowedConnections(room: UpstreamCapacity, rules: ShareRules): number {
  return Math.floor(room.connections * rules.usableShare);
}

/** Connections to one upstream that the homes may hold together where each serves one workspace. */
export function dedicatedConnections(
  room: UpstreamCapacity,
  rules: ShareRules = DEFAULT_SHARES,
): number {
  return Math.floor(room.connections * rules.dedicatedShare);
}

/** Homes of every zone for the callers of that zone. */
function planShared(
  group: GroupId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  room: UpstreamCapacity,
  rules: ShareRules,
): HomePlan {
  const usable = usableConnections(room, rules);
  const perZone = Math.max(
    1,
    Math.floor(usable / (Math.max(1, zones.size) * rules.minConnectionsPerHome)),
  );
  const homes = homesOfZones(group, zones, perZone);
  return {
    homes,
    connectionsPerHome: partOf(usable, homes),
    isDedicated: false,
  };
}

/** One home in each zone, which has a connection of a workspace more often than each of several would. */
function planBound(
  group: GroupId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  room: UpstreamCapacity,
  rules: ShareRules,
): HomePlan {
  const homes = homesOfZones(group, zones, 1);
  const usable = dedicatedConnections(room, rules);
  return {
    homes,
    connectionsPerHome: partOf(usable, homes),
    isDedicated: true,
  };
}

/** Homes of a group in all zones, in an order of the workspace's own. */
export function homesOfWorkspace(
  plan: HomePlan,
  group: GroupId,
  workspace: WorkspaceId,
): readonly HostId[] {
  return rankCandidates(`home|${group}|${workspace}`, [...plan.homes.values()].flat());
}

function homesOfZones(
  group: GroupId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  perZone: number,
): ReadonlyMap<AzId, readonly HostId[]> {
  return new Map([...zones].map(([az, ids]) => [az, homesOf(group, ids, perZone)]));
}

/** Connections of each home. */
function partOf(usable: number, homes: ReadonlyMap<AzId, readonly HostId[]>): number {
  const count = [...homes.values()].flat().length;
  return Math.max(1, Math.floor(usable / Math.max(1, count)));
}

/** The hosts of each zone; made once for the plans of all groups. */
export function hostsByZone(hosts: Iterable<HomeCandidate>): ReadonlyMap<AzId, readonly HostId[]> {
  const zones = new Map<AzId, HostId[]>();
  for (const { host, az } of hosts) {
    const inZone = zones.get(az);
    if (inZone === undefined) zones.set(az, [host]);
    else inZone.push(host);
  }
  return zones;
}
