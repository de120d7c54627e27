/**
 * Proves an upper bound of the age of an upstream's data without synchronized clocks: the home
 * records watermarks, each of which states that the primary, when queried at local time t, was at
 * position p. An upstream that has applied p shows no state older than t. While the primary can't
 * be queried, the proved age only grows. A superseded primary that still answers proves nothing, so
 * a watermark is valid only up to the time for which the primary's authority is proved.
 */
import { majorityOf } from '../model/group.js';
import type { HostId, UpstreamId } from '../model/ids.js';
import type { Lineage, Position } from './position.js';
import { coverage, Coverage } from './position.js';
import type { TimedReport } from '../model/upstream-report.js';

/** One observed position of the primary. */
export interface PrimaryWatermark {
  /** Local time at which the query was sent, milliseconds. */
  readonly sentAt: number;
  /** Position of the primary when it answered. */
  readonly position: Position;
  /** Host that queried the primary and passed the watermark on; missing if it is this one. */
  readonly takenBy?: HostId;
}

/** Watermarks, latest last; bounded in number and with a minimum interval. */
export type PrimaryWatermarks = readonly PrimaryWatermark[];

const MAX_WATERMARKS = 256;

/**
 * Adds a watermark. One taken less than `spacingMs` after the previous one is dropped, so that 256
 * watermarks cover a period of 256 * spacingMs.
 */
export function addWatermark(
  watermarks: PrimaryWatermarks,
  watermark: PrimaryWatermark,
  spacingMs: number,
): PrimaryWatermarks {
  const last = watermarks.at(-1);
  if (last !== undefined && watermark.sentAt - last.sentAt < spacingMs) return watermarks;
  return [...watermarks, watermark].slice(-MAX_WATERMARKS);
}

/**
 * Latest local time at which the primary of `term` was certainly not superseded: a majority of the
 * members reported, in answer to queries sent at or after that time, that they were not fenced at a
 * later term.
 *
 * @returns -Infinity if no majority did
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

/** Evidence from which an age is proved. */
export interface AgeProof {
  readonly marks: PrimaryWatermarks;
  readonly lineage: Lineage;
  /** Highest {@link authorityAt} so far; a later watermark may come from a superseded primary. */
  readonly authority: number;
}

/**
 * Age of the data at `applied`, milliseconds: time since the query of the latest watermark that it
 * contains was *sent*.
 *
 * @returns Infinity if it contains no watermark
 */
export function provedAge(proof: AgeProof, applied: Position, now: number): number {
  const { marks, lineage, authority } = proof;
  const newest = marks.findLast(
    (mark) =>
      mark.sentAt <= authority && coverage(applied, mark.position, lineage) === Coverage.Covered,
  );
  return newest === undefined ? Number.POSITIVE_INFINITY : now - newest.sentAt;
}
