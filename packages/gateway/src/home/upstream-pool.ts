/**
 * Connection pool of one upstream, together with the health of the upstream.
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

/** Settings and callbacks that the home supplies. */
export interface UpstreamPoolOptions {
  readonly group: GroupId;
  readonly driver: UpstreamDriver;
  readonly limits: PoolLimits;
  readonly connectTimeoutMs: number;
  /** Log position that the upstream must have reached; undefined if unknown. */
  readonly floor: () => Position | undefined;
  /** Whether the upstream has reported a position below the floor, and so has lost its log. */
  readonly detectLogLoss: (floor: Position | undefined, reported: Position | undefined) => boolean;
  readonly onConnected: () => void;
  readonly onConnectFailure: (error: GladespoolError) => void;
}

export class UpstreamPool {
  readonly health = new UpstreamHealth();
  private readonly pool: ConnectionPool<PreparedConnection>;

  constructor(
    private currentEntry: UpstreamEntry,
    private readonly options: UpstreamPoolOptions,
  ) {
    this.pool = new ConnectionPool(
      (workspace) => this.connect(workspace),
      options.limits,
      (error) => {
        this.recordConnectFailure(error, performance.now());
        options.onConnectFailure(error);
      },
    );
  }

  get entry(): UpstreamEntry {
    return this.currentEntry;
  }

  /** Replaces the entry by a newer one of the same upstream. */
  update(entry: UpstreamEntry): void {
    this.currentEntry = entry;
  }

  /** Statements running on the upstream or waiting for a connection to it. */
  get load(): number {
    return this.health.inFlight + this.pool.queued;
  }

  /** Connections that are open or being opened. */
  get connections(): number {
    return this.pool.connections;
  }

  /**
   * How a statement of a workspace gets a connection; always `Ready` where connections are not bound to a
   * workspace.
   */
  availabilityFor(workspace: WorkspaceId | undefined): ConnectionAvailability {
    return workspace === undefined ? ConnectionAvailability.Ready : this.pool.reuseFor(workspace);
  }

  /** Leases a connection of a workspace, waiting at most `timeoutMs`. */
  acquire(
    priority: Priority,
    now: number,
    timeoutMs: number,
    workspace: WorkspaceId | undefined,
  ): Promise<Result<Lease<PreparedConnection>, RefusalReason>> {
    return this.pool.acquire(priority, now, timeoutMs, workspace);
  }

  /** Changes the limits of the pool. */
  resize(limits: PoolLimits): void {
    this.pool.resize(limits);
  }

  /** Closes connections that have been idle since `before`. */
  closeIdle(before: number): void {
    this.pool.closeIdle(before);
  }

  /** Closes idle connections and refuses new work. */
  stop(): void {
    this.pool.stop();
  }

  private recordConnectFailure({ step }: GladespoolError, now: number): void {
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
      const context = { step: Step.UpstreamConnect, peer: this.entry.id };
      return err(
        gladespoolError(
          context,
          'upstream has lost its log: its position is behind the last known one',
        ),
      );
    }
    this.health.noteAlive(performance.now());
    return ok(new PreparedConnection(wire.value));
  }
}
