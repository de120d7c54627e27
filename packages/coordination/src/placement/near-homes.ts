/**
 * Homes of a group that stand in the zones of its upstreams, and how the connections to each upstream are
 * split over them: most to the homes of its own zone, by way of which the others reach it.
 *
 * Load patterns: (1) zones lie in several regions, and each statement of a transaction holds its connection
 * for a round trip between them; split evenly over the homes of all zones, two connections each, transactions
 * from afar hold them all while others wait. (2) Connections serve one workspace each, and workspaces are
 * several times the connections of a home; split evenly over the zones, most operations open one.
 */
import { Distance } from './topology.js';
import type { Topology } from './topology.js';
import { homesOf } from './homes.js';
import type { HomePlan } from '../load/connection-share.js';
import type { AzId, GroupId, HostId } from '../model/ids.js';
import { rankCandidates } from './rendezvous.js';

/** Homes of a group in each zone of its upstreams: one serves while the other restarts. */
const HOMES_PER_ZONE = 2;
/** The same where connections serve one workspace each: two would each open one for a workspace. */
const DEDICATED_HOMES_PER_ZONE = 1;
/** Connections of a home to an upstream of another region at least: one transaction and one read. */
const LEAST_FAR_CONNECTIONS = 2;
/**
 * How the connections of an upstream are split: a home of its zone gets three times those of a home of
 * another zone of the region, which uses them only while its own upstream is behind or gone. Those of
 * other regions have connections apart.
 */
const WEIGHTS: Readonly<Record<Distance, number>> = {
  [Distance.SameZone]: 3,
  [Distance.SameRegion]: 1,
  [Distance.OtherRegion]: 0,
};

/** What a plan is made from. */
export interface NearHomesInput {
  readonly group: GroupId;
  /** Zones of the group's upstreams. */
  readonly upstreamZones: ReadonlySet<AzId>;
  /** Connections to one upstream that all homes may hold together. */
  readonly usable: number;
  /**
   * Further ones for homes of other regions. While the replicas of a region are behind, its homes read at
   * the far primary: with two connections each, 0.6 % of all requests were refused for want of one (one
   * minute, 61 hosts, two of 18 replicas behind for 6 s).
   */
  readonly farUsable: number;
  /** Whether connections serve one workspace each. */
  readonly isDedicated: boolean;
}

/** Plans the homes of a group near its upstreams; every host computes the same plan. */
export function planNearHomes(
  near: NearHomesInput,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  topology: Topology,
): HomePlan {
  const { group, upstreamZones, isDedicated } = near;
  const perZone = isDedicated ? DEDICATED_HOMES_PER_ZONE : HOMES_PER_ZONE;
  const homes = new Map<AzId, readonly HostId[]>();
  for (const [az, hosts] of zones) {
    if (upstreamZones.has(az)) homes.set(az, homesOf(group, hosts, perZone));
  }
  const shares = new Map([...upstreamZones].map((az) => [az, sharesOf(az, homes, topology, near)]));
  return {
    homes,
    connectionsPerHome: LEAST_FAR_CONNECTIONS,
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
    const part = weight === 0 ? Math.floor(farUsable / farHomes) : near;
    shares.set(zone, Math.max(LEAST_FAR_CONNECTIONS, part));
  }
  return shares;
}

/** Whether homes stand only in the zones of the upstreams, and other hosts forward to them. */
export function isNearUpstreams(plan: HomePlan): boolean {
  return plan.shares !== undefined;
}

/** Connections to an upstream of `upstreamAz` that a home in `homeAz` may hold. */
export function connectionsOf(plan: HomePlan, homeAz: AzId, upstreamAz: AzId): number {
  return plan.shares?.get(upstreamAz)?.get(homeAz) ?? plan.connectionsPerHome;
}

/** Homes of all zones in the order in which `asker` asks them for work that is done in or near `az`. */
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
