/**
 * The record of a group's primary in the metadata store, and the order of its versions.
 */
import type { StartTime, UpstreamIdentity } from '../membership/upstream-identity.js';
import type { GroupId, HostId, UpstreamId } from '../model/ids.js';
import type { Position } from '../reads/position.js';

/** Phase of a record. */
export enum RecordPhase {
  /** A host has claimed a change of primary; the former primary may no longer be used. */
  Claimed = 'claimed',
  /** The primary named in the record accepts work. */
  Serving = 'serving',
}

/**
 * The upstream for which the holder of a claim has requested promotion, or is about to, with its
 * last report before that.
 */
export interface NamedSuccessor extends UpstreamIdentity {
  /** Whether it was primary already, in the newest term known. */
  readonly isPrimary: boolean;
  /** Newest term that was known of any upstream of the group. */
  readonly term: number;
  readonly received: Position;
}

/** Record of a group's primary; changed only by compare-and-swap. */
export interface PrimaryRecord {
  readonly group: GroupId;
  /** Increases by one with each claim. */
  readonly epoch: number;
  readonly phase: RecordPhase;
  /** The primary; while claimed, the former primary. */
  readonly primary: UpstreamId;
  /** Start time that the primary reported when it was named; missing if it reported none. */
  readonly born?: StartTime;
  /** Term in which the primary led when it was named; missing if it isn't known. */
  readonly term?: number | undefined;
  /** Host that claimed this epoch. */
  readonly holder: HostId;
  /** While claimed: the only upstream that may be promoted; missing until one is named. */
  readonly successor?: NamedSuccessor | undefined;
}

/** The claim that follows `former`, with the successor that an earlier claim named, if any. */
export function claimedRecord(
  former: PrimaryRecord,
  holder: HostId,
  successor: NamedSuccessor | undefined,
): PrimaryRecord {
  const { group, epoch, primary, born, term } = former;
  const claim = {
    group,
    epoch: epoch + 1,
    phase: RecordPhase.Claimed,
    primary,
    born,
    term,
    holder,
  };
  return successor === undefined ? claim : { ...claim, successor };
}

/** The claim with the only upstream that may be promoted under it. */
export function namedRecord(claim: PrimaryRecord, successor: NamedSuccessor): PrimaryRecord {
  const { id, born, isPrimary, term, received } = successor;
  return { ...claim, successor: { id, born, isPrimary, term, received } };
}

/** The record that completes a claim: `primary` serves in the claimed epoch, and leads in `term` if that is known. */
export function servingRecord(
  claim: PrimaryRecord,
  primary: UpstreamIdentity,
  term: number | undefined,
): PrimaryRecord {
  const { id, born } = primary;
  const { group, epoch, holder } = claim;
  return { group, epoch, phase: RecordPhase.Serving, primary: id, born, term, holder };
}

/** Versions of a record within one epoch, in their order. */
enum RecordStep {
  Claimed,
  Named,
  Serving,
}
const STEPS_OF_EPOCH = 3;

/**
 * Total order of the versions of one record: by epoch, then the claim, the claim with a named
 * successor, and the serving record.
 */
export function recordRank(record: PrimaryRecord): number {
  return record.epoch * STEPS_OF_EPOCH + stepOf(record);
}

function stepOf({ phase, successor }: PrimaryRecord): RecordStep {
  if (phase === RecordPhase.Serving) return RecordStep.Serving;
  return successor === undefined ? RecordStep.Claimed : RecordStep.Named;
}

/** Whether `next` replaces `held`. */
export function isNewerRecord(held: PrimaryRecord | undefined, next: PrimaryRecord): boolean {
  return held === undefined || recordRank(next) > recordRank(held);
}

/** Whether a host that holds `held` no longer uses the primary that the claim replaces. */
export function acknowledgesClaim(held: PrimaryRecord, claim: PrimaryRecord): boolean {
  if (held.epoch !== claim.epoch) return held.epoch > claim.epoch;
  return held.phase === RecordPhase.Claimed;
}
