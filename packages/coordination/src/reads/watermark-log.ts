/**
 * Watermarks of one group's primary. A watermark states that the primary, when queried at local
 * time t, was at position p. A replica that contains p shows no state older than t, so a read may
 * run on any replica that contains the oldest watermark that is recent enough for it: the older the
 * watermark, the more replicas contain it.
 */
import type { Position } from './position.js';
import { comparePositions, maxPosition } from './position.js';
import type { PrimaryWatermark } from './watermarks.js';

/** Minimum interval between two watermarks kept, milliseconds; far below every staleness bound in use. */
const SPACING_MS = 20;
/** Age from which watermarks are dropped, milliseconds; no read accepts older data. */
const TTL_MS = 10_000;

/** Watermarks taken under one epoch, oldest first. */
export class WatermarkLog {
  private entries: PrimaryWatermark[] = [];
  private highestPosition: Position | undefined;

  constructor(private epoch = 0) {}

  /** Latest watermark, if any. */
  get newest(): PrimaryWatermark | undefined {
    return this.entries.at(-1);
  }

  /** Highest position reported in an answer; within one epoch the primary never falls behind it. */
  get highest(): Position | undefined {
    return this.highestPosition;
  }

  /** Epoch under which the watermarks were taken. */
  get currentEpoch(): number {
    return this.epoch;
  }

  /** Discards the watermarks when a new epoch serves; those of the previous one are no longer binding. */
  startEpoch(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    this.entries = [];
    this.highestPosition = undefined;
  }

  /** Records an answer of the primary to a query sent at `next.sentAt`. */
  add(next: PrimaryWatermark): void {
    this.highestPosition = maxPosition(this.highestPosition ?? next.position, next.position);
    const last = this.entries.at(-1);
    if (last !== undefined && next.sentAt - last.sentAt < SPACING_MS) return;
    this.entries.push(next);
    while ((this.entries[0]?.sentAt ?? next.sentAt) < next.sentAt - TTL_MS) this.entries.shift();
  }

  /** Oldest watermark whose query was sent at `notBefore` or later. */
  oldestSince(notBefore: number): PrimaryWatermark | undefined {
    return this.entries.find((entry) => entry.sentAt >= notBefore);
  }
}

/**
 * Whether an upstream that is now at `reported` has fallen behind `floor`, which it reported
 * before, and so has lost part of its log. `floor` must have been reported before the query was
 * sent, since answers on several connections may arrive out of order.
 */
export function hasRegressed(floor: Position | undefined, reported: Position | undefined): boolean {
  if (floor === undefined || reported === undefined) return false;
  return comparePositions(reported, floor) < 0;
}

/** Latest commit of a session, which its reads have to see. */
export interface SessionPosition {
  /** Epoch under which the commit was confirmed. */
  readonly epoch: number;
  readonly position: Position;
}

/**
 * Position that a replica must contain for a read: that of the watermark, or of the session's own
 * commit if it is later. A commit of an earlier epoch requires no more than the watermark: what a
 * promotion kept of it precedes every position of the new primary.
 */
export function readFloor(
  watermark: PrimaryWatermark,
  epoch: number,
  own: SessionPosition | undefined,
): Position {
  if (own?.epoch !== epoch) return watermark.position;
  return comparePositions(own.position, watermark.position) > 0 ? own.position : watermark.position;
}
