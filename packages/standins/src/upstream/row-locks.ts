/**
 * Row locks of a stand-in upstream: a writer waits for the transaction that holds the row.
 */
import { SqlError, SqlState } from './expression.js';

interface Held {
  readonly owner: object;
  readonly waiters: (() => void)[];
}

/** A wait as long as this counts as a deadlock, milliseconds. */
const DEADLOCK_MS = 1000;

/** Locks by table and key. */
export class RowLocks {
  private readonly held = new Map<string, Held>();

  /** Waits until `owner` holds the row. */
  async lock(owner: object, name: string): Promise<void> {
    for (;;) {
      const lock = this.held.get(name);
      if (lock === undefined) {
        this.held.set(name, { owner, waiters: [] });
        return;
      }
      if (lock.owner === owner) return;
      await this.wait(lock);
    }
  }

  /** Releases every row of `owner`. */
  releaseAll(owner: object, names: Iterable<string>): void {
    for (const name of names) {
      const lock = this.held.get(name);
      if (lock?.owner !== owner) continue;
      this.held.delete(name);
      for (const wake of lock.waiters) wake();
    }
  }

  private wait(lock: Held): Promise<void> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new SqlError(SqlState.Deadlock, 'row lock not granted in time'));
      }, DEADLOCK_MS);
      lock.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
