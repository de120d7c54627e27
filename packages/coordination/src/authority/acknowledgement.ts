/**
 * Decides when a commit may be confirmed to its caller.
 *
 * Replication is asynchronous, so a promotion can lose a commit that only the primary holds. A
 * commit is safe once it is in the logs of a majority under one term: a promotion fences a majority
 * and promotes the highest log among it, and any two majorities share a member.
 */
import type { GroupRecord } from '../model/group.js';
import { majorityOf } from '../model/group.js';
import type { UpstreamId } from '../model/ids.js';
import type { Position } from '../reads/position.js';
import { discardingTerm, isDiscarded } from '../reads/position.js';
import type { UpstreamReport } from '../model/upstream-report.js';

/** Decision on a commit that awaits confirmation. */
export enum AckDecision {
  /** The commit can no longer be lost and may be confirmed. */
  Confirmed = 'confirmed',
  /** The reports do not yet prove that the commit is safe. */
  Waiting = 'waiting',
  /** A promotion discarded the commit permanently; it will never be confirmed. */
  Superseded = 'superseded',
}

/** Input of the decision. */
export interface AckInput {
  /** Position of the commit. */
  readonly position: Position;
  /** Latest known record of the group. */
  readonly record: GroupRecord;
  /** Upstreams of the group, whether reachable or not. */
  readonly members: readonly UpstreamId[];
  /** Latest reports, each requested after the commit was made. */
  readonly reports: readonly UpstreamReport[];
}

/** Rule that decides when commits are confirmed. */
export interface AcknowledgementRule {
  decide(input: AckInput): AckDecision;
}

/**
 * Confirms a commit that a majority holds under one term, where no member of that majority is
 * fenced at a later term.
 *
 * That term may be the commit's own or a later one whose lineage contains the commit. Holders under
 * different terms are never added up, because a promotion may still discard such a commit. A term
 * that is claimed but not part of the lineage proves nothing: its log may lack the commit.
 */
export class MajorityRule implements AcknowledgementRule {
  decide(input: AckInput): AckDecision {
    const { position, record, members, reports } = input;
    if (isDiscarded(position, record.lineage)) {
      return isFinallyDiscarded(input) ? AckDecision.Superseded : AckDecision.Waiting;
    }
    const confirmed = record.lineage
      .filter((entry) => entry.term >= position.term)
      .some((entry) => majorityOffset(members, reports, entry.term) >= position.offset);
    return confirmed ? AckDecision.Confirmed : AckDecision.Waiting;
  }
}

/**
 * Whether the term that discarded the commit can no longer be discarded itself, because a majority
 * holds one term of the lineage at or after it. Until then, a promotion that does not reach the new
 * primary could still choose a log that contains the commit.
 */
function isFinallyDiscarded(input: AckInput): boolean {
  const { position, record, members, reports } = input;
  const discarding = discardingTerm(position, record.lineage);
  if (discarding === undefined) return false;
  return record.lineage
    .filter((entry) => entry.term >= discarding)
    .some((entry) => {
      const holders = members.filter((member) =>
        reports.some((report) => report.upstream === member && report.received.term === entry.term),
      );
      return holders.length >= majorityOf(members.length);
    });
}

/** Confirms every commit of the primary immediately. Unsafe; serves as the baseline of measurements. */
export class PrimaryCommitRule implements AcknowledgementRule {
  decide(): AckDecision {
    return AckDecision.Confirmed;
  }
}

/**
 * Highest offset of `term` that a majority holds. Positions at or below it are confirmed.
 *
 * @returns the offset, or 0 if no majority reports the term
 */
export function majorityOffset(
  members: readonly UpstreamId[],
  reports: readonly UpstreamReport[],
  term: number,
): number {
  const offsets = members.map((member) => {
    const report = reports.find((candidate) => candidate.upstream === member);
    if (report === undefined) return 0;
    const counts = report.received.term === term && report.fencedTerm <= term;
    return counts ? report.received.offset : 0;
  });
  offsets.sort((a, b) => b - a);
  return offsets[majorityOf(members.length) - 1] ?? 0;
}
