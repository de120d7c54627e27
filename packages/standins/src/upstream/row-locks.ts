/**
 * Row locks of a stand-in upstream: a writer waits until the transaction that locked the row ends.
 */
import { SqlError, SqlState } from './expression.js';

interface HeldLock {
  readonly owner: object;
  readonly waiters: (() => void)[];
}

/** Wait time after which a lock request fails as a deadlock, milliseconds. */
const DEADLOCK_TIMEOUT_MS = 1000;

/** Row locks by table and key. */
export class RowLocks {
  private readonly locks = new Map<string, HeldLock>();

  /** Locks a row for `owner`; waits while another owner holds it. */
  async lock(owner: object, name: string): Promise<void> {
    for (;;) {
      const lock = this.locks.get(name);
      if (lock === undefined) {
        this.locks.set(name, { owner, waiters: [] });
        return;
      }
      if (lock.owner === owner) return;
      await this.wait(lock);
    }
  }

  /** Releases those of the named rows that `owner` has locked. */
  releaseAll(owner: object, names: Iterable<string>): void {
    for (const name of names) {
      const lock = this.locks.get(name);
      if (lock?.owner !== owner) continue;
      this.locks.delete(name);
      for (const wake of lock.waiters) wake();
    }
  }

  private wait(lock: HeldLock): Promise<void> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new SqlError(SqlState.Deadlock, 'row lock not granted in time'));
      }, DEADLOCK_TIMEOUT_MS);
      lock.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
