/**
 * What the metadata store holds of a group's primary, and the order of two versions of it.
 */
import type { Birth, UpstreamIdentity } from '../membership/upstream-identity.js';
import type { GroupId, HostId, UpstreamId } from '../model/ids.js';

/** Where a group stands between two primaries. */
export enum RecordPhase {
  /** A host has claimed the change of primary; nobody may use the former one any more. */
  Claimed = 'claimed',
  /** The primary named in the record takes work. */
  Serving = 'serving',
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
  readonly born?: Birth;
  /** Host that claimed this epoch. */
  readonly holder: HostId;
}

/** The record that ends a claim: `primary` serves the claimed epoch. */
export function servingRecord(claim: PrimaryRecord, primary: UpstreamIdentity): PrimaryRecord {
  const { id, born } = primary;
  return { ...claim, phase: RecordPhase.Serving, primary: id, born };
}

/** Total order of the versions of one record: by epoch, a claim before its end. */
export function recordRank(record: PrimaryRecord): number {
  return record.epoch * 2 + (record.phase === RecordPhase.Serving ? 1 : 0);
}

/** Whether `next` replaces `held`. */
export function isNewerRecord(held: PrimaryRecord | undefined, next: PrimaryRecord): boolean {
  return held === undefined || recordRank(next) > recordRank(held);
}

/** Whether a host that holds `held` uses nothing any more that the claim takes away. */
export function isGivenUp(held: PrimaryRecord, claim: PrimaryRecord): boolean {
  if (held.epoch !== claim.epoch) return held.epoch > claim.epoch;
  return held.phase === RecordPhase.Claimed;
}
