/**
 * Topology of the availability zones: the region of each zone and the distance between zones.
 */
import type { AzId, RegionId } from '../model/ids.js';

/** Distance between two zones; nearer zones have less latency and cheaper traffic. */
export enum Distance {
  SameZone = 0,
  SameRegion = 1,
  OtherRegion = 2,
}

/** The zones of a deployment according to the settings. */
export class Topology {
  /** Names of the regions, sorted. */
  readonly regions: readonly RegionId[];

  constructor(private readonly regionOfZone: ReadonlyMap<AzId, RegionId>) {
    this.regions = [...new Set(regionOfZone.values())].sort();
  }

  /** Whether there is more than one region. */
  get isMultiRegion(): boolean {
    return this.regions.length > 1;
  }

  /** Region of a zone; undefined if the settings do not state it. */
  regionOf(az: AzId): RegionId | undefined {
    return this.regionOfZone.get(az);
  }

  /** Distance between two zones; a zone whose region is unknown counts as being in the same region. */
  distance(from: AzId, to: AzId): Distance {
    if (from === to) return Distance.SameZone;
    const region = this.regionOf(from);
    const other = this.regionOf(to);
    const isSame = region === undefined || other === undefined || region === other;
    return isSame ? Distance.SameRegion : Distance.OtherRegion;
  }
}

/** Topology of a deployment whose settings state no regions. */
export const SINGLE_REGION = new Topology(new Map());
