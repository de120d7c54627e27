/**
 * Decides when a host may treat others as late. After a pause of the process, timers are overdue
 * before the messages that arrived in the meantime are read, so the process would take its own
 * pause for a lack of messages from others.
 */

/**
 * Maximum number of consecutive late ticks that defer the decision to the next one: a process that
 * is always slow has to decide as well.
 */
const MAX_DEFERRED_TICKS = 3;

/** Time for which pauses are kept, milliseconds; longer than a proof is valid. */
const PAUSE_RETENTION_MS = 2000;

/** A period in which the process did not run. */
interface Pause {
  readonly from: number;
  readonly to: number;
}

/** Measures the delay of ticks that are due at a fixed interval. */
export class EventLoopMonitor {
  /** Number of consecutive ticks that deferred the decision. */
  private deferredTicks = 0;
  private latestDelayMs = 0;
  private pauses: readonly Pause[] = [];

  /**
   * @param intervalMs interval between two ticks, milliseconds
   * @param lastTickAt local time one interval before the first tick is due
   */
  constructor(
    private readonly intervalMs: number,
    private lastTickAt: number,
  ) {}

  /** Delay of the latest tick, milliseconds. */
  get delayMs(): number {
    return this.latestDelayMs;
  }

  /**
   * Total time since `at` in which this process did not run, milliseconds; it does not count
   * towards the delay of others.
   */
  pausedMsSince(at: number): number {
    return this.pauses.reduce((sum, { from, to }) => sum + Math.max(0, to - Math.max(from, at)), 0);
  }

  /**
   * Records a tick at `now`.
   *
   * @returns whether this tick may treat others as late. A tick that is overdue by more than one
   * interval defers that to the next one, so that messages are read first.
   */
  recordTick(now: number): boolean {
    const dueAt = this.lastTickAt + this.intervalMs;
    this.lastTickAt = now;
    this.pauses = [...this.pauses, { from: dueAt, to: now }].filter(
      ({ from, to }) => to > from && to > now - PAUSE_RETENTION_MS,
    );
    this.latestDelayMs = Math.max(0, now - dueAt);
    const isLate = this.latestDelayMs > this.intervalMs;
    this.deferredTicks =
      isLate && this.deferredTicks < MAX_DEFERRED_TICKS ? this.deferredTicks + 1 : 0;
    return this.deferredTicks === 0;
  }
}
