/**
 * Lets one claim of this host run after the other: all of them swap the same duty record, so two at
 * once would make one of them fail.
 */

/** Lock of one host. */
export class ClaimLock {
  private last: Promise<unknown> = Promise.resolve();

  /** Runs `work` once all work before it has ended. */
  run<Value>(work: () => Promise<Value>): Promise<Value> {
    const result = this.last.then(work);
    this.last = result.catch(() => undefined);
    return result;
  }
}
