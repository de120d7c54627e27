/**
 * Home of one group: connection pools, control connections and status of its upstreams, open
 * transactions, and the count of requests in progress.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  AcknowledgementRule,
  Blackboard,
  GroupId,
  GroupRecord,
  GroupSpec,
  RandomSource,
  ReadRouting,
  TimedReport,
  UpstreamId,
  UpstreamSpec,
} from '@gladespool/coordination';
import {
  AcknowledgementKind,
  MajorityRule,
  PrimaryCommitRule,
  provedAge,
  RetryReason,
  unconfirmableMs,
} from '@gladespool/coordination';
import type { UpstreamView } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { ControlTraffic } from '@gladespool/observability';
import { ConnectionPool } from '@gladespool/pool';
import type { UpstreamAccess } from '@gladespool/upstreams';
import { UpstreamConnection, UpstreamControl } from '@gladespool/upstreams';
import { Acknowledger } from './acknowledger.js';
import { OpenTransactions } from './open-transactions.js';
import { StatusWatcher } from './status-watcher.js';

/** Timing and limits of homes. */
export interface HomeRules {
  readonly statusIntervalMs: number;
  readonly statusTimeoutMs: number;
  readonly suspectAfterMs: number;
  readonly replicaWaitMs: number;
  readonly maxWaiting: number;
}

/** Dependencies and settings that all homes of a host share. */
export interface HomeContext {
  readonly board: Blackboard;
  readonly access: UpstreamAccess;
  readonly rules: HomeRules;
  readonly routing: ReadRouting;
  readonly random: RandomSource;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}

/** Connections of one host to the upstreams of one group. */
export class GroupHome {
  readonly transactions = new OpenTransactions();
  readonly acknowledger: Acknowledger;
  readonly watcher: StatusWatcher;
  private readonly pools = new Map<UpstreamId, ConnectionPool<UpstreamConnection>>();
  private readonly upstreamControls = new Map<UpstreamId, UpstreamControl>();
  private running = 0;
  private maxConnections = 1;
  private stopped = false;

  constructor(
    readonly group: GroupId,
    readonly context: HomeContext,
  ) {
    const { board, rules } = context;
    this.acknowledger = new Acknowledger({
      group,
      board,
      rule: { decide: (input) => this.rule().decide(input) },
      probe: () => this.watcher.round(),
    });
    this.watcher = new StatusWatcher({
      group,
      board,
      controls: () => this.controls(),
      intervalMs: rules.statusIntervalMs,
      onFailure: (upstream, error) => {
        const { step, peer, message } = error;
        context.log.trace('upstream-silent', { group, upstream, step, peer, error: message });
      },
    });
  }

  get spec(): GroupSpec | undefined {
    return this.context.board.spec(this.group);
  }

  get record(): GroupRecord | undefined {
    return this.context.board.record(this.group)?.record;
  }

  /** Number of requests in progress plus open transactions. */
  get busy(): number {
    return this.running + this.transactions.size;
  }

  /** Counts a request as in progress until the returned function is called. */
  enter(): () => void {
    this.running += 1;
    return () => {
      this.running -= 1;
    };
  }

  /** Sets how many connections this home may hold to each upstream. */
  setMaxConnections(connections: number): void {
    if (connections === this.maxConnections) return;
    this.maxConnections = connections;
    for (const pool of this.pools.values()) pool.resize(this.limits());
  }

  /** Returns the connection pool of an upstream, created at first use. */
  pool(spec: UpstreamSpec): ConnectionPool<UpstreamConnection> {
    const held = this.pools.get(spec.id);
    if (held !== undefined) return held;
    const { access, log, metrics } = this.context;
    const onFailure = (error: Error & { step: string; peer: string }): void => {
      metrics.retries.inc({ reason: RetryReason.ConnectFailed });
      const { step, peer, message } = error;
      log.warn('connect-failed', { group: this.group, step, peer, error: message });
    };
    const pool = new ConnectionPool(
      () => UpstreamConnection.connect(spec, this.group, access),
      this.limits(),
      onFailure,
    );
    this.pools.set(spec.id, pool);
    return pool;
  }

  /**
   * Returns the control connection of an upstream; replaces it when the upstream's address or port
   * has changed. Undefined for an unknown upstream or once the home is closed.
   */
  control(id: UpstreamId): UpstreamControl | undefined {
    const spec = this.spec?.upstreams.find((upstream) => upstream.id === id);
    if (spec === undefined || this.stopped) return undefined;
    const held = this.upstreamControls.get(id);
    if (held?.spec === spec || (held !== undefined && sameEndpoint(held.spec, spec))) return held;
    held?.close();
    const { metrics } = this.context;
    const control = new UpstreamControl({
      spec,
      database: this.group,
      access: this.context.access,
      timeoutMs: this.context.rules.statusTimeoutMs,
      onBytes: (bytes) => {
        metrics.controlBytes.inc({ traffic: ControlTraffic.Upstreams }, bytes);
      },
      onResult: (result) => {
        this.watcher.recordResult(id, result);
        this.acknowledger.settleDecided(performance.now());
      },
    });
    this.upstreamControls.set(id, control);
    return control;
  }

  /** Returns the health, load and staleness of every upstream as known at `now`, local milliseconds. */
  views(spec: GroupSpec, record: GroupRecord, now: number): readonly UpstreamView[] {
    const { marks, authority, applyRates } = this.context.board.observation(this.group, now);
    const proof = { marks, lineage: record.lineage, authority };
    return spec.upstreams.map((upstream) => {
      const health = this.context.board.healthOf(this.group, upstream.id);
      const applied = health.last?.report.applied;
      const ageMs = applied === undefined ? Infinity : provedAge(proof, applied, now);
      const inFlight = this.pools.get(upstream.id)?.inUse ?? 0;
      return {
        spec: upstream,
        health,
        inFlight,
        applyRate: applyRates.get(upstream.id) ?? 0,
        ageMs,
      };
    });
  }

  /** Returns the latest report of each upstream that has sent one. */
  reports(spec: GroupSpec): readonly TimedReport[] {
    return spec.upstreams
      .map((upstream) => this.context.board.healthOf(this.group, upstream.id).last)
      .filter((timed) => timed !== undefined);
  }

  /** Returns for how long no write could have been confirmed, milliseconds. */
  unconfirmableMs(spec: GroupSpec, record: GroupRecord, now: number): number {
    const { marks, authority, watchingSince } = this.context.board.observation(this.group, now);
    const reports = this.reports(spec).map((timed) => timed.report);
    return unconfirmableMs({ spec, record, marks, authority, watchingSince, reports }, now);
  }

  /** Waits at most `timeoutMs` for requests and transactions to end, then closes every connection. */
  async retire(timeoutMs: number): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (this.busy > 0 && performance.now() < until) await pause(RETIRE_POLL_MS);
    this.close();
  }

  /** Closes every connection at once. */
  close(): void {
    this.stopped = true;
    this.watcher.stop();
    for (const pool of this.pools.values()) pool.stop();
    for (const control of this.upstreamControls.values()) control.close();
  }

  private controls(): readonly UpstreamControl[] {
    const ids = this.spec?.upstreams.map((upstream) => upstream.id) ?? [];
    return ids.map((id) => this.control(id)).filter((control) => control !== undefined);
  }

  private rule(): AcknowledgementRule {
    return ACKNOWLEDGEMENT_RULES[this.spec?.acknowledgement ?? AcknowledgementKind.Majority];
  }

  private limits(): { readonly maxConnections: number; readonly maxWaiting: number } {
    return { maxConnections: this.maxConnections, maxWaiting: this.context.rules.maxWaiting };
  }
}

const RETIRE_POLL_MS = 20;

const ACKNOWLEDGEMENT_RULES: Readonly<Record<AcknowledgementKind, AcknowledgementRule>> = {
  [AcknowledgementKind.Majority]: new MajorityRule(),
  [AcknowledgementKind.PrimaryCommit]: new PrimaryCommitRule(),
};

function sameEndpoint(a: UpstreamSpec, b: UpstreamSpec): boolean {
  return a.address === b.address && a.port === b.port;
}
