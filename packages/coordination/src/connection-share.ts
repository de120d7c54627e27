/**
 * How many hosts of each zone hold connections to the upstreams of a group, and how many each.
 * With few hosts every host holds its own; with many, a few of each zone hold them for the others.
 */
import { homesOf } from './homes.js';
import type { AzId, GroupId, HostId } from './ids.js';

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
  readonly perSlot: number;
  /** Least number of connections for which it is worth being a home. */
  readonly leastPerHome: number;
}

/**
 * 0.6: an upstream counts the connections of dark hosts for 3 s more; the rest lets most of them in again
 * at once after a power loss of all hosts. With 0.5 transactions wait for connections
 * (docs/DECISIONS.md). Six a slot: one running, one queued, the others in transactions or hosts with
 * nothing to do. Two a home: one transaction and one read.
 */
export const DEFAULT_SHARES: ShareRules = { usableShare: 0.6, perSlot: 6, leastPerHome: 2 };

/** What upstreams of a group allow. */
export interface UpstreamRoom {
  /** Connections to one upstream over all hosts. */
  readonly connections: number;
  /** Statements that one upstream runs at once. */
  readonly slots: number;
}

/** The homes of a group in all zones, and the connections to each upstream that each may hold. */
export interface HomePlan {
  readonly homes: ReadonlyMap<AzId, readonly HostId[]>;
  readonly connectionsPerHome: number;
}

/** Plans the homes of a group from the hosts that live, by zone; every host computes the same plan. */
export function planHomes(
  group: GroupId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  room: UpstreamRoom,
  rules: ShareRules = DEFAULT_SHARES,
): HomePlan {
  const allowed = Math.floor(room.connections * rules.usableShare);
  const usable = Math.min(allowed, room.slots * rules.perSlot);
  const perZone = Math.max(1, Math.floor(usable / (Math.max(1, zones.size) * rules.leastPerHome)));
  const homes = new Map<AzId, readonly HostId[]>();
  for (const [az, ids] of zones) homes.set(az, homesOf(group, ids, perZone));
  const count = [...homes.values()].reduce((sum, ids) => sum + ids.length, 0);
  return { homes, connectionsPerHome: Math.max(1, Math.floor(usable / Math.max(1, count))) };
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
