/**
 * Allocates consecutive ports from a base port, or 0 (the operating system chooses) without one.
 */
export class PortAllocator {
  private used = 0;

  constructor(private readonly basePort: number) {}

  next(): number {
    if (this.basePort === 0) return 0;
    const port = this.basePort + this.used;
    this.used += 1;
    return port;
  }
}
