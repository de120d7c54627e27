/**
 * What the metadata store holds of a group's primary, and the order of two versions of it.
 */
import type { StartTime, UpstreamIdentity } from '../membership/upstream-identity.js';
import type { GroupId, HostId, UpstreamId } from '../model/ids.js';
import type { Position } from '../reads/position.js';

/** Where a group stands between two primaries. */
export enum RecordPhase {
  /** A host has claimed the change of primary; nobody may use the former one any more. */
  Claimed = 'claimed',
  /** The primary named in the record takes work. */
  Serving = 'serving',
}

/** The upstream that a holder has called for, or is about to, and what it told of itself before. */
export interface NamedSuccessor extends UpstreamIdentity {
  /** Whether it led already. */
  readonly isPrimary: boolean;
  readonly term: number;
  readonly received: Position;
}

/** Record of a group's primary, changed by compare-and-swap only. */
export interface PrimaryRecord {
  readonly group: GroupId;
  /** Grows by one with each claim. */
  readonly epoch: number;
  readonly phase: RecordPhase;
  /** The primary; while claimed, the former one. */
  readonly primary: UpstreamId;
  /** Birth of the primary, as it told when it was named; missing where it told none. */
  readonly born?: StartTime;
  /** Host that claimed this epoch. */
  readonly holder: HostId;
  /** While claimed: the only upstream that may be called for; missing until one is named. */
  readonly successor?: NamedSuccessor | undefined;
}

/** The claim that follows a record, with the successor that a claim before it has named, if any. */
export function claimedRecord(
  former: PrimaryRecord,
  holder: HostId,
  successor: NamedSuccessor | undefined,
): PrimaryRecord {
  const { group, epoch, primary, born } = former;
  const claim = { group, epoch: epoch + 1, phase: RecordPhase.Claimed, primary, born, holder };
  return successor === undefined ? claim : { ...claim, successor };
}

/** A claim that names the only upstream that may be called for. */
export function namedRecord(claim: PrimaryRecord, successor: NamedSuccessor): PrimaryRecord {
  const { id, born, isPrimary, term, received } = successor;
  return { ...claim, successor: { id, born, isPrimary, term, received } };
}

/** The record that ends a claim: `primary` serves the claimed epoch. */
export function servingRecord(claim: PrimaryRecord, primary: UpstreamIdentity): PrimaryRecord {
  const { id, born } = primary;
  const { group, epoch, holder } = claim;
  return { group, epoch, phase: RecordPhase.Serving, primary: id, born, holder };
}

/** Versions of a record under one epoch. */
enum RecordStep {
  Claimed,
  Named,
  Serving,
}
const STEPS_OF_EPOCH = 3;

/** Total order of the versions of one record: by epoch, a claim before its successor is named, that before its end. */
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

/** Whether a host that holds `held` uses nothing any more that the claim takes away. */
export function acknowledgesClaim(held: PrimaryRecord, claim: PrimaryRecord): boolean {
  if (held.epoch !== claim.epoch) return held.epoch > claim.epoch;
  return held.phase === RecordPhase.Claimed;
}
