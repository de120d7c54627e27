/**
 * Timeouts of exchanges that tolerate pauses of this process. After a pause, a plain timer would fire before the
 * process has read an answer that arrived in time, and a peer that did answer would be reported as silent.
 */

/** Timer delay above which the process is assumed to have been paused, milliseconds. */
const PAUSE_THRESHOLD_MS = 100;
/** Time for reading what arrived during a pause, milliseconds. */
const CATCH_UP_MS = 100;

/** A timeout that fires only after everything that arrived within it has been read. */
export class TimeLimit {
  private readonly dueAt: number;
  private timer: NodeJS.Timeout;
  private immediate: NodeJS.Immediate | undefined;

  /**
   * @param ms duration of the timeout, milliseconds
   * @param onTimeout called once when the timeout expires, unless it is cleared before
   */
  constructor(
    ms: number,
    private readonly onTimeout: () => void,
  ) {
    this.dueAt = performance.now() + ms;
    this.timer = setTimeout(() => {
      this.expire();
    }, ms);
  }

  /** Cancels the timeout. */
  clear(): void {
    clearTimeout(this.timer);
    clearImmediate(this.immediate);
  }

  private expire(): void {
    const wasPaused = performance.now() - this.dueAt > PAUSE_THRESHOLD_MS;
    // An immediate runs after the events of all sockets that are readable now.
    if (wasPaused) this.timer = setTimeout(this.onTimeout, CATCH_UP_MS);
    else this.immediate = setImmediate(this.onTimeout);
  }
}
