/**
 * Decides until when an upstream that leaves receives new work: single statements and first statements of
 * transactions. An upstream may end a fixed time after the store took the news that it leaves. A host does not know
 * that moment; it was after the latest time at which the documents of this host were certainly current.
 */
import type { ExpiryRules } from './upstream-expiry.js';

/** How a host learned that an upstream leaves. */
export enum DepartureCause {
  /** The upstream reports that it is draining. */
  Draining = 'draining',
  /** Its entry has disappeared from the store. */
  EntryMissing = 'entry-missing',
}

/** The departure of an upstream, as known to one host. */
export interface Departure {
  readonly cause: DepartureCause;
  /** Latest local time at which it was certainly not leaving; -Infinity if this host never knew that. */
  readonly lastReadyAt: number;
  /** Local time at which this host learned of it. */
  readonly learnedAt: number;
  /** Local time from which it receives no new work. */
  readonly newWorkEndsAt: number;
}

/** The departure of an upstream that a host learned of at `learnedAt`. */
export function departureOf(
  cause: DepartureCause,
  lastReadyAt: number,
  learnedAt: number,
  rules: ExpiryRules,
): Departure {
  const newWorkEndsAt = Math.max(
    lastReadyAt + rules.newWorkMs,
    learnedAt + minimumMs(cause, rules),
  );
  return { cause, lastReadyAt, learnedAt, newWorkEndsAt };
}

/**
 * The departure of an upstream whose entry is missing at `now`, while entries may be missing because the store was
 * unavailable: a live upstream gets the time to write its entry again.
 */
export function postponeDeparture(
  departure: Departure,
  now: number,
  rules: ExpiryRules,
): Departure {
  if (departure.cause !== DepartureCause.EntryMissing) return departure;
  const newWorkEndsAt = Math.max(departure.newWorkEndsAt, now + rules.leavingAfterMs);
  return { ...departure, newWorkEndsAt };
}

/** Whether a departing upstream still receives new work at `now`. */
export function receivesNewWork(departure: Departure | undefined, now: number): boolean {
  return departure === undefined || now < departure.newWorkEndsAt;
}

/** Time for which an upstream receives new work after a host has learned of its departure, at the least. */
function minimumMs(cause: DepartureCause, rules: ExpiryRules): number {
  return cause === DepartureCause.Draining ? rules.lateNewsMs : rules.leavingAfterMs;
}
