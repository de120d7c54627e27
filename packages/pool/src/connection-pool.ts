/**
 * Connections of one home to one upstream, within the home's share of the upstream's connection limit. A connection
 * serves a single workspace while it is open. When the limit is reached, the connection that has been idle for longest
 * is closed to make room for another workspace. `wait-queue.ts` decides which request gets a connection.
 */
import type { GladespoolError, WorkspaceId } from '@gladespool/coordination';
import type { Priority } from '@gladespool/coordination';
import { RefusalReason, ConnectionAvailability } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Owner, WaitEntry } from './wait-queue.js';
import { WaitQueue } from './wait-queue.js';

/** Requirements of the pool on a connection. */
export interface PoolConnection {
  /** Whether it can accept work now. */
  readonly usable: boolean;
  /** Whether another request may use it: no answer outstanding and no transaction open. */
  readonly reusable: boolean;
  close(): void;
}

/** Limits of a pool. */
export interface PoolLimits {
  /** Maximum number of connections. */
  readonly maxConnections: number;
  /** Maximum number of requests waiting for a connection. */
  readonly maxWaiting: number;
}

/** A connection leased to one request or transaction; must be released exactly once. */
export interface Lease<C extends PoolConnection> {
  readonly connection: C;
  release(): void;
}

/** A connection and the workspace it serves. */
interface OwnedConnection<C extends PoolConnection> {
  readonly connection: C;
  readonly owner: Owner;
}

interface IdleConnection<C extends PoolConnection> extends OwnedConnection<C> {
  /** Local time since which it has been idle. */
  readonly since: number;
}

interface Waiter<C extends PoolConnection> extends WaitEntry {
  /** Local time at which the wait times out, milliseconds. */
  readonly deadlineAt: number;
  readonly settle: (result: Result<Lease<C>, RefusalReason>) => void;
}

/**
 * Maximum expected wait, as a fraction of a request's timeout. Admitting requests whose expected wait is as long as
 * the timeout would mean that nearly all of them time out.
 */
const MAX_WAIT_SHARE = 0.5;
/** Weight of the latest sample in the moving average of hold times. */
const HOLD_TIME_WEIGHT = 0.1;
/** Maximum concurrent connection attempts; more would overload an upstream that has just come back. */
const MAX_CONNECTING = 2;
/**
 * Pause after a failed connection attempt, milliseconds. Attempts for each request would not help an upstream that is
 * full or down. While no connection is open, requests are refused so that they go to another upstream.
 */
const RECONNECT_PAUSE_MS = 100;

/** Pool of connections to one upstream. */
export class ConnectionPool<C extends PoolConnection> {
  /** Idle connections, the most recently used one last. */
  private readonly idle: IdleConnection<C>[] = [];
  private readonly waiting = new WaitQueue<Waiter<C>>();
  /** Workspaces for which connections are being opened, one entry per connection. */
  private readonly dialing: Owner[] = [];
  private open = 0;
  private leased = 0;
  private meanHoldMs = 1;
  private stopped = false;
  /** Local time before which no connection is opened, because an attempt failed. */
  private dialNotBefore = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly dial: (owner: Owner) => Promise<Result<C, GladespoolError>>,
    private limits: PoolLimits,
    private readonly onConnectFailure: (error: GladespoolError) => void,
  ) {}

  /** Number of connections that are open or being opened. */
  get connections(): number {
    return this.open + this.dialing.length;
  }

  /** Number of leased connections. */
  get inUse(): number {
    return this.leased;
  }

  /** Number of waiting requests. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Whether a request of `owner` can use an idle connection, open a new one, or has to wait. */
  reuseFor(owner: Owner): ConnectionAvailability {
    if (this.idle.some((idle) => idle.owner === owner)) return ConnectionAvailability.Ready;
    return this.connections < this.limits.maxConnections
      ? ConnectionAvailability.CanOpen
      : ConnectionAvailability.Full;
  }

  /** Expected wait of a new request, milliseconds, derived from the mean hold time of connections. */
  expectedWaitMs(): number {
    if (this.idle.length > 0 || this.connections < this.limits.maxConnections) return 0;
    return ((this.waiting.size + 1) * this.meanHoldMs) / Math.max(1, this.limits.maxConnections);
  }

  /** Changes the limits; surplus connections in use are closed when they are released. */
  resize(limits: PoolLimits): void {
    this.limits = limits;
    while (this.connections > limits.maxConnections) {
      const surplus = this.idle.shift();
      if (surplus === undefined) return;
      this.discard(surplus.connection);
    }
    this.grow();
  }

  /** Closes connections that became idle before `before`. */
  closeIdle(before: number): void {
    const stale = this.idle.filter((idle) => idle.since < before);
    for (const entry of stale) {
      this.idle.splice(this.idle.indexOf(entry), 1);
      this.discard(entry.connection);
    }
  }

  /** Leases a connection for `owner`, waiting at most `timeoutMs`. */
  acquire(
    priority: Priority,
    now: number,
    timeoutMs: number,
    owner?: WorkspaceId,
  ): Promise<Result<Lease<C>, RefusalReason>> {
    const ready = this.stopped ? undefined : this.takeIdle(owner);
    if (ready !== undefined) return Promise.resolve(ok(this.createLease(ready, now)));
    const refusal = this.admissionRefusal(now, timeoutMs);
    if (refusal !== undefined) return Promise.resolve(err(refusal));
    return this.enqueue({ priority, owner, since: now }, timeoutMs);
  }

  /** Closes idle connections and refuses new work; leased connections are closed when they are released. */
  stop(): void {
    this.stopped = true;
    for (const { connection } of this.idle.splice(0)) this.discard(connection);
    for (const waiter of this.waiting.takeAll()) waiter.settle(err(RefusalReason.Draining));
  }

  private admissionRefusal(now: number, timeoutMs: number): RefusalReason | undefined {
    if (this.stopped) return RefusalReason.Draining;
    if (this.connections === 0 && now < this.dialNotBefore) {
      return RefusalReason.UpstreamUnreachable;
    }
    if (this.waiting.size >= this.limits.maxWaiting) return RefusalReason.QueueFull;
    if (this.expectedWaitMs() > timeoutMs * MAX_WAIT_SHARE) return RefusalReason.ExpectedWait;
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
    const waiter = this.waiting.firstWithoutDial(this.dialing);
    if (waiter === undefined || !this.hasRoom()) return;
    void this.connect(waiter.owner);
  }

  /** Whether another connection may be opened. At the limit, closes the least recently used idle one to make room. */
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

  /** Without any open connection, requests are refused immediately rather than held until their deadlines. */
  private refuseWaiting(): void {
    for (const waiter of this.waiting.takeAll()) {
      waiter.settle(err(RefusalReason.UpstreamUnreachable));
    }
  }

  private offer(bound: OwnedConnection<C>): void {
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
    waiter.settle(ok(this.createLease(bound, now)));
  }

  /** The next waiter with enough time left. Refuses those before it while it is certain that they have not run. */
  private nextWaiterInTime(owner: Owner, now: number): Waiter<C> | undefined {
    for (;;) {
      const waiter = this.waiting.takeNext(owner, now, this.mayReplace());
      if (waiter === undefined || waiter.deadlineAt - now >= this.meanHoldMs) return waiter;
      waiter.settle(err(RefusalReason.DeadlineBeforeRun));
    }
  }

  /** Whether closing the connection just released is the only way to open another one now. */
  private mayReplace(): boolean {
    if (this.idle.length > 0 || this.dialing.length >= MAX_CONNECTING) return false;
    return this.connections >= this.limits.maxConnections;
  }

  private takeIdle(owner: Owner): OwnedConnection<C> | undefined {
    for (;;) {
      const index = this.idle.findLastIndex((idle) => idle.owner === owner);
      const [found] = index < 0 ? [] : this.idle.splice(index, 1);
      if (found === undefined) return undefined;
      if (found.connection.usable) return found;
      this.discard(found.connection);
    }
  }

  private createLease(bound: OwnedConnection<C>, since: number): Lease<C> {
    this.leased += 1;
    let released = false;
    return {
      connection: bound.connection,
      release: () => {
        if (released) return;
        released = true;
        this.leased -= 1;
        this.recordHoldTime(performance.now() - since);
        this.reclaim(bound);
      },
    };
  }

  private recordHoldTime(heldMs: number): void {
    this.meanHoldMs += (heldMs - this.meanHoldMs) * HOLD_TIME_WEIGHT;
  }

  /** Closes a connection that has an answer outstanding or a transaction open, rather than reusing it. */
  private reclaim(bound: OwnedConnection<C>): void {
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
