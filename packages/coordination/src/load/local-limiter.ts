/**
 * What a host admits of a workspace's operations on its own, while it can't reach the host that keeps
 * the allowance: as many in each window as it admitted in the one before, evenly over the window, and one
 * at least. All hosts together then admit about what they did, which was within the limit, and hosts that
 * have all just started serve something before the keepers do.
 */

/** Counts of one workspace on one host, by windows of fixed length. */
export class LocalLimiter {
  /** Number of the window that `current` counts. */
  private window = Number.NEGATIVE_INFINITY;
  private current = 0;
  private former = 0;

  constructor(private readonly windowMs: number) {}

  /** Notes an operation that was admitted at `now`. */
  recordAdmission(now: number): void {
    this.turnTo(now);
    this.current += 1;
  }

  /** Whether one more may be admitted at `now` on this host's own account. */
  canAdmit(now: number): boolean {
    this.turnTo(now);
    const elapsed = now / this.windowMs - this.window;
    return this.current < Math.max(1, this.former * elapsed);
  }

  private turnTo(now: number): void {
    const window = Math.floor(now / this.windowMs);
    if (window === this.window) return;
    this.former = window === this.window + 1 ? this.current : 0;
    this.current = 0;
    this.window = window;
  }
}
