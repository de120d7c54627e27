/**
 * Where availability zones lie: which region each belongs to, and how far apart two of them are.
 */
import type { AzId, RegionId } from '../model/ids.js';

/** How far apart two zones are; what is nearer costs less time and fewer dear bytes. */
export enum Distance {
  SameZone = 0,
  SameRegion = 1,
  OtherRegion = 2,
}

/** The zones of a deployment as the settings tell them. */
export class Topology {
  /** Names of the regions, sorted. */
  readonly regions: readonly RegionId[];

  constructor(private readonly regionOfZone: ReadonlyMap<AzId, RegionId>) {
    this.regions = [...new Set(regionOfZone.values())].sort();
  }

  /** Whether zones lie in more than one region. */
  get isMultiRegion(): boolean {
    return this.regions.length > 1;
  }

  /** Region of a zone; undefined where the settings don't tell. */
  regionOf(az: AzId): RegionId | undefined {
    return this.regionOfZone.get(az);
  }

  /** Distance of two zones; a zone whose region is not told counts as one of the same region. */
  distance(from: AzId, to: AzId): Distance {
    if (from === to) return Distance.SameZone;
    const region = this.regionOf(from);
    const other = this.regionOf(to);
    const isSame = region === undefined || other === undefined || region === other;
    return isSame ? Distance.SameRegion : Distance.OtherRegion;
  }
}

/** Topology of a deployment whose settings tell no regions. */
export const SINGLE_REGION = new Topology(new Map());
