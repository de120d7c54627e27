/**
 * Marks of one group's primary: "when asked at local time t, it stood at position p". A replica that
 * holds p shows nothing older than t, so a read may run behind the oldest mark that is young enough
 * for it: the older the mark, the more replicas hold it.
 */
import type { Position } from './position.js';
import { comparePositions, maxPosition } from './position.js';
import type { PrimaryWatermark } from './watermarks.js';

/** Least distance between two marks kept, milliseconds; far below every staleness bound in use. */
const SPACING_MS = 20;
/** Marks older than this are dropped, milliseconds; no read accepts older data. */
const KEEP_MS = 10_000;

/** Marks taken under one epoch, oldest first. */
export class WatermarkLog {
  private marks: PrimaryWatermark[] = [];
  private furthest: Position | undefined;

  constructor(private epoch = 0) {}

  /** Newest mark, if any. */
  get newest(): PrimaryWatermark | undefined {
    return this.marks.at(-1);
  }

  /** Furthest position that an answer has told; under one epoch the primary never goes back behind it. */
  get highest(): Position | undefined {
    return this.furthest;
  }

  /** Epoch under which the marks were taken. */
  get currentEpoch(): number {
    return this.epoch;
  }

  /** Starts anew when a new epoch serves; marks of the former one bind nobody any more. */
  startEpoch(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    this.marks = [];
    this.furthest = undefined;
  }

  /** Notes an answer of the primary to a question sent at `mark.sentAt`. */
  add(mark: PrimaryWatermark): void {
    this.furthest = maxPosition(this.furthest ?? mark.position, mark.position);
    const last = this.marks.at(-1);
    if (last !== undefined && mark.sentAt - last.sentAt < SPACING_MS) return;
    this.marks.push(mark);
    while ((this.marks[0]?.sentAt ?? mark.sentAt) < mark.sentAt - KEEP_MS) this.marks.shift();
  }

  /** Oldest mark whose question was sent at `notBefore` or later. */
  oldestSince(notBefore: number): PrimaryWatermark | undefined {
    return this.marks.find((mark) => mark.sentAt >= notBefore);
  }
}

/**
 * Whether an upstream that tells `told` lacks what it had told before: it has lost its log. `floor` has to
 * have been told before the question was sent, since answers on several connections overtake one another.
 */
export function hasRegressed(floor: Position | undefined, told: Position | undefined): boolean {
  if (floor === undefined || told === undefined) return false;
  return comparePositions(told, floor) < 0;
}

/** What a session has to see of its own commits. */
export interface SessionPosition {
  /** Epoch under which the commit was confirmed. */
  readonly epoch: number;
  readonly position: Position;
}

/**
 * Position that a replica must hold for a read: the mark's, or the session's own commit if that is
 * later. A commit of an earlier epoch needs nothing more than the mark: what a promotion kept of it
 * lies before every position of the new primary.
 */
export function readFloor(
  mark: PrimaryWatermark,
  epoch: number,
  own: SessionPosition | undefined,
): Position {
  if (own?.epoch !== epoch) return mark.position;
  return comparePositions(own.position, mark.position) > 0 ? own.position : mark.position;
}
