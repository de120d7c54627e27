/**
 * Connections of one home to one upstream, within the home's part of the upstream's budget. A
 * connection serves one workspace for as long as it is open; where the budget is used up, the one
 * that nobody has used for longest is closed for another workspace. Who gets a connection is decided
 * in `wait-queue.ts`.
 */
import type { GladespoolError, WorkspaceId } from '@gladespool/coordination';
import type { Priority } from '@gladespool/coordination';
import { RefusalReason, ConnectionAvailability } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Owner, WaitEntry } from './wait-queue.js';
import { WaitQueue } from './wait-queue.js';

/** What the pool needs of a connection. */
export interface PoolConnection {
  /** Whether it can take work now. */
  readonly usable: boolean;
  /** Whether another request may have it: nothing outstanding, no transaction open. */
  readonly reusable: boolean;
  close(): void;
}

/** Bounds of a pool. */
export interface PoolLimits {
  /** Connections at most. */
  readonly maxConnections: number;
  /** Requests waiting for a connection at most. */
  readonly maxWaiting: number;
}

/** A connection lent to one request or transaction; give it back exactly once. */
export interface Lease<C extends PoolConnection> {
  readonly connection: C;
  release(): void;
}

/** A connection with the workspace that it serves. */
interface Bound<C extends PoolConnection> {
  readonly connection: C;
  readonly owner: Owner;
}

interface Idle<C extends PoolConnection> extends Bound<C> {
  /** Local time since which nobody has used it. */
  readonly since: number;
}

interface Waiter<C extends PoolConnection> extends WaitEntry {
  /** When its caller stops waiting, local milliseconds. */
  readonly deadlineAt: number;
  readonly settle: (result: Result<Lease<C>, RefusalReason>) => void;
}

/**
 * Share of a request's time that it may be expected to wait. A queue as long as the deadline would
 * accept requests that can only just be late.
 */
const WAIT_SHARE = 0.5;
/** Weight of the newest sample in the moving average of hold times. */
const HOLD_WEIGHT = 0.1;
/** Connection attempts at once; more would be a storm on an upstream that has just returned. */
const MAX_CONNECTING = 2;
/**
 * Pause after a failed attempt, milliseconds. An upstream that is full or gone is not helped by an
 * attempt for each request; where none is open, requests go elsewhere meanwhile.
 */
const RECONNECT_PAUSE_MS = 100;

/** Pool of connections to one upstream. */
export class ConnectionPool<C extends PoolConnection> {
  /** Connections that nobody uses, the one that was used latest last. */
  private readonly idle: Idle<C>[] = [];
  private readonly waiting = new WaitQueue<Waiter<C>>();
  /** Workspaces for which connections are being opened, one entry a connection. */
  private readonly dialing: Owner[] = [];
  private open = 0;
  private lent = 0;
  private holdMs = 1;
  private stopped = false;
  /** Local time before which no connection is opened, after one was refused. */
  private dialNotBefore = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly dial: (owner: Owner) => Promise<Result<C, GladespoolError>>,
    private limits: PoolLimits,
    private readonly onConnectFailure: (error: GladespoolError) => void,
  ) {}

  /** Connections open or being opened. */
  get connections(): number {
    return this.open + this.dialing.length;
  }

  /** Connections in use. */
  get inUse(): number {
    return this.lent;
  }

  /** Requests waiting. */
  get queued(): number {
    return this.waiting.size;
  }

  /** What is there for a request of `owner`. */
  reuseFor(owner: Owner): ConnectionAvailability {
    if (this.idle.some((idle) => idle.owner === owner)) return ConnectionAvailability.Ready;
    return this.connections < this.limits.maxConnections
      ? ConnectionAvailability.CanOpen
      : ConnectionAvailability.Full;
  }

  /** Expected wait of a new request, milliseconds, from the mean hold time of a connection. */
  expectedWaitMs(): number {
    if (this.idle.length > 0 || this.connections < this.limits.maxConnections) return 0;
    return ((this.waiting.size + 1) * this.holdMs) / Math.max(1, this.limits.maxConnections);
  }

  /** Changes the bounds; surplus connections close as they come back. */
  resize(limits: PoolLimits): void {
    this.limits = limits;
    while (this.connections > limits.maxConnections) {
      const surplus = this.idle.shift();
      if (surplus === undefined) return;
      this.discard(surplus.connection);
    }
    this.grow();
  }

  /** Closes connections that nobody has used since `before`. */
  closeIdle(before: number): void {
    const stale = this.idle.filter((idle) => idle.since < before);
    for (const entry of stale) {
      this.idle.splice(this.idle.indexOf(entry), 1);
      this.discard(entry.connection);
    }
  }

  /** Lends a connection that serves `owner`, waiting at most `timeoutMs`. */
  acquire(
    priority: Priority,
    now: number,
    timeoutMs: number,
    owner?: WorkspaceId,
  ): Promise<Result<Lease<C>, RefusalReason>> {
    const ready = this.stopped ? undefined : this.takeIdle(owner);
    if (ready !== undefined) return Promise.resolve(ok(this.lend(ready, now)));
    const refusal = this.refusalAtDoor(now, timeoutMs);
    if (refusal !== undefined) return Promise.resolve(err(refusal));
    return this.enqueue({ priority, owner, since: now }, timeoutMs);
  }

  /** Closes idle connections and refuses new work; leases in use end as they are given back. */
  stop(): void {
    this.stopped = true;
    for (const { connection } of this.idle.splice(0)) this.discard(connection);
    for (const waiter of this.waiting.takeAll()) waiter.settle(err(RefusalReason.Draining));
  }

  private refusalAtDoor(now: number, timeoutMs: number): RefusalReason | undefined {
    if (this.stopped) return RefusalReason.Draining;
    if (this.connections === 0 && now < this.dialNotBefore) {
      return RefusalReason.UpstreamUnreachable;
    }
    if (this.waiting.size >= this.limits.maxWaiting) return RefusalReason.QueueFull;
    if (this.expectedWaitMs() > timeoutMs * WAIT_SHARE) return RefusalReason.ExpectedWait;
    return undefined;
  }

  private enqueue(waiting: WaitEntry, timeoutMs: number): Promise<Result<Lease<C>, RefusalReason>> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.waiting.remove(waiter);
        resolve(err(RefusalReason.DeadlineBeforeRun));
      }, timeoutMs);
      const waiter: Waiter<C> = {
        ...waiting,
        deadlineAt: waiting.since + timeoutMs,
        settle: (result) => {
          clearTimeout(timer);
          resolve(result);
        },
      };
      this.waiting.add(waiter);
      this.grow();
    });
  }

  private grow(): void {
    if (this.stopped || this.dialing.length >= MAX_CONNECTING) return;
    const missing = this.waiting.firstWithoutDial(this.dialing);
    if (missing === undefined || !this.hasRoom()) return;
    void this.connect(missing.owner);
  }

  /** Whether another connection may be opened; one that nobody uses makes room for it. */
  private hasRoom(): boolean {
    if (this.connections < this.limits.maxConnections) return true;
    if (this.connections > this.limits.maxConnections) return false;
    const unused = this.idle.shift();
    if (unused === undefined) return false;
    this.discard(unused.connection);
    return true;
  }

  private async connect(owner: Owner): Promise<void> {
    this.dialing.push(owner);
    const result = await this.dial(owner);
    this.dialing.splice(this.dialing.indexOf(owner), 1);
    if (result.isErr()) {
      this.dialNotBefore = performance.now() + RECONNECT_PAUSE_MS;
      this.onConnectFailure(result.error);
      if (this.open === 0) this.refuseWaiting();
      else {
        setTimeout(() => {
          this.grow();
        }, RECONNECT_PAUSE_MS);
      }
      return;
    }
    this.open += 1;
    this.offer({ connection: result.value, owner });
    this.grow();
  }

  /** With no connection at all a request is better refused at once than held to its deadline. */
  private refuseWaiting(): void {
    for (const waiter of this.waiting.takeAll()) {
      waiter.settle(err(RefusalReason.UpstreamUnreachable));
    }
  }

  private offer(bound: Bound<C>): void {
    if (this.stopped || this.connections > this.limits.maxConnections) {
      this.discard(bound.connection);
      return;
    }
    const now = performance.now();
    const waiter = this.nextWaiterInTime(bound.owner, now);
    if (waiter === undefined) {
      this.idle.push({ ...bound, since: now });
      return;
    }
    waiter.settle(ok(this.lend(bound, now)));
  }

  /** The next waiter that has time left to run; the others are refused while that is certain. */
  private nextWaiterInTime(owner: Owner, now: number): Waiter<C> | undefined {
    for (;;) {
      const waiter = this.waiting.takeNext(owner, now, this.mayReplace());
      if (waiter === undefined || waiter.deadlineAt - now >= this.holdMs) return waiter;
      waiter.settle(err(RefusalReason.DeadlineBeforeRun));
    }
  }

  /** Whether a free connection is the only one that could make room for another right now. */
  private mayReplace(): boolean {
    if (this.idle.length > 0 || this.dialing.length >= MAX_CONNECTING) return false;
    return this.connections >= this.limits.maxConnections;
  }

  private takeIdle(owner: Owner): Bound<C> | undefined {
    for (;;) {
      const index = this.idle.findLastIndex((idle) => idle.owner === owner);
      const [found] = index < 0 ? [] : this.idle.splice(index, 1);
      if (found === undefined) return undefined;
      if (found.connection.usable) return found;
      this.discard(found.connection);
    }
  }

  private lend(bound: Bound<C>, since: number): Lease<C> {
    this.lent += 1;
    let given = false;
    return {
      connection: bound.connection,
      release: () => {
        if (given) return;
        given = true;
        this.lent -= 1;
        this.noteHold(performance.now() - since);
        this.takeBack(bound);
      },
    };
  }

  private noteHold(heldMs: number): void {
    this.holdMs += (heldMs - this.holdMs) * HOLD_WEIGHT;
  }

  /** A connection with an answer outstanding or a transaction open is closed, never reused. */
  private takeBack(bound: Bound<C>): void {
    const { connection } = bound;
    if (connection.usable && connection.reusable) this.offer(bound);
    else this.discard(connection);
    this.grow();
  }

  private discard(connection: C): void {
    this.open -= 1;
    connection.close();
  }
}
