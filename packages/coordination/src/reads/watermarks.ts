/**
 * Proves how old an upstream's data is without synchronized clocks: the home notes "when I asked
 * at local time t, the primary stood at p"; an upstream that has applied p shows nothing older
 * than t. While the primary can't be asked the proved age only grows. A superseded primary that still
 * answers proves nothing, so a mark counts only up to the time of the primary's proved authority.
 */
import { majorityOf } from '../model/group.js';
import type { UpstreamId } from '../model/ids.js';
import type { Lineage, Position } from './position.js';
import { coverage, Coverage } from './position.js';
import type { TimedReport } from '../model/upstream-report.js';

/** One observation of the primary. */
export interface PrimaryWatermark {
  /** Local time at which the query was sent, milliseconds. */
  readonly sentAt: number;
  /** Position of the primary when it answered. */
  readonly position: Position;
}

/** Observations kept, newest last; bounded in number and spacing. */
export type PrimaryWatermarks = readonly PrimaryWatermark[];

const MAX_MARKS = 256;

/**
 * Adds an observation. Marks younger than `spacingMs` after the one before replace nothing and
 * are dropped, so that 256 marks reach back 256 x spacing.
 */
export function addWatermark(
  marks: PrimaryWatermarks,
  mark: PrimaryWatermark,
  spacingMs: number,
): PrimaryWatermarks {
  const last = marks.at(-1);
  if (last !== undefined && mark.sentAt - last.sentAt < spacingMs) return marks;
  return [...marks, mark].slice(-MAX_MARKS);
}

/**
 * Latest local time at which the primary of `term` was surely not superseded: a majority of the
 * members answered, to queries sent then or later, that nothing had fenced them past the term.
 *
 * @returns -Infinity when no majority did.
 */
export function authorityAt(
  members: readonly UpstreamId[],
  reports: readonly TimedReport[],
  term: number,
): number {
  const times = members.map((member) => {
    const timed = reports.find((candidate) => candidate.report.upstream === member);
    if (timed === undefined || timed.report.fencedTerm > term) return Number.NEGATIVE_INFINITY;
    return timed.sentAt;
  });
  times.sort((a, b) => b - a);
  return times[majorityOf(members.length) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** What an age is proved from. */
export interface AgeProof {
  readonly marks: PrimaryWatermarks;
  readonly lineage: Lineage;
  /** Highest {@link authorityAt} so far; a mark taken later may be of a superseded primary. */
  readonly authority: number;
}

/**
 * Age of data at `applied`, milliseconds: time since the newest mark that it covers was *sent*.
 *
 * @returns Infinity when it covers no mark.
 */
export function provedAge(proof: AgeProof, applied: Position, now: number): number {
  const { marks, lineage, authority } = proof;
  const newest = marks.findLast(
    (mark) =>
      mark.sentAt <= authority && coverage(applied, mark.position, lineage) === Coverage.Covered,
  );
  return newest === undefined ? Number.POSITIVE_INFINITY : now - newest.sentAt;
}
