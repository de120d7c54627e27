/**
 * Orders of zones and hosts in a deployment of several regions. The path between two regions is
 * slow and shared by all traffic, so updates cross it once per region, and work is started by hosts
 * that are near its upstreams.
 */
import type { AzId, HostId, RegionId } from '../model/ids.js';
import { rankCandidates } from './rendezvous.js';
import type { Topology } from './topology.js';
import { Distance } from './topology.js';

/** A host as input for the order of zones. */
export interface PlacedHost {
  readonly az: AzId;
  /** Round trip of the host's first small read of the store, milliseconds; undefined if it reports none. */
  readonly storeRoundTripMs?: number | undefined;
}

/** Rendezvous key by which zones and regions are ranked for reading the store. */
const READER_RANK_KEY = 'reader';

/**
 * Difference of round trips to the store up to which regions count as equally near, milliseconds;
 * more than a busy store or host adds to the median, and less than a round trip between regions.
 */
const EQUAL_ROUND_TRIP_MS = 10;

/**
 * Number of hosts of a group's region that act before all others: one of them may be gone, and the
 * other hosts wait for each.
 */
const MAX_PRIORITIZED_HOSTS = 3;

/**
 * Age of a proof from which a host asks hosts of other regions as well, milliseconds: opening a
 * link to another region takes three round trips, and a proof is valid for 1 s.
 */
const ALL_REGIONS_AGE_MS = 600;

/** A region with the median round trip of its hosts. */
interface RegionDistance {
  readonly region: RegionId | undefined;
  readonly roundTripMs: number;
}

/**
 * The zones of the hosts in order; the first host of the first zone reads the store. Zones of one
 * region are adjacent, the region nearest to the store first.
 */
export function rankZones(hosts: readonly PlacedHost[], topology: Topology): readonly AzId[] {
  const zones = [...new Set(hosts.map((host) => host.az))];
  const ranked = rankCandidates(READER_RANK_KEY, zones);
  if (!topology.isMultiRegion) return ranked;
  const regions = rankRegions(hosts, topology);
  return regions.flatMap((region) => ranked.filter((az) => topology.regionOf(az) === region));
}

/**
 * The zone whose first host passes updates on to the first host of `az`: the zone that reads the
 * store, or, within a region, the first zone of that region. Undefined for the zone that reads the
 * store.
 *
 * @param zones zones in the order of `rankZones`
 */
export function parentZone(az: AzId, zones: readonly AzId[], topology: Topology): AzId | undefined {
  const [readerZone] = zones;
  if (az === readerZone) return undefined;
  if (!topology.isMultiRegion) return readerZone;
  const region = topology.regionOf(az);
  const first = zones.find((other) => topology.regionOf(other) === region);
  return first === az ? readerZone : first;
}

/**
 * The zones among `zones` whose hosts are asked by a host of zone `own` whose proof is overdue,
 * being `ageMs` old. At first only those of its own region: usually one of their hosts has a more
 * recent proof, and the path to another region is narrow and shared.
 */
export function fallbackZones(
  own: AzId,
  zones: readonly AzId[],
  topology: Topology,
  ageMs: number,
): readonly AzId[] {
  if (ageMs >= ALL_REGIONS_AGE_MS) return zones;
  return zones.filter((az) => topology.distance(own, az) !== Distance.OtherRegion);
}

/**
 * The region that contains more of `zones` than any other, where repeated zones count each time;
 * undefined if there is no such region.
 */
export function dominantRegion(zones: readonly AzId[], topology: Topology): RegionId | undefined {
  const counts = topology.regions.map((region) => ({
    region,
    count: zones.filter((az) => topology.regionOf(az) === region).length,
  }));
  counts.sort((a, b) => b.count - a.count);
  const [most, next] = counts;
  return most !== undefined && most.count > (next?.count ?? 0) ? most.region : undefined;
}

/**
 * The hosts in the order in which they act on a group whose upstreams are in `region`, since each
 * step of a change of primary is an exchange with these upstreams. Only a few hosts are moved to
 * the front, because the others would wait for each of them if the region failed.
 *
 * @param ranked hosts in the default order
 */
export function prioritizeRegion(
  ranked: readonly HostId[],
  region: RegionId | undefined,
  regionOf: (host: HostId) => RegionId | undefined,
): readonly HostId[] {
  if (region === undefined) return ranked;
  const first = ranked.filter((host) => regionOf(host) === region).slice(0, MAX_PRIORITIZED_HOSTS);
  return [...first, ...ranked.filter((host) => !first.includes(host))];
}

/** Regions of the hosts, nearest to the store first; equally near ones by rendezvous rank. */
function rankRegions(
  hosts: readonly PlacedHost[],
  topology: Topology,
): readonly (RegionId | undefined)[] {
  let remaining = regionDistances(hosts, topology);
  const ranked: (RegionId | undefined)[] = [];
  while (remaining.length > 0) {
    const least = Math.min(...remaining.map(({ roundTripMs }) => roundTripMs));
    const isNear = ({ roundTripMs }: RegionDistance): boolean =>
      roundTripMs <= least + EQUAL_ROUND_TRIP_MS;
    ranked.push(...rankByHash(remaining.filter(isNear)));
    remaining = remaining.filter((distance) => !isNear(distance));
  }
  return ranked;
}

/** Regions in order of their hashes; zones of an unknown region come last. */
function rankByHash(distances: readonly RegionDistance[]): readonly (RegionId | undefined)[] {
  const regions = distances.map(({ region }) => region);
  const known = regions.filter((region) => region !== undefined);
  const unknown = regions.filter((region) => region === undefined);
  return [...rankCandidates(READER_RANK_KEY, known), ...unknown];
}

function regionDistances(
  hosts: readonly PlacedHost[],
  topology: Topology,
): readonly RegionDistance[] {
  const regions = [...new Set(hosts.map((host) => topology.regionOf(host.az)))];
  return regions.map((region) => {
    const inRegion = hosts.filter((host) => topology.regionOf(host.az) === region);
    return { region, roundTripMs: medianRoundTrip(inRegion) };
  });
}

/** Median of the reported round trips; Infinity if there are none. */
function medianRoundTrip(hosts: readonly PlacedHost[]): number {
  const reported = hosts.map((host) => host.storeRoundTripMs).filter((ms) => ms !== undefined);
  reported.sort((a, b) => a - b);
  return reported[Math.floor((reported.length - 1) / 2)] ?? Number.POSITIVE_INFINITY;
}
