/**
 * History of the requests of callers and their outcomes, in order of completion.
 */

/** Outcome of a write as reported to the caller. */
export enum Told {
  Confirmed = 'confirmed',
  /** Refused with `ran=no`, or failed with an error that rolls the write back. */
  NotRun = 'not-run',
  /** Outcome unknown, or the connection was lost. */
  Unknown = 'unknown',
}

/** A write of one row. */
export interface WriteEvent {
  readonly kind: 'write';
  readonly session: string;
  /** Row that the write adds, unique to this attempt of the request. */
  readonly row: string;
  /** Request id, shared by retries; undefined for a write without one. */
  readonly request: string | undefined;
  readonly told: Told;
}

/** A read by a session of one of its confirmed rows. */
export interface ReadEvent {
  readonly kind: 'read';
  readonly session: string;
  /** Row that is read; its write was reported to the session as confirmed before. */
  readonly row: string;
  /** Session that wrote the row; undefined if the row was not found. */
  readonly foundOwner: string | undefined;
}

/** An event of a history. */
export type HistoryEvent = WriteEvent | ReadEvent;

/** Keys of the rows in the logs after all faults are healed. */
export type FinalRows = ReadonlySet<string>;
