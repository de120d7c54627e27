/**
 * Decides whether a group's primary is suspected. The criterion is not whether it answers but
 * whether a write could be confirmed: the age of the latest state of the primary that a majority
 * holds. This covers a primary that has failed, one that hangs, one that callers reach but that is
 * disconnected from its replicas, and one whose writes no replica receives.
 */
import { majorityOffset } from './acknowledgement.js';
import type { PrimaryWatermarks } from '../reads/watermarks.js';
import { provedAge } from '../reads/watermarks.js';
import type { GroupRecord, GroupSpec } from '../model/group.js';
import { majorityOf } from '../model/group.js';
import type { AzId } from '../model/ids.js';
import type { UpstreamReport } from '../model/upstream-report.js';

/** What a home knows about the primary. */
export interface SuspicionInput {
  readonly spec: GroupSpec;
  readonly record: GroupRecord;
  readonly marks: PrimaryWatermarks;
  /** Latest report of each upstream. */
  readonly reports: readonly UpstreamReport[];
  /** Time up to which the primary's authority is proved, local milliseconds. */
  readonly authority: number;
  /** When this home began to monitor the current term, local milliseconds. */
  readonly watchingSince: number;
}

/** Time for which no write could have been confirmed, milliseconds. */
export function unconfirmableMs(input: SuspicionInput, now: number): number {
  const { spec, record, marks, reports, authority, watchingSince } = input;
  const members = spec.upstreams.map((upstream) => upstream.id);
  const covered = { term: record.term, offset: majorityOffset(members, reports, record.term) };
  const ageMs = provedAge({ marks, lineage: record.lineage, authority }, covered, now);
  return Math.min(ageMs, now - watchingSince);
}

/** Whether this home suspects the primary at `now`. */
export function isSuspect(input: SuspicionInput, now: number, suspectAfterMs: number): boolean {
  return unconfirmableMs(input, now) > suspectAfterMs;
}

/** Vote of the homes of one zone. */
export interface ZoneVote {
  readonly az: AzId;
  readonly suspects: boolean;
}

/** Whether the homes of a majority of the group's zones suspect the primary. */
export function isSuspectedByMajority(
  zones: readonly AzId[],
  opinions: readonly ZoneVote[],
): boolean {
  const suspecting = zones.filter((az) =>
    opinions.some((opinion) => opinion.az === az && opinion.suspects),
  );
  return suspecting.length >= majorityOf(zones.length);
}
