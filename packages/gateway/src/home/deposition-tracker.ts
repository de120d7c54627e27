/**
 * Tracks whether the upstream that a record names as primary has itself shown that it is no longer primary. A valid
 * proof only confirms that the record is current: a promotion that none of the hosts waited for deposes the primary
 * all the same.
 */
import type { PrimaryRecord } from '@gladespool/coordination';

/** Deposition of the primary of one group, as observed by one host. */
export class DepositionTracker {
  private deposed: { readonly epoch: number; readonly since: number } | undefined;

  /** Local time at which the primary of `record` was first seen to be deposed; undefined if it was not. */
  deposedSince(record: PrimaryRecord | undefined): number | undefined {
    return this.deposed?.epoch === record?.epoch ? this.deposed?.since : undefined;
  }

  /**
   * Records at `now` that the primary of `record` is deposed.
   *
   * @returns false if that was recorded before
   */
  noteDeposed(record: PrimaryRecord, now: number): boolean {
    if (this.deposedSince(record) !== undefined) return false;
    this.deposed = { epoch: record.epoch, since: now };
    return true;
  }

  /** Records that the primary of `record` has reported the primary role. */
  notePrimaryConfirmed(record: PrimaryRecord): void {
    if (this.deposedSince(record) !== undefined) this.deposed = undefined;
  }
}
