/**
 * Marks of one group's primary: "when asked at local time t, it stood at position p". A replica that
 * holds p shows nothing older than t, so a read may run behind the oldest mark that is young enough
 * for it: the older the mark, the more replicas hold it.
 */
import type { Position } from './position.js';
import { comparePositions } from './position.js';
import type { PrimaryMark } from './data-age.js';

/** Least distance between two marks kept, milliseconds; far below every staleness bound in use. */
const SPACING_MS = 20;
/** Marks older than this are dropped, milliseconds; no read accepts older data. */
const KEEP_MS = 10_000;

/** Marks taken under one epoch, oldest first. */
export class MarkLog {
  private marks: PrimaryMark[] = [];

  constructor(private epoch = 0) {}

  /** Newest mark, if any. */
  get newest(): PrimaryMark | undefined {
    return this.marks.at(-1);
  }

  /** Epoch under which the marks were taken. */
  get epochOfMarks(): number {
    return this.epoch;
  }

  /** Starts anew when a new epoch serves; marks of the former one bind nobody any more. */
  startEpoch(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    this.marks = [];
  }

  /** Notes an answer of the primary to a question sent at `mark.sentAt`. */
  add(mark: PrimaryMark): void {
    const last = this.marks.at(-1);
    if (last !== undefined && mark.sentAt - last.sentAt < SPACING_MS) return;
    this.marks.push(mark);
    while ((this.marks[0]?.sentAt ?? mark.sentAt) < mark.sentAt - KEEP_MS) this.marks.shift();
  }

  /** Oldest mark whose question was sent at `notBefore` or later. */
  oldestSince(notBefore: number): PrimaryMark | undefined {
    return this.marks.find((mark) => mark.sentAt >= notBefore);
  }
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
  mark: PrimaryMark,
  epoch: number,
  own: SessionPosition | undefined,
): Position {
  if (own?.epoch !== epoch) return mark.position;
  return comparePositions(own.position, mark.position) > 0 ? own.position : mark.position;
}
