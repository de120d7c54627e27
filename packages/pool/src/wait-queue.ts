/**
 * Decides which request waiting for a connection to an upstream is served next: by priority class, in order of arrival
 * within a class, and every few turns the one that has waited longest, so that none starves. Since a connection serves
 * a single workspace, a request of that workspace may overtake others of its class for a limited time.
 */
import type { WorkspaceId } from '@gladespool/coordination';
import { Priority } from '@gladespool/coordination';

/** Workspace that a connection serves; undefined if workspaces are not distinguished. */
export type Owner = WorkspaceId | undefined;

/** A waiting request. */
export interface WaitEntry {
  readonly priority: Priority;
  readonly owner: Owner;
  /** Local time at which the wait began, milliseconds. */
  readonly since: number;
}

const PRIORITY_ORDER: readonly Priority[] = [
  Priority.Outcome,
  Priority.Interactive,
  Priority.Background,
];
/** Every n-th turn serves the longest waiter of any class, so that none starves. */
const FAIRNESS_INTERVAL = 8;
/**
 * Time for which a waiter may be overtaken by waiters of its class whose workspace the free connection serves,
 * milliseconds: about twice the time it takes to open a replacement connection.
 */
const MAX_OVERTAKING_MS = 25;

/** Queue for connections to one upstream. */
export class WaitQueue<W extends WaitEntry> {
  private readonly waiters: W[] = [];
  private turns = 0;

  /** Number of waiters. */
  get size(): number {
    return this.waiters.length;
  }

  add(waiter: W): void {
    this.waiters.push(waiter);
  }

  remove(waiter: W): void {
    const index = this.waiters.indexOf(waiter);
    if (index >= 0) this.waiters.splice(index, 1);
  }

  /** Removes and returns all waiters. */
  takeAll(): readonly W[] {
    return this.waiters.splice(0);
  }

  /**
   * Removes and returns the waiter that gets a free connection of `owner` at `now`; undefined if no waiter can use it,
   * or if it should be replaced by a connection for another workspace.
   *
   * @param mayReplace whether a connection could be opened now, and only by closing this one
   */
  takeNext(owner: Owner, now: number, mayReplace: boolean): W | undefined {
    this.turns += 1;
    const next = this.nextInTurn();
    if (next === undefined) return undefined;
    const chosen =
      next.owner === owner ? next : this.overtakingWaiter(next, owner, now, mayReplace);
    if (chosen === undefined) return undefined;
    this.remove(chosen);
    return chosen;
  }

  /**
   * The first waiter for which no connection is being opened.
   *
   * @param dialing workspace of each connection that is being opened
   */
  firstWithoutDial(dialing: readonly Owner[]): W | undefined {
    const unmatched = [...dialing];
    for (const priority of PRIORITY_ORDER) {
      for (const waiter of this.waiters) {
        if (waiter.priority !== priority) continue;
        const index = unmatched.indexOf(waiter.owner);
        if (index < 0) return waiter;
        unmatched.splice(index, 1);
      }
    }
    return undefined;
  }

  private nextInTurn(): W | undefined {
    if (this.turns % FAIRNESS_INTERVAL === 0) return this.waiters[0];
    for (const priority of PRIORITY_ORDER) {
      const first = this.waiters.find((waiter) => waiter.priority === priority);
      if (first !== undefined) return first;
    }
    return undefined;
  }

  /** A waiter of `owner` that may overtake `next`. */
  private overtakingWaiter(next: W, owner: Owner, now: number, mayReplace: boolean): W | undefined {
    const sameOwner = this.waiters.filter((waiter) => waiter.owner === owner);
    const sameClass = sameOwner.find((waiter) => waiter.priority === next.priority);
    if (!mayReplace) return sameClass ?? sameOwner[0];
    return now - next.since > MAX_OVERTAKING_MS ? undefined : sameClass;
  }
}
