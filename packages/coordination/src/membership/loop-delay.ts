/**
 * When a host may judge that others are late. A process that did not run for a while finds its timers overdue before
 * it has read what others sent meanwhile, and would take its own pause for their silence.
 */

/** Ticks of one process, due at a fixed interval. */
export class LoopDelay {
  private hasPutOff = false;
  private latestDelayMs = 0;

  /**
   * @param intervalMs time between two ticks, milliseconds
   * @param lastTickAt local time from which the first tick is due an interval later
   */
  constructor(
    private readonly intervalMs: number,
    private lastTickAt: number,
  ) {}

  /** How much later than due the latest tick came, milliseconds. */
  get delayMs(): number {
    return this.latestDelayMs;
  }

  /**
   * Notes a tick at `now`.
   *
   * @returns whether others may be judged in it. A tick that is overdue by another whole one leaves that to the next,
   * so that answers are read first; two in a row don't, since a host that is always slow has to judge as well.
   */
  noteTick(now: number): boolean {
    const dueAt = this.lastTickAt + this.intervalMs;
    this.lastTickAt = now;
    this.latestDelayMs = Math.max(0, now - dueAt);
    this.hasPutOff = !this.hasPutOff && this.latestDelayMs > this.intervalMs;
    return !this.hasPutOff;
  }
}
