/**
 * One group's home: connections to its upstreams, marks of its primary, and the choice of where a
 * statement may run.
 */
import type {
  AuthorityRules,
  OutageEstimates,
  GladespoolError,
  GroupId,
  Position,
  PrimaryRecord,
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

/** Longer than a connection that is lost and opened anew, milliseconds. */
const MISSED_AFTER_MS = 150;
/**
 * Connections to one upstream of a host that is no home of the group. It opens them while no home
 * serves it, and the homes' share of the budget leaves little room for them.
 */
const FALLBACK_CONNECTIONS = 1;
/**
 * Time after which such a connection is closed when nobody uses it, milliseconds: longer than a home's
 * restart, so that it is not opened again and again meanwhile.
 */
const FALLBACK_IDLE_MS = 1000;
/** Callers that are refused alike are told to come back over this part more of the time, not all at once. */
const RETURN_SPREAD = 0.5;

/** Times and bounds of homes. */
export interface HomeRules {
  readonly authority: AuthorityRules;
  /** Longest time for opening a connection to an upstream, milliseconds. */
  readonly connectTimeoutMs: number;
  /** Statements waiting for a connection to one upstream at most. */
  readonly maxWaiting: number;
  /** Usual times of the parts of a gap without a primary, but for the promotion, which is observed. */
  readonly gap: Omit<OutageEstimates, 'promotionMs'>;
}

/** What every home of a host shares. */
export interface HomeContext {
  readonly board: GatewayBoard;
  readonly driver: UpstreamDriver;
  readonly rules: HomeRules;
  readonly holds: WriteHolds;
  readonly pace: PromotionTracker;
  readonly directory: HomeDirectory;
  readonly reach: ReachabilityReports;
  readonly random: RandomSource;
  /** Time within which upstreams of an evacuated zone get no work any more, milliseconds. */
  readonly evacuationMs: number;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}

/** An open transaction as its home watches it. */
export interface WatchedTransaction {
  /** Ends the transaction if it may not go on at `now`. */
  endIfEvacuated(now: number): void;
}

/** Connections and knowledge of one group on one host. */
export class GroupHome {
  readonly marks = new WatermarkLog();
  /** Transactions that are open on upstreams of the group. */
  readonly transactions = new Set<WatchedTransaction>();
  private readonly slots = new Map<UpstreamId, UpstreamPool>();
  private readonly lead = new DepositionTracker();

  constructor(
    readonly group: GroupId,
    readonly context: HomeContext,
  ) {}

  /** Record of the group's primary, as this host has it. */
  get record(): PrimaryRecord | undefined {
    return this.context.board.record(this.group);
  }

  /** Whether the primary of the record may be used at `now`. */
  hasAuthority(now: number): boolean {
    const { board, rules } = this.context;
    if (this.deposedSince !== undefined) return false;
    return hasAuthority(board.authority(this.group), now, rules.authority);
  }

  /** Local time since which the primary of the record has shown that it leads no more; undefined while it leads. */
  get deposedSince(): number | undefined {
    return this.lead.deposedSince(this.record);
  }

  /** Notes at `now` that the primary of `record` has shown that it leads no more. */
  noteDeposed(record: PrimaryRecord, evidence: DepositionEvidence, now: number): void {
    // A former primary, that a claim still names as well, need not lead.
    const isInForce = record.epoch === this.record?.epoch && record.phase === RecordPhase.Serving;
    if (!isInForce || !this.lead.noteDeposed(record, now)) return;
    const { metrics, log } = this.context;
    metrics.primariesDeposed.inc({ evidence });
    const { group, primary, epoch } = record;
    log.warn('primary-deposed', { group, upstream: primary, epoch, evidence });
  }

  /** Notes that the primary of `record` says that it leads. */
  notePrimaryConfirmed(record: PrimaryRecord): void {
    this.lead.notePrimaryConfirmed(record);
  }

  /** Whether the primary has failed this host for so long that it is better asked by way of others. */
  isPrimaryUnreachable(now: number): boolean {
    const { record } = this;
    const since = record && this.pool(record.primary)?.health.failingSince;
    return since !== undefined && now - since >= MISSED_AFTER_MS;
  }

  /** Local time at which the primary, which can't be used at `now`, is expected to be usable. */
  expectedPrimaryAt(now: number): number {
    const { board, rules, pace } = this.context;
    const { record } = this;
    const { proofTtlMs } = rules.authority;
    const lapsedAt = Math.max(board.latestProofAt + proofTtlMs, pace.startedAt);
    const view = {
      unprovedSince: board.isIsolated(now, rules.authority) ? lapsedAt : undefined,
      claimedAt: pace.claimedAt(this.group),
      failingSince: this.deposedSince ?? (record && this.pool(record.primary)?.health.failingSince),
    };
    const { expectedPromotionMs: promotionMs } = pace;
    return expectedOutageEnd(view, { promotionMs, ...rules.gap }, now);
  }

  /** Refusal of work that needs the primary while there is none to use, with when to come back. */
  refuseWithoutPrimary(reason: RefusalReason, now: number): Refusal {
    const waitMs = this.expectedPrimaryAt(now) - now;
    return { ...refuse(reason, this.group), retryAfterMs: this.retryAfterWithJitter(waitMs) };
  }

  /** When a caller that is to wait for `waitMs` is told to come back, milliseconds from now. */
  retryAfterWithJitter(waitMs: number): number {
    const spread = 1 + RETURN_SPREAD * this.context.random.unit();
    return Math.ceil(waitMs * spread);
  }

  /** Whether another host is known to reach the primary. */
  canForwardToPrimary(now: number): boolean {
    return this.context.reach.hostsReaching(this.group, this.record?.epoch, now).length > 0;
  }

  /** Whether an answer of an upstream that arrived at `now` counts as that of the primary. */
  isAnswerValid(sentUnder: PrimaryRecord, answeredBy: UpstreamId, now: number): boolean {
    const { board, rules } = this.context;
    if (this.lead.deposedSince(sentUnder) !== undefined) return false;
    const view = board.authority(this.group);
    return isAnswerValid(sentUnder, answeredBy, view, now, rules.authority);
  }

  /** Notes where the primary stood by an answer to a question sent at `sentAt`, if the answer counts. */
  recordWatermark(
    sentUnder: PrimaryRecord,
    sentAt: number,
    answer: UpstreamAnswer,
    now: number,
  ): void {
    if (answer.kind === 'lost' || answer.position === undefined) return;
    this.addWatermark(sentUnder, sentAt, answer.position, now);
  }

  /** Adds a mark: where the primary stood at `takenAt`, as this host or another one saw it under `record`. */
  addWatermark(record: PrimaryRecord, takenAt: number, position: Position, now: number): void {
    if (!this.isAnswerValid(record, record.primary, now)) return;
    this.marks.startEpoch(record.epoch);
    this.marks.add({ sentAt: takenAt, position });
  }

  /** Furthest position that the primary of `record` has told under it; undefined while it has told none. */
  knownPosition(record: PrimaryRecord | undefined): Position | undefined {
    return record?.epoch === this.marks.currentEpoch ? this.marks.highest : undefined;
  }

  /**
   * Position that an upstream had reached for sure when this is called, and is never behind again under
   * the record in force; undefined for all but the primary, and where upstreams tell no births.
   */
  primaryFloor(id: UpstreamId): Position | undefined {
    const { record } = this;
    if (record?.primary !== id) return undefined;
    const tellsBirth = this.context.board.upstreams.get(id)?.born !== undefined;
    return tellsBirth ? this.knownPosition(record) : undefined;
  }

  /** Whether an upstream has told a position behind `floor`, so that it has lost its log; if so, counts and logs it. */
  detectLogLoss(id: UpstreamId, floor: Position | undefined, told: Position | undefined): boolean {
    if (!hasRegressed(floor, told)) return false;
    const { metrics, log } = this.context;
    metrics.upstreamRestarts.inc({ evidence: RestartEvidence.Position });
    log.warn('primary-went-back', {
      group: this.group,
      upstream: id,
      epoch: this.record?.epoch,
      floor: floor && formatPosition(floor),
      told: told && formatPosition(told),
    });
    return true;
  }

  /** The slot of an upstream; undefined when it is not registered. */
  pool(id: UpstreamId): UpstreamPool | undefined {
    const entry = this.context.board.upstreams.get(id);
    if (entry?.group !== this.group) return undefined;
    const held = this.slots.get(id);
    if (held !== undefined && isSameSlot(held.entry, entry)) {
      held.update(entry);
      return held;
    }
    if (held !== undefined) this.retire(held, entry);
    const slot = this.openSlot(entry);
    this.slots.set(id, slot);
    return slot;
  }

  /** The upstream that serves a read best, of those that pass `isAllowed`. */
  choose(
    isAllowed: (entry: UpstreamEntry) => boolean,
    job: Pick<Job, 'route' | 'workspace'>,
    now: number,
  ): UpstreamEntry | undefined {
    const { board, random } = this.context;
    const primary = this.record?.primary;
    const entries = board.upstreamsOf(this.group).filter(isAllowed);
    const loads = entries.map((entry) => {
      const slot = this.pool(entry.id);
      return {
        id: entry.id,
        isPrimary: entry.id === primary,
        distance: board.topology.distance(board.az, entry.az),
        inFlight: slot?.load ?? 0,
        meanMs: slot?.health.meanMs ?? 0,
        availability: slot?.reuseFor(job.workspace) ?? ConnectionAvailability.CanOpen,
        avoidUntil: slot?.health.avoidUntil ?? now,
      };
    });
    const chosen = chooseUpstream(loads, job.route.targetLatencyMs, now, random);
    return entries.find((entry) => entry.id === chosen);
  }

  /** Fits pools to the hosts that live now, and drops those of upstreams that are gone or started anew. */
  refreshPools(): void {
    const { board } = this.context;
    for (const [id, held] of [...this.slots]) {
      if (board.upstreams.has(id)) {
        const slot = this.pool(id);
        slot?.resize(this.limitsFor(slot.entry));
        continue;
      }
      held.stop();
      this.slots.delete(id);
    }
  }

  /**
   * Ends transactions that may not go on at `now`, and gives back connections that this host opened for
   * want of a home and does not use.
   */
  tick(now: number): void {
    for (const transaction of [...this.transactions]) transaction.endIfEvacuated(now);
    if (this.context.directory.isHome(this.group)) return;
    for (const slot of this.slots.values()) slot.closeIdle(now - FALLBACK_IDLE_MS);
  }

  /** Closes every idle connection; those in use close as they come back. */
  stop(): void {
    for (const slot of this.slots.values()) slot.stop();
  }

  /** Drops what is held of an upstream that is at another address, or is another one under its id. */
  private retire(held: UpstreamPool, told: UpstreamEntry): void {
    held.stop();
    if (mayBeSameUpstream(held.entry, told)) return;
    const { metrics, log } = this.context;
    metrics.upstreamRestarts.inc({ evidence: RestartEvidence.Entry });
    log.info('upstream-born-anew', {
      group: this.group,
      upstream: told.id,
      born: told.born,
      former_born: held.entry.born,
    });
  }

  private openSlot(entry: UpstreamEntry): UpstreamPool {
    const { driver, rules, metrics } = this.context;
    return new UpstreamPool(entry, {
      group: this.group,
      driver,
      limits: this.limitsFor(entry),
      connectTimeoutMs: rules.connectTimeoutMs,
      floor: () => this.primaryFloor(entry.id),
      detectLogLoss: (floor, told) => this.detectLogLoss(entry.id, floor, told),
      onConnected: () => {
        metrics.upstreamConnections.inc();
      },
      onConnectFailure: (error) => {
        this.noteConnectFailure(entry, error);
      },
    });
  }

  private noteConnectFailure(entry: UpstreamEntry, error: GladespoolError): void {
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

/** Pool class of a route's priority number; the pool knows three. */
export function poolPriority(priority: number): Priority {
  if (priority <= 1) return Priority.Outcome;
  return priority === 2 ? Priority.Interactive : Priority.Background;
}

/** Whether what is held of an upstream serves its newer entry as well. */
function isSameSlot(held: UpstreamEntry, told: UpstreamEntry): boolean {
  const sameAddress = held.address === told.address && held.port === told.port;
  return sameAddress && mayBeSameUpstream(held, told);
}
