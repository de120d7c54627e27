/**
 * When a host may judge that others are late. A process that did not run for a while finds its timers overdue before
 * it has read what others sent meanwhile, and would take its own pause for their silence.
 */

/** Late ticks in a row that leave judging to the next one: a process that is always slow has to judge as well. */
const MAX_PUT_OFF = 3;

/** Ticks of one process, due at a fixed interval. */
export class LoopDelay {
  /** Ticks in a row that have left judging to the next one. */
  private putOff = 0;
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
   * so that answers are read first.
   */
  noteTick(now: number): boolean {
    const dueAt = this.lastTickAt + this.intervalMs;
    this.lastTickAt = now;
    this.latestDelayMs = Math.max(0, now - dueAt);
    const isLate = this.latestDelayMs > this.intervalMs;
    this.putOff = isLate && this.putOff < MAX_PUT_OFF ? this.putOff + 1 : 0;
    return this.putOff === 0;
  }
}
