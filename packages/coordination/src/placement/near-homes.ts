/**
 * Homes of a group in the zones of its upstreams, and how the connections to each upstream are
 * divided among them: most go to the homes of its own zone, through which the other homes reach it.
 *
 * Load patterns: (1) zones are in several regions, and each statement of a transaction occupies its
 * connection for a round trip between them. If connections were divided evenly among the homes of
 * all zones, two each, transactions from other regions would occupy all of them while others wait.
 * (2) Each connection is dedicated to one workspace, and there are several times as many workspaces
 * as connections of a home. If connections were divided evenly among the zones, most operations
 * would have to open one.
 */
import { Distance } from './topology.js';
import type { Topology } from './topology.js';
import { homesOf } from './homes.js';
import type { HomePlan } from '../load/connection-share.js';
import type { AzId, GroupId, HostId } from '../model/ids.js';
import { rankCandidates } from './rendezvous.js';

/** Number of homes of a group in each zone of its upstreams: one serves while the other restarts. */
const HOMES_PER_ZONE = 2;
/**
 * The same if each connection is dedicated to one workspace: two homes would each open one for the
 * same workspace.
 */
const DEDICATED_HOMES_PER_ZONE = 1;
/**
 * Minimum number of connections of a home to an upstream of another region: one transaction and one
 * read.
 */
const MIN_FAR_CONNECTIONS = 2;
/**
 * Weights by which the connections of an upstream are divided: a home of its zone gets three times
 * as many as a home of another zone of the region, which uses them only while its own upstream lags
 * or is gone. Homes of other regions have separate connections.
 */
const WEIGHTS: Readonly<Record<Distance, number>> = {
  [Distance.SameZone]: 3,
  [Distance.SameRegion]: 1,
  [Distance.OtherRegion]: 0,
};

/** Input of a plan. */
export interface NearHomesInput {
  readonly group: GroupId;
  /** Zones of the group's upstreams. */
  readonly upstreamZones: ReadonlySet<AzId>;
  /** Connections to one upstream that all homes may hold together. */
  readonly usable: number;
  /**
   * Additional ones for homes of other regions. While the replicas of a region lag, its homes read
   * at the primary in another region: with two connections each, 0.6 % of all requests were refused
   * for lack of a connection (one minute, 61 hosts, two of 18 replicas lagging for 6 s).
   */
  readonly farUsable: number;
  /** Whether each connection is dedicated to one workspace. */
  readonly isDedicated: boolean;
}

/** Plans the homes of a group near its upstreams; every host computes the same plan. */
export function planNearHomes(
  input: NearHomesInput,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  topology: Topology,
): HomePlan {
  const { group, upstreamZones, isDedicated } = input;
  const perZone = isDedicated ? DEDICATED_HOMES_PER_ZONE : HOMES_PER_ZONE;
  const homes = new Map<AzId, readonly HostId[]>();
  for (const [az, hosts] of zones) {
    if (upstreamZones.has(az)) homes.set(az, homesOf(group, hosts, perZone));
  }
  const shares = new Map(
    [...upstreamZones].map((az) => [az, sharesOf(az, homes, topology, input)]),
  );
  return {
    homes,
    connectionsPerHome: MIN_FAR_CONNECTIONS,
    isDedicated,
    shares,
  };
}

/** Connections to an upstream of `az` that a home of each zone may hold. */
function sharesOf(
  az: AzId,
  homes: ReadonlyMap<AzId, readonly HostId[]>,
  topology: Topology,
  { usable, farUsable }: NearHomesInput,
): ReadonlyMap<AzId, number> {
  const weightOf = (zone: AzId): number => WEIGHTS[topology.distance(az, zone)];
  const sum = (of: (zone: AzId) => number): number =>
    [...homes].reduce((total, [zone, hosts]) => total + of(zone) * hosts.length, 0);
  const weights = sum(weightOf);
  const farHomes = sum((zone) => (weightOf(zone) === 0 ? 1 : 0));
  const shares = new Map<AzId, number>();
  for (const zone of homes.keys()) {
    const weight = weightOf(zone);
    const near = Math.floor((usable * weight) / Math.max(1, weights));
    const share = weight === 0 ? Math.floor(farUsable / farHomes) : near;
    shares.set(zone, Math.max(MIN_FAR_CONNECTIONS, share));
  }
  return shares;
}

/** Whether homes are only in the zones of the upstreams, and other hosts forward to them. */
export function isNearUpstreams(plan: HomePlan): boolean {
  return plan.shares !== undefined;
}

/** Connections to an upstream of `upstreamAz` that a home in `homeAz` may hold. */
export function connectionsOf(plan: HomePlan, homeAz: AzId, upstreamAz: AzId): number {
  return plan.shares?.get(upstreamAz)?.get(homeAz) ?? plan.connectionsPerHome;
}

/** Homes of all zones in the order in which `asker` asks them for work in or near `az`. */
export function homesNear(
  plan: HomePlan,
  az: AzId,
  asker: HostId,
  topology: Topology,
): readonly HostId[] {
  const byDistance = (distance: Distance): readonly HostId[] => {
    const zones = [...plan.homes].filter(([zone]) => topology.distance(az, zone) === distance);
    return rankCandidates(
      `entry|${asker}`,
      zones.flatMap(([, hosts]) => hosts),
    );
  };
  const distances = [Distance.SameZone, Distance.SameRegion, Distance.OtherRegion];
  return distances.flatMap(byDistance);
}
