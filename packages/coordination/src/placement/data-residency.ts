/**
 * Regions that the data of an operation may not leave: which upstreams may run it, and which hosts it
 * may be forwarded to.
 */
import type { AzId, RegionId } from '../model/ids.js';
import type { Topology } from './topology.js';

/** Regions that data may be in; undefined where it may be anywhere, empty where it may be nowhere. */
export type PermittedRegions = readonly RegionId[] | undefined;

/** Regions that an operation may use by its route and its workspace; where both bind, both count. */
export function permittedRegions(
  ofRoute: PermittedRegions,
  ofWorkspace: PermittedRegions,
): PermittedRegions {
  if (ofRoute === undefined) return ofWorkspace;
  if (ofWorkspace === undefined) return ofRoute;
  return ofRoute.filter((region) => ofWorkspace.includes(region));
}

/** Whether a zone lies in a permitted region; one whose region is not told lies in none. */
export function isPermitted(az: AzId, permitted: PermittedRegions, topology: Topology): boolean {
  if (permitted === undefined) return true;
  const region = topology.regionOf(az);
  return region !== undefined && permitted.includes(region);
}
