/**
 * Properties of statements, shared by all protocols.
 */

/** Whether a statement reads or writes. */
export enum Access {
  Read = 'read',
  Write = 'write',
}

/** Consistency level: which commits a read has to see. */
export enum Consistency {
  /** Every commit confirmed before the read began. */
  Primary = 'primary',
  /** Every commit older than the bound. */
  BoundedStaleness = 'bounded-staleness',
  /** Every commit older than the bound, and every commit of the same session. */
  ReadYourWrites = 'read-your-writes',
}

/** Errors reported by an upstream. */
export enum UpstreamFault {
  Busy = 'busy',
  Lagging = 'lagging',
  ReadOnly = 'read-only',
  Misrouted = 'misrouted',
  Overloaded = 'overloaded',
  UnknownStatement = 'unknown-statement',
  Aborted = 'aborted',
  Failed = 'failed',
  TimedOut = 'timed-out',
  Other = 'other',
}
