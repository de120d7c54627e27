/**
 * Gives out consecutive ports from a base, or 0 (the system chooses) when there is none.
 */
export class PortAllocator {
  private used = 0;

  constructor(private readonly basePort: number) {}

  /** The next port. */
  next(): number {
    if (this.basePort === 0) return 0;
    const port = this.basePort + this.used;
    this.used += 1;
    return port;
  }
}
