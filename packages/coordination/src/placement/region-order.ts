/**
 * Orders of zones and hosts in a deployment that lies in several regions. The path between two regions
 * is slow and shared by everything, so news cross it once for each region, and work is begun by hosts
 * that stand near what it is done on.
 */
import type { AzId, HostId, RegionId } from '../model/ids.js';
import { rankCandidates } from './rendezvous.js';
import type { Topology } from './topology.js';
import { Distance } from './topology.js';

/** What the order of zones is made from. */
export interface PlacedHost {
  readonly az: AzId;
  /** Round trip of the host's first small read of the store, milliseconds; undefined if it tells none. */
  readonly storeRoundTripMs?: number | undefined;
}

/** Key by which zones and regions are ranked for reading the store. */
const READER_RANK_KEY = 'reader';

/**
 * Difference of round trips to the store up to which regions count as equally near, milliseconds: more than
 * a busy store or host adds to the median, and less than two ways between regions.
 */
const EQUAL_ROUND_TRIP_MS = 10;

/** Hosts of a group's region that act before all others: one may be gone, and the rest waits for each. */
const FIRST_ACTING_HOSTS = 3;

/**
 * Age of a proof from which a late host asks hosts of other regions as well, milliseconds: a link to one takes three
 * round trips to open, and a proof lives for 1 s.
 */
const FAR_HELP_AGE_MS = 600;

/** A region with the median round trip of its hosts. */
interface RegionDistance {
  readonly region: RegionId | undefined;
  readonly roundTripMs: number;
}

/**
 * The zones of the hosts; the first host of the first zone reads the store. Zones of one region stand
 * together, the region nearest to the store first.
 */
export function rankZones(hosts: readonly PlacedHost[], topology: Topology): readonly AzId[] {
  const zones = [...new Set(hosts.map((host) => host.az))];
  const ranked = rankCandidates(READER_RANK_KEY, zones);
  if (!topology.isMultiRegion) return ranked;
  const regions = rankRegions(hosts, topology);
  return regions.flatMap((region) => ranked.filter((az) => topology.regionOf(az) === region));
}

/**
 * The zone whose first host the first host of `az` asks for news: that which reads the store, or in a region
 * of several zones its first one. Undefined for the zone that reads the store.
 *
 * @param zones zones in the order of `rankZones`
 */
export function parentZone(az: AzId, zones: readonly AzId[], topology: Topology): AzId | undefined {
  const [reading] = zones;
  if (az === reading) return undefined;
  if (!topology.isMultiRegion) return reading;
  const region = topology.regionOf(az);
  const first = zones.find((other) => topology.regionOf(other) === region);
  return first === az ? reading : first;
}

/**
 * The zones among `zones` whose hosts a host of `own` asks that is late, its proof being `ageMs` old. At first those of
 * its region: mostly one of them has a younger proof, and the path to another region is narrow and shared.
 */
export function fallbackZones(
  own: AzId,
  zones: readonly AzId[],
  topology: Topology,
  ageMs: number,
): readonly AzId[] {
  if (ageMs >= FAR_HELP_AGE_MS) return zones;
  return zones.filter((az) => topology.distance(own, az) !== Distance.OtherRegion);
}

/** The region in which more of `zones` lie than in any other, one count for each mention; else undefined. */
export function dominantRegion(zones: readonly AzId[], topology: Topology): RegionId | undefined {
  const counted = topology.regions.map((region) => ({
    region,
    count: zones.filter((az) => topology.regionOf(az) === region).length,
  }));
  counted.sort((a, b) => b.count - a.count);
  const [most, next] = counted;
  return most !== undefined && most.count > (next?.count ?? 0) ? most.region : undefined;
}

/**
 * The hosts in the order in which they act on a group whose upstreams stand in `region`: each step of a change
 * of primary is an exchange with them. Only a few go before the others, which would wait for each of them
 * if the region were lost.
 *
 * @param ranked hosts in the order in which they act elsewhere
 */
export function prioritizeRegion(
  ranked: readonly HostId[],
  region: RegionId | undefined,
  regionOf: (host: HostId) => RegionId | undefined,
): readonly HostId[] {
  if (region === undefined) return ranked;
  const first = ranked.filter((host) => regionOf(host) === region).slice(0, FIRST_ACTING_HOSTS);
  return [...first, ...ranked.filter((host) => !first.includes(host))];
}

/** Regions of the hosts, nearest to the store first; equally near ones as they are ranked. */
function rankRegions(
  hosts: readonly PlacedHost[],
  topology: Topology,
): readonly (RegionId | undefined)[] {
  let left = regionDistances(hosts, topology);
  const ranked: (RegionId | undefined)[] = [];
  while (left.length > 0) {
    const least = Math.min(...left.map(({ roundTripMs }) => roundTripMs));
    const isNear = ({ roundTripMs }: RegionDistance): boolean =>
      roundTripMs <= least + EQUAL_ROUND_TRIP_MS;
    ranked.push(...byHash(left.filter(isNear)));
    left = left.filter((distance) => !isNear(distance));
  }
  return ranked;
}

/** Regions in order of their hashes; zones whose region is not told come last. */
function byHash(distances: readonly RegionDistance[]): readonly (RegionId | undefined)[] {
  const regions = distances.map(({ region }) => region);
  const told = regions.filter((region) => region !== undefined);
  const untold = regions.filter((region) => region === undefined);
  return [...rankCandidates(READER_RANK_KEY, told), ...untold];
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

/** The middle one of the round trips told; Infinity if none is. */
function medianRoundTrip(hosts: readonly PlacedHost[]): number {
  const told = hosts.map((host) => host.storeRoundTripMs).filter((ms) => ms !== undefined);
  told.sort((a, b) => a - b);
  return told[Math.floor((told.length - 1) / 2)] ?? Number.POSITIVE_INFINITY;
}
