/**
 * Who of those waiting for a connection to an upstream is served next: by priority class, first come
 * first served inside a class, and every few turns the one that has waited longest, so that none
 * starves. A connection serves one workspace, so a waiter of that workspace goes before others of its
 * class, within bounds.
 */
import type { WorkspaceId } from '@gladespool/coordination';
import { Priority } from '@gladespool/coordination';

/** Workspace that a connection serves; undefined where none is asked for. */
export type Owner = WorkspaceId | undefined;

/** Someone who waits. */
export interface WaitEntry {
  readonly priority: Priority;
  readonly owner: Owner;
  /** When the wait began, local milliseconds. */
  readonly since: number;
}

const PRIORITY_ORDER: readonly Priority[] = [
  Priority.Outcome,
  Priority.Interactive,
  Priority.Background,
];
/** Every n-th turn is that of the longest waiter of any class, so that none starves. */
const FAIR_TURN = 8;
/**
 * Time that a waiter lets those of its class pass whose workspace has the free connection, milliseconds:
 * about twice the time of opening one in its place.
 */
const PATIENCE_MS = 25;

/** Queue for connections to one upstream. */
export class WaitQueue<W extends WaitEntry> {
  private readonly waiters: W[] = [];
  private turns = 0;

  /** How many wait. */
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

  /** Takes all out. */
  takeAll(): readonly W[] {
    return this.waiters.splice(0);
  }

  /**
   * Takes out whoever is to have a free connection of `owner` at `now`; undefined when nobody waits for
   * one, or when a connection of another workspace is to be opened in its place.
   *
   * @param mayReplace whether one could be opened right now, and only by closing this one
   */
  takeNext(owner: Owner, now: number, mayReplace: boolean): W | undefined {
    this.turns += 1;
    const next = this.inTurn();
    if (next === undefined) return undefined;
    const chosen = next.owner === owner ? next : this.passing(next, owner, now, mayReplace);
    if (chosen === undefined) return undefined;
    this.remove(chosen);
    return chosen;
  }

  /**
   * The first of those waiting for whom no connection is being opened; `dialing` has an entry for each
   * that is, the workspace that it will serve.
   */
  firstWithoutDial(dialing: readonly Owner[]): W | undefined {
    const coming = [...dialing];
    for (const priority of PRIORITY_ORDER) {
      for (const waiter of this.waiters) {
        if (waiter.priority !== priority) continue;
        const index = coming.indexOf(waiter.owner);
        if (index < 0) return waiter;
        coming.splice(index, 1);
      }
    }
    return undefined;
  }

  private inTurn(): W | undefined {
    if (this.turns % FAIR_TURN === 0) return this.waiters[0];
    for (const priority of PRIORITY_ORDER) {
      const first = this.waiters.find((waiter) => waiter.priority === priority);
      if (first !== undefined) return first;
    }
    return undefined;
  }

  /** A waiter of `owner` that may pass `next`. */
  private passing(next: W, owner: Owner, now: number, mayReplace: boolean): W | undefined {
    const own = this.waiters.filter((waiter) => waiter.owner === owner);
    const alike = own.find((waiter) => waiter.priority === next.priority);
    if (!mayReplace) return alike ?? own[0];
    return now - next.since > PATIENCE_MS ? undefined : alike;
  }
}
