/**
 * When a host may judge that others are late. A process that did not run for a while finds its timers overdue before
 * it has read what others sent meanwhile, and would take its own pause for their silence.
 */

/** Late ticks in a row that leave judging to the next one: a process that is always slow has to judge as well. */
const MAX_PUT_OFF = 3;

/** Time for which pauses are remembered, milliseconds: longer than a proof lives. */
const REMEMBERED_MS = 2000;

/** A time in which the process did not run. */
interface Pause {
  readonly from: number;
  readonly to: number;
}

/** Ticks of one process, due at a fixed interval. */
export class EventLoopMonitor {
  /** Ticks in a row that have left judging to the next one. */
  private putOff = 0;
  private latestDelayMs = 0;
  private pauses: readonly Pause[] = [];

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

  /** Time since `at` in which this process did not run, milliseconds; others are not late for it. */
  pausedMsSince(at: number): number {
    return this.pauses.reduce((sum, { from, to }) => sum + Math.max(0, to - Math.max(from, at)), 0);
  }

  /**
   * Notes a tick at `now`.
   *
   * @returns whether others may be judged in it. A tick that is overdue by another whole one leaves that to the next,
   * so that answers are read first.
   */
  recordTick(now: number): boolean {
    const dueAt = this.lastTickAt + this.intervalMs;
    this.lastTickAt = now;
    this.pauses = [...this.pauses, { from: dueAt, to: now }].filter(
      ({ from, to }) => to > from && to > now - REMEMBERED_MS,
    );
    this.latestDelayMs = Math.max(0, now - dueAt);
    const isLate = this.latestDelayMs > this.intervalMs;
    this.putOff = isLate && this.putOff < MAX_PUT_OFF ? this.putOff + 1 : 0;
    return this.putOff === 0;
  }
}
