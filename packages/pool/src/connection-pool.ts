/**
 * Connections of one home to one upstream, within the home's part of the upstream's budget.
 * Waiters are served by priority class, first come first served inside a class.
 */
import type { GladespoolError } from '@gladespool/coordination';
import { Priority, RefusalReason } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

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

interface Idle<C extends PoolConnection> {
  readonly connection: C;
  /** Local time since which nobody has used it. */
  readonly since: number;
}

interface Waiter<C extends PoolConnection> {
  readonly priority: Priority;
  /** When its caller stops waiting, local milliseconds. */
  readonly deadlineAt: number;
  readonly settle: (result: Result<Lease<C>, RefusalReason>) => void;
}

const PRIORITY_ORDER: readonly Priority[] = [
  Priority.Outcome,
  Priority.Interactive,
  Priority.Background,
];
/** Every n-th lease goes to the longest waiter of any class, so that none starves. */
const FAIR_TURN = 8;
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
  private readonly idle: Idle<C>[] = [];
  private readonly waiting: Waiter<C>[] = [];
  private open = 0;
  private connecting = 0;
  private lent = 0;
  private turns = 0;
  private holdMs = 1;
  private stopped = false;
  /** Local time before which no connection is opened, after one was refused. */
  private dialNotBefore = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly dial: () => Promise<Result<C, GladespoolError>>,
    private limits: PoolLimits,
    private readonly onConnectFailure: (error: GladespoolError) => void,
  ) {}

  /** Connections open or being opened. */
  get connections(): number {
    return this.open + this.connecting;
  }

  /** Connections in use. */
  get inUse(): number {
    return this.lent;
  }

  /** Requests waiting. */
  get queued(): number {
    return this.waiting.length;
  }

  /** Expected wait of a new request, milliseconds, from the mean hold time of a connection. */
  expectedWaitMs(): number {
    if (this.idle.length > 0 || this.connections < this.limits.maxConnections) return 0;
    return ((this.waiting.length + 1) * this.holdMs) / Math.max(1, this.limits.maxConnections);
  }

  /** Changes the bounds; surplus connections close as they come back. */
  resize(limits: PoolLimits): void {
    this.limits = limits;
    while (this.connections > limits.maxConnections) {
      const surplus = this.idle.pop();
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

  /** Lends a connection, waiting at most `timeoutMs`. */
  acquire(
    priority: Priority,
    now: number,
    timeoutMs: number,
  ): Promise<Result<Lease<C>, RefusalReason>> {
    const ready = this.stopped ? undefined : this.takeIdle();
    if (ready !== undefined) return Promise.resolve(ok(this.lend(ready, now)));
    const refusal = this.refusalAtDoor(now, timeoutMs);
    if (refusal !== undefined) return Promise.resolve(err(refusal));
    return this.enqueue(priority, now, timeoutMs);
  }

  /** Closes idle connections and refuses new work; leases in use end as they are given back. */
  stop(): void {
    this.stopped = true;
    for (const { connection } of this.idle.splice(0)) this.discard(connection);
    for (const waiter of this.waiting.splice(0)) waiter.settle(err(RefusalReason.Draining));
  }

  private refusalAtDoor(now: number, timeoutMs: number): RefusalReason | undefined {
    if (this.stopped) return RefusalReason.Draining;
    if (this.connections === 0 && now < this.dialNotBefore) {
      return RefusalReason.UpstreamUnreachable;
    }
    if (this.waiting.length >= this.limits.maxWaiting) return RefusalReason.QueueFull;
    if (this.expectedWaitMs() > timeoutMs * WAIT_SHARE) return RefusalReason.ExpectedWait;
    return undefined;
  }

  private enqueue(
    priority: Priority,
    now: number,
    timeoutMs: number,
  ): Promise<Result<Lease<C>, RefusalReason>> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.waiting.splice(this.waiting.indexOf(waiter), 1);
        resolve(err(RefusalReason.DeadlineBeforeRun));
      }, timeoutMs);
      const waiter: Waiter<C> = {
        priority,
        deadlineAt: now + timeoutMs,
        settle: (result) => {
          clearTimeout(timer);
          resolve(result);
        },
      };
      this.waiting.push(waiter);
      this.grow();
    });
  }

  private grow(): void {
    if (this.stopped || this.connecting >= MAX_CONNECTING) return;
    if (this.connecting >= this.waiting.length) return;
    if (this.connections >= this.limits.maxConnections) return;
    void this.connect();
  }

  private async connect(): Promise<void> {
    this.connecting += 1;
    const result = await this.dial();
    this.connecting -= 1;
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
    this.offer(result.value);
    this.grow();
  }

  /** With no connection at all a request is better refused at once than held to its deadline. */
  private refuseWaiting(): void {
    for (const waiter of this.waiting.splice(0)) {
      waiter.settle(err(RefusalReason.UpstreamUnreachable));
    }
  }

  private offer(connection: C): void {
    if (this.stopped || this.connections > this.limits.maxConnections) {
      this.discard(connection);
      return;
    }
    const now = performance.now();
    const waiter = this.nextWaiterInTime(now);
    if (waiter === undefined) {
      this.idle.push({ connection, since: now });
      return;
    }
    waiter.settle(ok(this.lend(connection, now)));
  }

  /** The next waiter that has time left to run; the others are refused while that is certain. */
  private nextWaiterInTime(now: number): Waiter<C> | undefined {
    for (;;) {
      const waiter = this.nextWaiter();
      if (waiter === undefined || waiter.deadlineAt - now >= this.holdMs) return waiter;
      waiter.settle(err(RefusalReason.DeadlineBeforeRun));
    }
  }

  private nextWaiter(): Waiter<C> | undefined {
    this.turns += 1;
    if (this.turns % FAIR_TURN === 0) return this.waiting.shift();
    for (const priority of PRIORITY_ORDER) {
      const index = this.waiting.findIndex((waiter) => waiter.priority === priority);
      if (index >= 0) return this.waiting.splice(index, 1)[0];
    }
    return undefined;
  }

  private takeIdle(): C | undefined {
    for (;;) {
      const connection = this.idle.pop()?.connection;
      if (connection === undefined) return undefined;
      if (connection.usable) return connection;
      this.discard(connection);
    }
  }

  private lend(connection: C, since: number): Lease<C> {
    this.lent += 1;
    let given = false;
    return {
      connection,
      release: () => {
        if (given) return;
        given = true;
        this.lent -= 1;
        this.noteHold(performance.now() - since);
        this.takeBack(connection);
      },
    };
  }

  private noteHold(heldMs: number): void {
    this.holdMs += (heldMs - this.holdMs) * HOLD_WEIGHT;
  }

  /** A connection with an answer outstanding or a transaction open is closed, never reused. */
  private takeBack(connection: C): void {
    if (!connection.usable || !connection.reusable) {
      this.discard(connection);
      this.grow();
      return;
    }
    this.offer(connection);
  }

  private discard(connection: C): void {
    this.open -= 1;
    connection.close();
  }
}
