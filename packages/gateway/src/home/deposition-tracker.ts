/**
 * Whether the upstream that a record names as the primary has itself shown that it leads no more. A proof tells
 * only what the record says: a promotion that nobody of the hosts waited for deposes a primary all the same.
 */
import type { PrimaryRecord } from '@gladespool/coordination';

/** What one host knows of the primary of one group. */
export class DepositionTracker {
  private denied: { readonly epoch: number; readonly since: number } | undefined;

  /** Since when the primary of `record` has shown that it leads no more; undefined while it has not. */
  deposedSince(record: PrimaryRecord | undefined): number | undefined {
    return this.denied?.epoch === record?.epoch ? this.denied?.since : undefined;
  }

  /**
   * Notes at `now` that the primary of `record` leads no more.
   *
   * @returns whether that is news
   */
  noteDeposed(record: PrimaryRecord, now: number): boolean {
    if (this.deposedSince(record) !== undefined) return false;
    this.denied = { epoch: record.epoch, since: now };
    return true;
  }

  /** Notes that the primary of `record` says that it leads. */
  notePrimaryConfirmed(record: PrimaryRecord): void {
    if (this.deposedSince(record) !== undefined) this.denied = undefined;
  }
}
