/**
 * Open transactions of callers on a home, each pinned to one upstream connection.
 */
import type { UpstreamId } from '@gladespool/coordination';
import type { Lease } from '@gladespool/upstreams';

/** One open transaction. */
export interface OpenTransaction {
  readonly handle: number;
  readonly lease: Lease;
  readonly upstream: UpstreamId;
  readonly onPrimary: boolean;
  /** When the connection was pinned, local milliseconds. */
  readonly since: number;
}

/** Open transactions by handle. */
export class OpenTransactions {
  private readonly open = new Map<number, OpenTransaction>();
  private lastHandle = 0;

  get size(): number {
    return this.open.size;
  }

  /** Pins a connection and returns the handle of its transaction. */
  pin(lease: Lease, upstream: UpstreamId, onPrimary: boolean, now: number): number {
    this.lastHandle += 1;
    const handle = this.lastHandle;
    this.open.set(handle, { handle, lease, upstream, onPrimary, since: now });
    return handle;
  }

  get(handle: number): OpenTransaction | undefined {
    return this.open.get(handle);
  }

  /** Removes a transaction; its connection returns to the pool, or is closed if it is not reusable. */
  unpin(handle: number): void {
    const transaction = this.open.get(handle);
    if (transaction === undefined) return;
    this.open.delete(handle);
    transaction.lease.release();
  }

  /** Rolls back a transaction whose caller has disconnected, by closing its connection. */
  abandon(handle: number): void {
    this.open.get(handle)?.lease.connection.close();
    this.unpin(handle);
  }
}
