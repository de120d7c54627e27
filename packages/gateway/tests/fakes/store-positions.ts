/**
 * Positions in the stores of tests, most of which were never restored from a copy.
 */
import type { StorePosition } from '@gladespool/coordination';

/** Position of a revision, in the first era by default. */
export function at(revision: number, era = 0): StorePosition {
  return { era, revision };
}
