/**
 * What callers asked and were told, in the order in which it ended.
 */

/** What a caller was told about a write. */
export enum Told {
  Confirmed = 'confirmed',
  /** Refused with ran=no, or failed in a way that rolls back. */
  NotRun = 'not-run',
  /** Outcome unknown, or the connection was lost. */
  Unknown = 'unknown',
}

/** A write of one row. */
export interface WriteEvent {
  readonly kind: 'write';
  readonly session: string;
  /** Row that the write adds, unique to this sending of the request. */
  readonly row: string;
  /** Request id, shared by repeated sendings; undefined for an unmarked write. */
  readonly request: string | undefined;
  readonly told: Told;
}

/** A read by a session of one of its confirmed rows. */
export interface ReadEvent {
  readonly kind: 'read';
  readonly session: string;
  /** Row asked for; the session was told before that it is confirmed. */
  readonly row: string;
  /** Session that wrote the row found; undefined when none was found. */
  readonly foundOwner: string | undefined;
}

/** An event of a history. */
export type HistoryEvent = WriteEvent | ReadEvent;

/** Rows as they stand in a group's log after all faults are healed. */
export type FinalRows = ReadonlySet<string>;
