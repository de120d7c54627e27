/**
 * Health of one upstream as observed by a home: its response time, its failures, and until when it is avoided.
 */

/** Weight of the newest sample in the moving average. */
const MEAN_WEIGHT = 0.1;
/** Response time assumed before the first answer, milliseconds. */
const INITIAL_MEAN_MS = 20;
/** Time for which an upstream is avoided after a first failure, milliseconds; doubles with each further failure. */
const INITIAL_AVOID_MS = 250;
/** Upper bound of this time, milliseconds. */
const MAX_AVOID_MS = 2000;
/** Time for which a replica that lacked a position is avoided, milliseconds: twice the usual replication lag. */
const LAGGING_AVOID_MS = 120;
/** Time for which an upstream that shed a statement is avoided, milliseconds: one usual response time. */
const BUSY_AVOID_MS = 30;

/**
 * Time for which an upstream may accept connections without serving them before that counts as a failure,
 * milliseconds: longer than it takes to serve the connections of all hosts when they restart at once.
 */
const UNSERVED_TIMEOUT_MS = 1500;

export class UpstreamHealth {
  /** Statements of this home that the upstream is running. */
  inFlight = 0;
  /** Moving average of the response time, milliseconds. */
  meanMs = INITIAL_MEAN_MS;
  /** Local time until which the upstream is avoided, milliseconds. */
  avoidUntil = Number.NEGATIVE_INFINITY;
  /** Local time of the latest answer of any kind. */
  lastAnswerAt = Number.NEGATIVE_INFINITY;
  /** Local time of the first failure since the latest answer; undefined if none followed it. */
  failingSince: number | undefined;
  /** Local time of the latest failure. */
  lastFailureAt = Number.NEGATIVE_INFINITY;
  private failures = 0;
  /** Local time since which the upstream has accepted connections without serving them; undefined otherwise. */
  private unservedSince: number | undefined;

  /** Records an answer and its response time. */
  noteAnswer(now: number, tookMs: number): void {
    this.meanMs += (tookMs - this.meanMs) * MEAN_WEIGHT;
    this.noteAlive(now);
  }

  /** Records an answer whose response time is not representative. */
  noteAlive(now: number): void {
    this.lastAnswerAt = now;
    this.failingSince = undefined;
    this.unservedSince = undefined;
    this.failures = 0;
  }

  /** Records a lost or refused connection, for work that began at `since`. */
  noteFailure(now: number, since = now): void {
    this.lastFailureAt = now;
    this.failingSince ??= Math.max(since, this.lastAnswerAt);
    const avoidMs = Math.min(MAX_AVOID_MS, INITIAL_AVOID_MS * 2 ** this.failures);
    this.failures += 1;
    this.avoidUntil = Math.max(this.avoidUntil, now + avoidMs);
  }

  /**
   * Records that a connection was accepted but not served in time, which many simultaneous connections can cause.
   */
  noteUnserved(now: number): void {
    this.unservedSince ??= now;
    if (now - this.unservedSince >= UNSERVED_TIMEOUT_MS) this.noteFailure(now, this.unservedSince);
    else this.avoidUntil = Math.max(this.avoidUntil, now + INITIAL_AVOID_MS);
  }

  /** Records that a replica lacked the position that a read requires. */
  noteLagging(now: number): void {
    this.avoidUntil = Math.max(this.avoidUntil, now + LAGGING_AVOID_MS);
  }

  /** Records that the upstream shed a statement. */
  noteBusy(now: number): void {
    this.avoidUntil = Math.max(this.avoidUntil, now + BUSY_AVOID_MS);
  }
}
