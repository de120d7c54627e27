/**
 * Serializes the claims of this host: all of them compare and swap the same promotion lease record, so of two
 * concurrent claims one would fail.
 */

/** Lock shared by all claims of one host. */
export class ClaimLock {
  private last: Promise<unknown> = Promise.resolve();

  /** Runs `work` once all work queued before it has settled. */
  run<Value>(work: () => Promise<Value>): Promise<Value> {
    const result = this.last.then(work);
    this.last = result.catch(() => undefined);
    return result;
  }
}
