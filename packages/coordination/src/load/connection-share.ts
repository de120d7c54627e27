/**
 * How many hosts of each zone hold connections to the upstreams of a group, and how many
 * connections each of them holds. In small deployments every host holds its own; in large ones a
 * few homes per zone hold them for the other hosts. If each connection is dedicated to one
 * workspace and there are more workspaces than a home has connections, each zone has one home.
 */
import { homesOf } from '../placement/homes.js';
import type { AzId, GroupId, HostId, WorkspaceId } from '../model/ids.js';
import { rankCandidates } from '../placement/rendezvous.js';

/** A host that may become a home. */
export interface HomeCandidate {
  readonly host: HostId;
  readonly az: AzId;
}

/** Parameters of the split. */
export interface ShareRules {
  /** Share of an upstream's connections that is used; the rest covers hosts that join and leave. */
  readonly usableShare: number;
  /** Connections per statement that an upstream runs concurrently; more only lengthen its queue. */
  readonly connectionsPerSlot: number;
  /** Minimum number of connections of a home. */
  readonly minConnectionsPerHome: number;
  /** Share of an upstream's connections that is used if each is dedicated to one workspace. */
  readonly dedicatedShare: number;
}

/**
 * Usable share, 0.6: an upstream counts the connections of failed hosts for another 3 s; after a
 * power loss of all hosts, the rest lets most of them reconnect immediately. With 0.5, transactions
 * wait for connections (docs/DECISIONS.md). Six per slot: one running, one queued, the others in
 * open transactions or at idle hosts. Two per home: one transaction and one read. Dedicated share,
 * 0.9: such connections are mostly idle, and each additional one avoids opening others; when a home
 * fails, a third of them becomes unavailable, and the rest covers the hosts that take over.
 */
export const DEFAULT_SHARES: ShareRules = {
  usableShare: 0.6,
  connectionsPerSlot: 6,
  minConnectionsPerHome: 2,
  dedicatedShare: 0.9,
};

/** Connection limits of the upstreams of a group. */
export interface UpstreamCapacity {
  /** Connections to one upstream from all hosts together. */
  readonly connections: number;
  /** Statements that one upstream runs concurrently. */
  readonly slots: number;
  /** Number of workspaces if each needs connections of its own; 0 if connections are shared. */
  readonly workspaces: number;
}

/** The homes of a group in all zones and the number of connections that each may hold to each upstream. */
export interface HomePlan {
  readonly homes: ReadonlyMap<AzId, readonly HostId[]>;
  readonly connectionsPerHome: number;
  /**
   * Whether each connection is dedicated to one workspace and there are too few for all workspaces
   * at once.
   */
  readonly isDedicated: boolean;
  /**
   * Connections that one home may hold to one upstream, by the upstream's zone, then by the home's
   * zone. Missing if every home holds `connectionsPerHome`.
   */
  readonly shares?: ReadonlyMap<AzId, ReadonlyMap<AzId, number>>;
}

/** Plans the homes of a group from the live hosts by zone; every host computes the same plan. */
export function planHomes(
  group: GroupId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  capacity: UpstreamCapacity,
  rules: ShareRules = DEFAULT_SHARES,
): HomePlan {
  const shared = planShared(group, zones, capacity, rules);
  if (capacity.workspaces <= shared.connectionsPerHome) return shared;
  return planDedicated(group, zones, capacity, rules);
}

/** Connections to one upstream that the homes of a group may hold together. */
export function usableConnections(
  capacity: UpstreamCapacity,
  rules: ShareRules = DEFAULT_SHARES,
): number {
  return Math.min(allowedConnections(capacity, rules), capacity.slots * rules.connectionsPerSlot);
}

/** Connections that may be held beyond `usableConnections`, for homes that rarely need them. */
export function spareConnections(
  capacity: UpstreamCapacity,
  rules: ShareRules = DEFAULT_SHARES,
): number {
  return allowedConnections(capacity, rules) - usableConnections(capacity, rules);
}

function allowedConnections(capacity: UpstreamCapacity, rules: ShareRules): number {
  return Math.floor(capacity.connections * rules.usableShare);
}

/** Connections to one upstream that the homes may hold together if each is dedicated to one workspace. */
export function dedicatedConnections(
  capacity: UpstreamCapacity,
  rules: ShareRules = DEFAULT_SHARES,
): number {
  return Math.floor(capacity.connections * rules.dedicatedShare);
}

/** Homes of every zone for the callers of that zone. */
function planShared(
  group: GroupId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  capacity: UpstreamCapacity,
  rules: ShareRules,
): HomePlan {
  const usable = usableConnections(capacity, rules);
  const perZone = Math.max(
    1,
    Math.floor(usable / (Math.max(1, zones.size) * rules.minConnectionsPerHome)),
  );
  const homes = homesOfZones(group, zones, perZone);
  return {
    homes,
    connectionsPerHome: connectionsPerHomeOf(usable, homes),
    isDedicated: false,
  };
}

/**
 * One home in each zone, which is more likely to have an open connection for a workspace than each
 * of several homes would be.
 */
function planDedicated(
  group: GroupId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  capacity: UpstreamCapacity,
  rules: ShareRules,
): HomePlan {
  const homes = homesOfZones(group, zones, 1);
  const usable = dedicatedConnections(capacity, rules);
  return {
    homes,
    connectionsPerHome: connectionsPerHomeOf(usable, homes),
    isDedicated: true,
  };
}

/** Homes of a group in all zones, in an order specific to the workspace. */
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
function connectionsPerHomeOf(usable: number, homes: ReadonlyMap<AzId, readonly HostId[]>): number {
  const count = [...homes.values()].flat().length;
  return Math.max(1, Math.floor(usable / Math.max(1, count)));
}

/** Groups hosts by zone; the result is shared by the plans of all groups. */
export function hostsByZone(hosts: Iterable<HomeCandidate>): ReadonlyMap<AzId, readonly HostId[]> {
  const zones = new Map<AzId, HostId[]>();
  for (const { host, az } of hosts) {
    const inZone = zones.get(az);
    if (inZone === undefined) zones.set(az, [host]);
    else inZone.push(host);
  }
  return zones;
}
