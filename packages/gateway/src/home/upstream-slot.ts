/**
 * One upstream of a home: its pool of connections and what was seen of it.
 */
import type {
  GladespoolError,
  GroupId,
  Priority,
  RefusalReason,
  WorkspaceId,
} from '@gladespool/coordination';
import { Reuse } from '@gladespool/coordination';
import type { Lease, PoolLimits } from '@gladespool/pool';
import { ConnectionPool } from '@gladespool/pool';
import type { Result } from 'neverthrow';
import type { UpstreamEntry } from '../model/catalog.js';
import type { UpstreamDriver } from '../model/upstream-wire.js';
import { PreparedConnection } from './prepared-connection.js';
import { UpstreamHealth } from './upstream-health.js';

/** What a slot needs of its home. */
export interface SlotOptions {
  readonly group: GroupId;
  readonly driver: UpstreamDriver;
  readonly limits: PoolLimits;
  readonly connectTimeoutMs: number;
  readonly onConnected: () => void;
  readonly onConnectFailure: (error: GladespoolError) => void;
}

/** Pool and health of one upstream. */
export class UpstreamSlot {
  readonly health = new UpstreamHealth();
  private readonly pool: ConnectionPool<PreparedConnection>;

  constructor(
    readonly entry: UpstreamEntry,
    private readonly options: SlotOptions,
  ) {
    this.pool = new ConnectionPool(
      (workspace) => this.connect(workspace),
      options.limits,
      (error) => {
        this.health.noteFailure(performance.now());
        options.onConnectFailure(error);
      },
    );
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
  reuseFor(workspace: WorkspaceId | undefined): Reuse {
    return workspace === undefined ? Reuse.Ready : this.pool.reuseFor(workspace);
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

  private async connect(
    workspace: WorkspaceId | undefined,
  ): Promise<Result<PreparedConnection, GladespoolError>> {
    const { driver, group, connectTimeoutMs, onConnected } = this.options;
    const wire = await driver.connect(this.entry, group, connectTimeoutMs, workspace);
    if (wire.isOk()) {
      this.health.noteAlive(performance.now());
      onConnected();
    }
    return wire.map((connected) => new PreparedConnection(connected));
  }
}
