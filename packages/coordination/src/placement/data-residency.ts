/**
 * Data residency: the regions that the data of an operation may not leave determine which upstreams
 * may run it and to which hosts it may be forwarded.
 */
import type { AzId, RegionId } from '../model/ids.js';
import type { Topology } from './topology.js';

/** Regions that data may be in; undefined means any region, empty means none. */
export type PermittedRegions = readonly RegionId[] | undefined;

/**
 * Regions permitted to an operation by its route and its workspace; the intersection if both
 * restrict them.
 */
export function permittedRegions(
  ofRoute: PermittedRegions,
  ofWorkspace: PermittedRegions,
): PermittedRegions {
  if (ofRoute === undefined) return ofWorkspace;
  if (ofWorkspace === undefined) return ofRoute;
  return ofRoute.filter((region) => ofWorkspace.includes(region));
}

/** Whether a zone is in a permitted region; a zone whose region is unknown is in none. */
export function isPermitted(az: AzId, permitted: PermittedRegions, topology: Topology): boolean {
  if (permitted === undefined) return true;
  const region = topology.regionOf(az);
  return region !== undefined && permitted.includes(region);
}
