/**
 * Limits a workspace's operations on one host while it can't reach the host that owns the
 * allowance. It admits as many in each window as in the previous one, evenly spread over the
 * window, and at least one. All hosts together then admit about as many as before, which was within
 * the limit, and hosts that have all just started can serve some operations before the owners of
 * allowances do.
 */

/** Counts the admitted operations of one workspace on one host in windows of fixed length. */
export class LocalLimiter {
  /** Number of the window to which `current` belongs. */
  private window = Number.NEGATIVE_INFINITY;
  private current = 0;
  private previous = 0;

  constructor(private readonly windowMs: number) {}

  /** Records an operation that was admitted at `now`. */
  recordAdmission(now: number): void {
    this.advanceTo(now);
    this.current += 1;
  }

  /** Whether this host may admit one more operation at `now`. */
  canAdmit(now: number): boolean {
    this.advanceTo(now);
    const elapsed = now / this.windowMs - this.window;
    return this.current < Math.max(1, this.previous * elapsed);
  }

  private advanceTo(now: number): void {
    const window = Math.floor(now / this.windowMs);
    if (window === this.window) return;
    this.previous = window === this.window + 1 ? this.current : 0;
    this.current = 0;
    this.window = window;
  }
}
