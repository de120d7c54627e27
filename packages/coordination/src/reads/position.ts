/**
 * Positions in a group's replicated log and the lineage that relates positions of different terms.
 */

/** A point in a group's log. Offsets are comparable only within one term or through a lineage. */
export interface Position {
  /** Term of the log at this offset; increases with each promotion. */
  readonly term: number;
  /** Number of log entries (or bytes of log) up to and including this point. */
  readonly offset: number;
}

/** Start of a term: every log entry at or below `start` is shared with the preceding terms. */
export interface LineageEntry {
  readonly term: number;
  /** Offset of the log at the promotion that opened the term. */
  readonly start: number;
}

/** Terms of a group in ascending order, each with its start. */
export type Lineage = readonly LineageEntry[];

/** The position before any write. */
export const ORIGIN: Position = { term: 0, offset: 0 };

/** Compares by term, then by offset, as a promotion does when it chooses a log. */
export function comparePositions(a: Position, b: Position): number {
  if (a.term !== b.term) return a.term - b.term;
  return a.offset - b.offset;
}

/** Formats a position for log lines as TERM.OFFSET. */
export function formatPosition({ term, offset }: Position): string {
  return `${term}.${offset}`;
}

/** The higher of two positions in promotion order. */
export function maxPosition(a: Position, b: Position): Position {
  return comparePositions(a, b) >= 0 ? a : b;
}

/** How the log that an upstream holds relates to a position. */
export enum Coverage {
  /** The log contains the position. */
  Covered = 'covered',
  /** The log does not contain it yet. */
  Behind = 'behind',
  /** The position lies on a branch that a later promotion discarded. */
  Discarded = 'discarded',
}

/**
 * Determines whether a log at `held` contains `wanted`.
 *
 * A later term contains an earlier position only if every promotion after the position's term
 * started at or after it; otherwise the position was discarded. A log whose term is not in the
 * lineage can't be compared and counts as behind.
 *
 * An upstream reports a term only once its log reaches that term's start, as a PostgreSQL standby
 * switches its timeline at the switch point.
 */
export function coverage(held: Position, wanted: Position, lineage: Lineage): Coverage {
  if (wanted.offset === 0) return Coverage.Covered;
  if (isDiscarded(wanted, lineage)) return Coverage.Discarded;
  if (held.term < wanted.term) return Coverage.Behind;
  if (!lineage.some((entry) => entry.term === held.term)) return Coverage.Behind;
  return held.offset >= wanted.offset ? Coverage.Covered : Coverage.Behind;
}

/** Whether the lineage has discarded `position`. */
export function isDiscarded(position: Position, lineage: Lineage): boolean {
  return discardingTerm(position, lineage) !== undefined;
}

/**
 * First term of the lineage that discarded `position`: it started before the position, or the term
 * of the position is not part of the lineage although later terms are.
 */
export function discardingTerm(position: Position, lineage: Lineage): number | undefined {
  const isPart = position.offset === 0 || lineage.some((entry) => entry.term === position.term);
  return lineage.find(
    (entry) => entry.term > position.term && (!isPart || entry.start < position.offset),
  )?.term;
}

/**
 * Offset up to which logs of two lineages are certainly identical. A log that has to follow another
 * lineage is truncated to this offset.
 */
export function sharedPrefix(own: Lineage, other: Lineage): number {
  for (const [index, entry] of own.entries()) {
    const match = other[index];
    if (match === undefined) return entry.start;
    if (match.term !== entry.term || match.start !== entry.start) {
      return Math.min(match.start, entry.start);
    }
  }
  return other[own.length]?.start ?? Number.POSITIVE_INFINITY;
}

/** Latest term of a lineage; 0 if it is empty. */
export function lastTerm(lineage: Lineage): number {
  return lineage.at(-1)?.term ?? 0;
}

/** Term of a log of this lineage at `offset`. */
export function termAt(lineage: Lineage, offset: number): number {
  return lineage.findLast((entry) => entry.start <= offset)?.term ?? 0;
}
