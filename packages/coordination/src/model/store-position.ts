/**
 * Places in the history of the metadata store. A store that comes back from a copy has lost its last changes and gives
 * their revisions out again: a revision tells something only together with the era in which it was given out.
 */

/** A place in the history of the store. */
export interface StorePosition {
  /** How often the store has come back from a copy; 0 where it does not count that. */
  readonly era: number;
  /** Number of the change in that era; 0 stands for a key that is not there, and for the time before all changes. */
  readonly revision: number;
}

/** Before all changes of all eras. */
export const STORE_START: StorePosition = { era: 0, revision: 0 };

/** Whether `a` lies behind `b`; all of an era lies behind all of those before it. */
export function isLater(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}

/** The later one of two positions. */
export function laterOf(a: StorePosition, b: StorePosition): StorePosition {
  return isLater(a, b) ? a : b;
}

/** Whether two positions are the same. */
export function isSamePosition(a: StorePosition, b: StorePosition): boolean {
  return a.era === b.era && a.revision === b.revision;
}

/** A position for log lines, ERA.REVISION. */
export function formatStorePosition({ era, revision }: StorePosition): string {
  return `${era}.${revision}`;
}
