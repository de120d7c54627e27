/**
 * One upstream of a home: its pool of connections and what was seen of it.
 */
import type {
  GladespoolError,
  GroupId,
  Position,
  Priority,
  RefusalReason,
  WorkspaceId,
} from '@gladespool/coordination';
import { gladespoolError, ConnectionAvailability, Step } from '@gladespool/coordination';
import type { Lease, PoolLimits } from '@gladespool/pool';
import { ConnectionPool } from '@gladespool/pool';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { UpstreamEntry } from '../model/catalog.js';
import type { UpstreamDriver } from '../model/upstream-driver.js';
import { PreparedConnection } from './prepared-connection.js';
import { UpstreamHealth } from './upstream-health.js';

/** What a slot needs of its home. */
export interface UpstreamPoolOptions {
  readonly group: GroupId;
  readonly driver: UpstreamDriver;
  readonly limits: PoolLimits;
  readonly connectTimeoutMs: number;
  /** Position that the upstream must have reached by now; undefined where nothing is known. */
  readonly floor: () => Position | undefined;
  /** Whether the upstream has told a position behind the floor, and thus lost what it held. */
  readonly detectLogLoss: (floor: Position | undefined, told: Position | undefined) => boolean;
  readonly onConnected: () => void;
  readonly onConnectFailure: (error: GladespoolError) => void;
}

/** Pool and health of one upstream. */
export class UpstreamPool {
  readonly health = new UpstreamHealth();
  private readonly pool: ConnectionPool<PreparedConnection>;

  constructor(
    private known: UpstreamEntry,
    private readonly options: UpstreamPoolOptions,
  ) {
    this.pool = new ConnectionPool(
      (workspace) => this.connect(workspace),
      options.limits,
      (error) => {
        this.noteRefused(error, performance.now());
        options.onConnectFailure(error);
      },
    );
  }

  /** The upstream's entry. */
  get entry(): UpstreamEntry {
    return this.known;
  }

  /** Takes a newer entry of the same upstream. */
  update(entry: UpstreamEntry): void {
    this.known = entry;
  }

  /** Statements at the upstream or waiting for a connection to it. */
  get load(): number {
    return this.health.inFlight + this.pool.queued;
  }

  /** Connections open or being opened. */
  get connections(): number {
    return this.pool.connections;
  }

  /** What is there for a statement of a workspace; all is where connections serve everybody. */
  reuseFor(workspace: WorkspaceId | undefined): ConnectionAvailability {
    return workspace === undefined ? ConnectionAvailability.Ready : this.pool.reuseFor(workspace);
  }

  /** Lends a connection of a workspace, waiting at most `timeoutMs`. */
  acquire(
    priority: Priority,
    now: number,
    timeoutMs: number,
    workspace: WorkspaceId | undefined,
  ): Promise<Result<Lease<PreparedConnection>, RefusalReason>> {
    return this.pool.acquire(priority, now, timeoutMs, workspace);
  }

  /** Changes the bounds of the pool. */
  resize(limits: PoolLimits): void {
    this.pool.resize(limits);
  }

  /** Closes connections that nobody has used since `before`. */
  closeIdle(before: number): void {
    this.pool.closeIdle(before);
  }

  /** Closes idle connections and refuses new work. */
  stop(): void {
    this.pool.stop();
  }

  private noteRefused({ step }: GladespoolError, now: number): void {
    if (step === Step.UpstreamStart) this.health.noteUnserved(now);
    else this.health.noteFailure(now);
  }

  private async connect(
    workspace: WorkspaceId | undefined,
  ): Promise<Result<PreparedConnection, GladespoolError>> {
    const {
      driver,
      group,
      connectTimeoutMs,
      detectLogLoss: noteLostLog,
      onConnected,
    } = this.options;
    const floor = this.options.floor();
    const wire = await driver.connect(this.entry, group, connectTimeoutMs, workspace);
    if (wire.isErr()) return err(wire.error);
    onConnected();
    if (noteLostLog(floor, wire.value.initialPosition)) {
      wire.value.close();
      const place = { step: Step.UpstreamConnect, peer: this.entry.id };
      return err(gladespoolError(place, 'the upstream has lost what it held'));
    }
    this.health.noteAlive(performance.now());
    return ok(new PreparedConnection(wire.value));
  }
}
