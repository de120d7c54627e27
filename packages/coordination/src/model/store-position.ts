/**
 * Positions in the history of the metadata store. A store that is restored from a copy has lost its
 * latest changes and assigns their revisions again, so a revision is meaningful only together with
 * the era in which it was assigned.
 */

/** A position in the history of the store. */
export interface StorePosition {
  /** Number of times the store has been restored from a copy; 0 if the store does not count them. */
  readonly era: number;
  /** Number of the change in that era; 0 for a missing key and for the time before all changes. */
  readonly revision: number;
}

/** The position before all changes of all eras. */
export const STORE_START: StorePosition = { era: 0, revision: 0 };

/** Whether `a` is later than `b`; every position of an era is later than all positions of earlier eras. */
export function isLater(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}

/** The later of two positions. */
export function laterOf(a: StorePosition, b: StorePosition): StorePosition {
  return isLater(a, b) ? a : b;
}

/** Whether two positions are the same. */
export function isSamePosition(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era && a.revision === b.revision;
}

/** Formats a position for log lines as ERA.REVISION. */
export function formatStorePosition({ era, revision }: StorePosition): string {
  return `${era}.${revision}`;
}
