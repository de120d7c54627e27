/**
 * What a home has seen of one upstream: how fast it answers, and until when to avoid it.
 */

/** Weight of the newest sample in the moving average. */
const MEAN_WEIGHT = 0.1;
/** Assumed time of an answer before the first one, milliseconds. */
const FIRST_MEAN_MS = 20;
/** First time for which an upstream is avoided after a failure, milliseconds; doubles each time. */
const FIRST_AVOID_MS = 250;
/** Longest time for which an upstream is avoided, milliseconds. */
const MAX_AVOID_MS = 2000;
/** Time for which a replica is avoided that lacked a position, milliseconds: two usual lags. */
const LAGGING_AVOID_MS = 120;
/** Time for which an upstream is avoided that shed a statement, milliseconds: one usual answer. */
const BUSY_AVOID_MS = 30;

/**
 * Time for which an upstream may accept connections without serving them before that counts as a failure,
 * milliseconds: longer than it takes to serve those of a whole fleet that comes back at once.
 */
const UNSERVED_MS = 1500;

/** Health of one upstream as one home sees it. */
export class UpstreamHealth {
  /** Statements of this home that are at the upstream. */
  inFlight = 0;
  /** Moving average of the time of an answer, milliseconds. */
  meanMs = FIRST_MEAN_MS;
  /** Local time until which the upstream is avoided. */
  avoidUntil = Number.NEGATIVE_INFINITY;
  /** Local time of the latest answer of any kind. */
  lastAnswerAt = Number.NEGATIVE_INFINITY;
  /** Local time of the first failure since the latest answer; undefined while it answers. */
  failingSince: number | undefined;
  /** Local time of the latest failure. */
  lastFailureAt = Number.NEGATIVE_INFINITY;
  private failures = 0;
  /** Local time since which it has accepted connections and served none; undefined otherwise. */
  private unservedSince: number | undefined;

  /** Notes an answer and the time that it took. */
  noteAnswer(now: number, tookMs: number): void {
    this.meanMs += (tookMs - this.meanMs) * MEAN_WEIGHT;
    this.noteAlive(now);
  }

  /** Notes that it answered, without a time worth averaging. */
  noteAlive(now: number): void {
    this.lastAnswerAt = now;
    this.failingSince = undefined;
    this.unservedSince = undefined;
    this.failures = 0;
  }

  /** Notes a lost connection or a refused one, for work that began at `since`. */
  noteFailure(now: number, since = now): void {
    this.lastFailureAt = now;
    this.failingSince ??= Math.max(since, this.lastAnswerAt);
    const avoidMs = Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** this.failures);
    this.failures += 1;
    this.avoidUntil = Math.max(this.avoidUntil, now + avoidMs);
  }

  /** Notes that a connection was accepted and not served in time; many may have come at once. */
  noteUnserved(now: number): void {
    this.unservedSince ??= now;
    if (now - this.unservedSince >= UNSERVED_MS) this.noteFailure(now, this.unservedSince);
    else this.avoidUntil = Math.max(this.avoidUntil, now + FIRST_AVOID_MS);
  }

  /** Notes that a replica lacked the position that a read needs. */
  noteLagging(now: number): void {
    this.avoidUntil = Math.max(this.avoidUntil, now + LAGGING_AVOID_MS);
  }

  /** Notes that the upstream shed a statement. */
  noteBusy(now: number): void {
    this.avoidUntil = Math.max(this.avoidUntil, now + BUSY_AVOID_MS);
  }
}
