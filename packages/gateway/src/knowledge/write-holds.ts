/**
 * Holds a group's writes for a short time before a planned change of its primary, so that writes in flight complete
 * before the former primary is given up.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GroupId } from '@gladespool/coordination';
import type { GatewayBoard } from './board.js';

/** Poll interval while waiting for writes in flight, milliseconds. */
const POLL_MS = 5;

/** Time added to a hold for the claim that follows it, milliseconds: a few calls to the store. */
const CLAIM_MS = 200;

/** Write holds of one host. */
export class WriteHolds {
  private readonly until = new Map<GroupId, { readonly epoch: number; readonly until: number }>();
  private readonly inFlight = new Map<GroupId, number>();

  constructor(private readonly board: GatewayBoard) {}

  /** Whether new writes of the group wait at `now`. */
  isHeld(group: GroupId, now: number): boolean {
    const hold = this.until.get(group);
    if (hold === undefined) return false;
    return now < hold.until && this.board.record(group)?.epoch === hold.epoch;
  }

  /** Counts a write or writing transaction as in flight; returns a function that ends it. */
  trackWrite(group: GroupId): () => void {
    this.inFlight.set(group, (this.inFlight.get(group) ?? 0) + 1);
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.inFlight.set(group, (this.inFlight.get(group) ?? 1) - 1);
    };
  }

  /** Holds new writes of `epoch`; resolves when none is in flight or `holdMs` have passed. */
  async hold(group: GroupId, epoch: number, holdMs: number, now: number): Promise<void> {
    const until = now + holdMs;
    this.until.set(group, { epoch, until: until + CLAIM_MS });
    while ((this.inFlight.get(group) ?? 0) > 0 && performance.now() < until) await pause(POLL_MS);
  }
}
