/**
 * Time limits of exchanges. A process that did not run for a while finds the limit over before it has read the answer
 * that arrived in time, and would report as silent whoever had answered.
 */

/** Delay of its timer from which a process counts as having been paused, milliseconds. */
const PAUSED_MS = 100;
/** Time to read what arrived during a pause, milliseconds. */
const CATCH_UP_MS = 100;

/** A limit that runs out once what arrived within it has been read. */
export class TimeLimit {
  private readonly dueAt: number;
  private timer: NodeJS.Timeout;
  private immediate: NodeJS.Immediate | undefined;

  /**
   * @param ms the limit, milliseconds
   * @param onOver called at most once, unless the limit is cleared before
   */
  constructor(
    ms: number,
    private readonly onOver: () => void,
  ) {
    this.dueAt = performance.now() + ms;
    this.timer = setTimeout(() => {
      this.end();
    }, ms);
  }

  /** Ends the limit without a call. */
  clear(): void {
    clearTimeout(this.timer);
    clearImmediate(this.immediate);
  }

  private end(): void {
    const wasPaused = performance.now() - this.dueAt > PAUSED_MS;
    // An immediate runs after the sockets that are readable now.
    if (wasPaused) this.timer = setTimeout(this.onOver, CATCH_UP_MS);
    else this.immediate = setImmediate(this.onOver);
  }
}
