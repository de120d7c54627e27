/**
 * Home of one group: the connection pools of its upstreams, the watermarks of its primary, and the choice of the
 * upstream that a statement runs on. A watermark is a log position that the primary reported, together with the time
 * at which it was asked; a replica that holds this position shows no older data than of that time.
 */
import type {
  AuthorityRules,
  OutageEstimates,
  GladespoolError,
  GroupId,
  Position,
  PrimaryRecord,
  PrimaryWatermark,
  RandomSource,
  Refusal,
  RefusalReason,
  UpstreamId,
} from '@gladespool/coordination';
import {
  isAnswerValid,
  chooseUpstream,
  connectionsOf,
  expectedOutageEnd,
  hasAuthority,
  hasRegressed,
  mayBeSameUpstream,
  WatermarkLog,
  formatPosition,
  Priority,
  RecordPhase,
  refuse,
  RetryReason,
  ConnectionAvailability,
} from '@gladespool/coordination';
import type { DepositionEvidence, HostMetrics, Logger } from '@gladespool/observability';
import { RestartEvidence } from '@gladespool/observability';
import type { PoolLimits } from '@gladespool/pool';
import type { GatewayBoard } from '../knowledge/board.js';
import type { WriteHolds } from '../knowledge/write-holds.js';
import type { HomeDirectory } from '../knowledge/home-directory.js';
import type { ReachabilityReports } from '../knowledge/reachability-reports.js';
import type { UpstreamEntry } from '../model/catalog.js';
import type { UpstreamAnswer, UpstreamDriver } from '../model/upstream-driver.js';
import type { Job } from './job.js';
import type { PromotionTracker } from '../knowledge/promotion-tracker.js';
import { DepositionTracker } from './deposition-tracker.js';
import { UpstreamPool } from './upstream-pool.js';

/**
 * Time for which the primary has to fail before it counts as unreachable, milliseconds: longer than it takes to
 * replace a lost connection.
 */
const UNREACHABLE_AFTER_MS = 150;
/**
 * Connections per upstream on a host that is not a home of the group. It opens them while no home is available to
 * it, and the connections reserved for homes leave little of the upstream's budget.
 */
const FALLBACK_CONNECTIONS = 1;
/**
 * Idle time after which such a connection is closed, milliseconds: longer than the restart of a home, so that it
 * is not reopened repeatedly in the meantime.
 */
const FALLBACK_IDLE_MS = 1000;
/** Maximum jitter added to the retry time, as a share of it, so that refused callers do not all retry at once. */
const RETRY_JITTER = 0.5;

/** Timeouts and limits of homes. */
export interface HomeRules {
  readonly authority: AuthorityRules;
  /** Timeout for opening a connection to an upstream, milliseconds. */
  readonly connectTimeoutMs: number;
  /** Maximum number of statements waiting for a connection to one upstream. */
  readonly maxWaiting: number;
  /** Expected durations of the phases of a primary outage, except for the promotion, whose duration is observed. */
  readonly outageEstimates: Omit<OutageEstimates, 'promotionMs'>;
}

/** Dependencies and settings that all homes of a host share. */
export interface HomeContext {
  readonly board: GatewayBoard;
  readonly driver: UpstreamDriver;
  readonly rules: HomeRules;
  readonly holds: WriteHolds;
  readonly promotionTracker: PromotionTracker;
  readonly directory: HomeDirectory;
  readonly reachability: ReachabilityReports;
  readonly random: RandomSource;
  /** Time after the start of an evacuation by which upstreams of the zone receive no more work, milliseconds. */
  readonly evacuationMs: number;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}

/** An open transaction that its home ends when the zone of its upstream is evacuated. */
export interface WatchedTransaction {
  /** Ends the transaction if the evacuation of its zone no longer permits it at `now`. */
  endIfEvacuated(now: number): void;
}

/** Connections to one group's upstreams, and the state of the group as observed by one host. */
export class GroupHome {
  readonly marks = new WatermarkLog();
  /** Open transactions on upstreams of the group. */
  readonly transactions = new Set<WatchedTransaction>();
  private readonly pools = new Map<UpstreamId, UpstreamPool>();
  private readonly deposition = new DepositionTracker();

  constructor(
    readonly group: GroupId,
    readonly context: HomeContext,
  ) {}

  /** Primary record of the group, as known to this host. */
  get record(): PrimaryRecord | undefined {
    return this.context.board.record(this.group);
  }

  /** Whether this host may use the primary of the record at `now`. */
  hasAuthority(now: number): boolean {
    const { board, rules } = this.context;
    if (this.deposedSince !== undefined) return false;
    return hasAuthority(board.authority(this.group), now, rules.authority);
  }

  /** Local time at which the primary of the record was first seen to be deposed; undefined if it was not. */
  get deposedSince(): number | undefined {
    return this.deposition.deposedSince(this.record);
  }

  /** Records at `now` that an answer of the primary of `record` shows that it is no longer primary. */
  noteDeposed(record: PrimaryRecord, evidence: DepositionEvidence, now: number): void {
    // A claimed record still names the former primary, which need not be primary any more.
    const isInForce = record.epoch === this.record?.epoch && record.phase === RecordPhase.Serving;
    if (!isInForce || !this.deposition.noteDeposed(record, now)) return;
    const { metrics, log } = this.context;
    metrics.primariesDeposed.inc({ evidence });
    const { group, primary, epoch } = record;
    log.warn('primary-deposed', { group, upstream: primary, epoch, evidence });
  }

  /** Records that the primary of `record` has reported the primary role. */
  notePrimaryConfirmed(record: PrimaryRecord): void {
    this.deposition.notePrimaryConfirmed(record);
  }

  /** Whether the primary has failed here for so long that statements are better forwarded to other hosts. */
  isPrimaryUnreachable(now: number): boolean {
    const { record } = this;
    const since = record && this.pool(record.primary)?.health.failingSince;
    return since !== undefined && now - since >= UNREACHABLE_AFTER_MS;
  }

  /** Local time at which the primary, which cannot be used at `now`, is expected to be usable again. */
  expectedPrimaryAt(now: number): number {
    const { board, rules, promotionTracker } = this.context;
    const { record } = this;
    const { proofTtlMs } = rules.authority;
    const proofExpiredAt = Math.max(board.latestProofAt + proofTtlMs, promotionTracker.startedAt);
    const view = {
      unprovedSince: board.isIsolated(now, rules.authority) ? proofExpiredAt : undefined,
      claimedAt: promotionTracker.claimedAt(this.group),
      failingSince: this.deposedSince ?? (record && this.pool(record.primary)?.health.failingSince),
    };
    const { expectedPromotionMs } = promotionTracker;
    return expectedOutageEnd(
      view,
      { promotionMs: expectedPromotionMs, ...rules.outageEstimates },
      now,
    );
  }

  /** Refusal of work that needs the primary while none is usable, with the time after which to retry. */
  refuseWithoutPrimary(reason: RefusalReason, now: number): Refusal {
    const waitMs = this.expectedPrimaryAt(now) - now;
    return { ...refuse(reason, this.group), retryAfterMs: this.retryAfterWithJitter(waitMs) };
  }

  /** Time after which a caller is told to retry: `waitMs` plus jitter, milliseconds. */
  retryAfterWithJitter(waitMs: number): number {
    const spread = 1 + RETRY_JITTER * this.context.random.unit();
    return Math.ceil(waitMs * spread);
  }

  /** Whether another host is known to reach the primary, so that work can be forwarded to it. */
  canForwardToPrimary(now: number): boolean {
    return this.context.reachability.hostsReaching(this.group, this.record?.epoch, now).length > 0;
  }

  /** Whether an answer of an upstream that arrived at `now` counts as an answer of the primary. */
  isAnswerValid(sentUnder: PrimaryRecord, answeredBy: UpstreamId, now: number): boolean {
    const { board, rules } = this.context;
    if (this.deposition.deposedSince(sentUnder) !== undefined) return false;
    const view = board.authority(this.group);
    return isAnswerValid(sentUnder, answeredBy, view, now, rules.authority);
  }

  /** Adds a watermark from an answer to a command sent at `sentAt`, if it counts as an answer of the primary. */
  recordWatermark(
    sentUnder: PrimaryRecord,
    sentAt: number,
    answer: UpstreamAnswer,
    now: number,
  ): void {
    if (answer.kind === 'lost' || answer.position === undefined) return;
    this.addWatermark(sentUnder, { sentAt, position: answer.position }, now);
  }

  /** Adds a watermark of the primary of `record`, as observed by this or another host, if it is valid at `now`. */
  addWatermark(record: PrimaryRecord, watermark: PrimaryWatermark, now: number): void {
    if (!this.isAnswerValid(record, record.primary, now)) return;
    this.marks.startEpoch(record.epoch);
    this.marks.add(watermark);
  }

  /** Highest position that the primary of `record` has reported under it; undefined if it has reported none. */
  knownPosition(record: PrimaryRecord | undefined): Position | undefined {
    return record?.epoch === this.marks.currentEpoch ? this.marks.highest : undefined;
  }

  /**
   * Lower bound of the log position of an upstream, which it never falls below under the record in force.
   * Undefined for all upstreams but the primary, and where upstreams do not report the time of their start.
   */
  primaryFloor(id: UpstreamId): Position | undefined {
    const { record } = this;
    if (record?.primary !== id) return undefined;
    const reportsStartTime = this.context.board.upstreams.get(id)?.born !== undefined;
    return reportsStartTime ? this.knownPosition(record) : undefined;
  }

  /** Whether an upstream has reported a position below `floor`, and so has lost its log; counts and logs this. */
  detectLogLoss(
    id: UpstreamId,
    floor: Position | undefined,
    reported: Position | undefined,
  ): boolean {
    if (!hasRegressed(floor, reported)) return false;
    const { metrics, log } = this.context;
    metrics.upstreamRestarts.inc({ evidence: RestartEvidence.Position });
    log.warn('primary-went-back', {
      group: this.group,
      upstream: id,
      epoch: this.record?.epoch,
      floor: floor && formatPosition(floor),
      told: reported && formatPosition(reported),
    });
    return true;
  }

  /** The pool of an upstream; undefined if the upstream is not registered. */
  pool(id: UpstreamId): UpstreamPool | undefined {
    const entry = this.context.board.upstreams.get(id);
    if (entry?.group !== this.group) return undefined;
    const held = this.pools.get(id);
    if (held !== undefined && canKeepPool(held.entry, entry)) {
      held.update(entry);
      return held;
    }
    if (held !== undefined) this.dropPool(held, entry);
    const pool = this.openPool(entry);
    this.pools.set(id, pool);
    return pool;
  }

  /** Chooses the best upstream for a read among those that `isAllowed` accepts. */
  choose(
    isAllowed: (entry: UpstreamEntry) => boolean,
    job: Pick<Job, 'route' | 'workspace'>,
    now: number,
  ): UpstreamEntry | undefined {
    const { board, random } = this.context;
    const primary = this.record?.primary;
    const entries = board.upstreamsOf(this.group).filter(isAllowed);
    const loads = entries.map((entry) => {
      const pool = this.pool(entry.id);
      return {
        id: entry.id,
        isPrimary: entry.id === primary,
        distance: board.topology.distance(board.az, entry.az),
        inFlight: pool?.load ?? 0,
        meanMs: pool?.health.meanMs ?? 0,
        availability: pool?.availabilityFor(job.workspace) ?? ConnectionAvailability.CanOpen,
        avoidUntil: pool?.health.avoidUntil ?? now,
      };
    });
    const chosen = chooseUpstream(loads, job.route.targetLatencyMs, now, random);
    return entries.find((entry) => entry.id === chosen);
  }

  /** Resizes the pools for the hosts that are alive now, and drops those of removed or restarted upstreams. */
  refreshPools(): void {
    const { board } = this.context;
    for (const [id, held] of [...this.pools]) {
      if (board.upstreams.has(id)) {
        const pool = this.pool(id);
        pool?.resize(this.limitsFor(pool.entry));
        continue;
      }
      held.stop();
      this.pools.delete(id);
    }
  }

  /**
   * Ends the transactions that an evacuation no longer permits at `now`, and closes idle connections that this host
   * opened while no home was available.
   */
  tick(now: number): void {
    for (const transaction of [...this.transactions]) transaction.endIfEvacuated(now);
    if (this.context.directory.isHome(this.group)) return;
    for (const pool of this.pools.values()) pool.closeIdle(now - FALLBACK_IDLE_MS);
  }

  /** Closes idle connections; those in use are closed when they are released. */
  stop(): void {
    for (const pool of this.pools.values()) pool.stop();
  }

  /** Drops the pool of an upstream whose address has changed, or that has restarted without its data under its id. */
  private dropPool(held: UpstreamPool, entry: UpstreamEntry): void {
    held.stop();
    if (mayBeSameUpstream(held.entry, entry)) return;
    const { metrics, log } = this.context;
    metrics.upstreamRestarts.inc({ evidence: RestartEvidence.Entry });
    log.info('upstream-born-anew', {
      group: this.group,
      upstream: entry.id,
      born: entry.born,
      former_born: held.entry.born,
    });
  }

  private openPool(entry: UpstreamEntry): UpstreamPool {
    const { driver, rules, metrics } = this.context;
    return new UpstreamPool(entry, {
      group: this.group,
      driver,
      limits: this.limitsFor(entry),
      connectTimeoutMs: rules.connectTimeoutMs,
      floor: () => this.primaryFloor(entry.id),
      detectLogLoss: (floor, reported) => this.detectLogLoss(entry.id, floor, reported),
      onConnected: () => {
        metrics.upstreamConnections.inc();
      },
      onConnectFailure: (error) => {
        this.recordConnectFailure(entry, error);
      },
    });
  }

  private recordConnectFailure(entry: UpstreamEntry, error: GladespoolError): void {
    const { metrics, log } = this.context;
    metrics.retries.inc({ reason: RetryReason.ConnectFailed });
    const { step, peer, message } = error;
    log.warn('connect-failed', {
      group: this.group,
      upstream: entry.id,
      step,
      peer,
      error: message,
    });
  }

  private limitsFor(entry: UpstreamEntry): PoolLimits {
    const { board, directory, rules } = this.context;
    const plan = directory.plan(this.group);
    const maxConnections = directory.isHome(this.group)
      ? connectionsOf(plan, board.az, entry.az)
      : FALLBACK_CONNECTIONS;
    return { maxConnections, maxWaiting: rules.maxWaiting };
  }
}

/** Maps a route's priority number to one of the three priority classes of the pool. */
export function poolPriority(priority: number): Priority {
  if (priority <= 1) return Priority.Outcome;
  return priority === 2 ? Priority.Interactive : Priority.Background;
}

/** Whether the pool opened for an upstream's former entry also serves its newer one. */
function canKeepPool(held: UpstreamEntry, entry: UpstreamEntry): boolean {
  const sameAddress = held.address === entry.address && held.port === entry.port;
  return sameAddress && mayBeSameUpstream(held, entry);
}
