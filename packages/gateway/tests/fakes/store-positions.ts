/**
 * Positions of the tests' stores, most of which have never come back from a copy.
 */
import type { StorePosition } from '@gladespool/coordination';

/** Position of a revision, in the first era unless said otherwise. */
export function at(revision: number, era = 0): StorePosition {
  return { era, revision };
}
