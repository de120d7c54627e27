/**
 * Runs reads on an upstream that covers the session's floor. A status query on the same connection
 * proves this before the read runs; the answer is delayed until the position it shows is confirmed.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  GroupRecord,
  GroupSpec,
  ReadChoice,
  RefusalReason as Reason,
  RetryLimiter,
  UpstreamId,
  UpstreamReport,
} from '@gladespool/coordination';
import {
  AckDecision,
  coverage,
  Coverage,
  FAILURE_THRESHOLD,
  Priority,
  RefusalReason,
  RetryReason,
  SessionGuarantee,
  UpstreamRole,
} from '@gladespool/coordination';
import { RunIntent } from '@gladespool/protocol';
import type { AnswerSegment, Lease } from '@gladespool/upstreams';
import { errorStateOf, ExchangeFailure, isIdle } from '@gladespool/upstreams';
import { planExchange, reportOf } from './exchange-plan.js';
import type { GroupHome } from './group-home.js';
import type { RunOutcome, RunRefusal, RunRequest } from './run-request.js';
import type { Attempt, GroupSnapshot, UpstreamWork } from './upstream-work.js';
import {
  answerOf,
  final,
  READ_ONLY_STATE,
  refusal,
  retry,
  SHORTEST_WAIT_MS,
} from './upstream-work.js';

const PRIORITY_OF_READS = Priority.Interactive;
/** A replica whose last report is younger than this is not queried again, milliseconds. */
const FRESH_MS = 10;
/** Longest wait for reports of replicas before a read goes to the primary, milliseconds. */
const REFRESH_LIMIT_MS = 10;

/** Options of the read flow. */
export interface ReadFlowOptions {
  readonly home: GroupHome;
  readonly work: UpstreamWork;
  readonly retries: RetryLimiter;
  /** Runs a request as a write, after an upstream rejected it as a write in a read-only session. */
  readonly writeInstead: (req: RunRequest) => Promise<RunOutcome>;
}

/** Runs the reads of one home. */
export class ReadFlow {
  private readonly home: GroupHome;
  private readonly work: UpstreamWork;
  private readonly retries: RetryLimiter;

  constructor(private readonly options: ReadFlowOptions) {
    this.home = options.home;
    this.work = options.work;
    this.retries = options.retries;
  }

  /** Runs one read; retries on other upstreams until the deadline, as the retry budget permits. */
  async read(req: RunRequest): Promise<RunOutcome> {
    const tried = new Set<UpstreamId>();
    let refreshed = false;
    let last = refusal(RefusalReason.NoCoveringUpstream);
    while (performance.now() < req.deadlineAt && !req.cancel.aborted) {
      const snapshot = this.work.snapshot();
      if (snapshot === undefined) return refusal(RefusalReason.NoBundle);
      const choice = this.chooseRead(req, snapshot, tried);
      if (choice.kind === 'refuse') return tried.size > 0 ? last : refusal(choice.reason);
      if (choice.kind === 'wait') {
        await this.waitForReplica(choice.forMs);
        continue;
      }
      if (choice.isPrimary && !req.barrier && !refreshed) {
        refreshed = true;
        if (await this.refreshReplicas(snapshot)) continue;
      }
      const attempt = await this.readOn(req, snapshot, choice.upstream);
      if (attempt.kind === 'final') return attempt.outcome;
      if (!this.retries.tryAcquire()) return attempt.last;
      this.home.context.metrics.retries.inc({ reason: attempt.reason });
      if (attempt.reason === RetryReason.ReadOnlyUpstream)
        return this.options.writeInstead(asWrite(req));
      tried.add(choice.upstream);
      last = attempt.last;
    }
    return req.cancel.aborted ? refusal(RefusalReason.Canceled) : last;
  }

  private chooseRead(
    req: RunRequest,
    snapshot: GroupSnapshot,
    tried: ReadonlySet<UpstreamId>,
  ): ReadChoice {
    const { routing, random, rules, board } = this.home.context;
    const now = performance.now();
    const maxWaitMs = Math.min(rules.replicaWaitMs, req.deadlineAt - now);
    const requirements = {
      floor: req.floor,
      barrier: req.barrier,
      maxAgeMs: maxAgeOf(req, snapshot.spec),
      maxWaitMs,
    };
    const views = this.home.views(snapshot.spec, snapshot.record, now);
    return routing.choose({ ...snapshot, az: board.az, views, requirements, tried }, random);
  }

  /**
   * Queries replicas that were not queried recently, before a read goes to the primary: their last
   * reports may be as old as a status interval.
   *
   * @returns whether any replica had an outdated report.
   */
  private async refreshReplicas(snapshot: GroupSnapshot): Promise<boolean> {
    const now = performance.now();
    const views = this.home.views(snapshot.spec, snapshot.record, now);
    const stale = views.filter(
      ({ spec, health }) =>
        spec.id !== snapshot.record.primary &&
        health.failures < FAILURE_THRESHOLD &&
        now - (health.last?.sentAt ?? -Infinity) > FRESH_MS,
    );
    const controls = stale.map(({ spec }) => this.home.control(spec.id));
    const queries = controls.filter((control) => control !== undefined).map((it) => it.status());
    await Promise.race([Promise.all(queries), pause(REFRESH_LIMIT_MS)]);
    return stale.length > 0;
  }

  private async waitForReplica(forMs: number): Promise<void> {
    await pause(Math.max(SHORTEST_WAIT_MS, forMs));
    await this.home.watcher.round();
  }

  private async readOn(
    req: RunRequest,
    snapshot: GroupSnapshot,
    upstream: UpstreamId,
  ): Promise<Attempt> {
    const lease = await this.work.lease(req, snapshot.spec, upstream, PRIORITY_OF_READS);
    if (lease.kind === 'refusal') return retry(leaseRetryReason(lease), lease);
    const isBegin = req.intent === RunIntent.BeginReadOnly;
    const plan = planExchange(req.messages, { before: true, after: !isBegin });
    const answer = await this.work.exchange(req, lease.value, plan.payload, plan.segments);
    if (answer.isErr()) {
      lease.value.release();
      return retry(RetryReason.ReadLost, refusal(readFailure(answer.error)));
    }
    const [before, main, after] = answer.value;
    const held = reportOf(upstream, before);
    if (main === undefined || held === undefined) {
      lease.value.connection.close();
      lease.value.release();
      return retry(RetryReason.ReadLost, refusal(RefusalReason.UpstreamLostReading));
    }
    const fault = this.readFault(req, snapshot, held);
    if (fault !== undefined) {
      if (!isIdle(main)) lease.value.connection.close();
      lease.value.release();
      return retry(RetryReason.StaleReplica, refusal(fault));
    }
    const isPrimary = upstream === snapshot.record.primary;
    if (isBegin)
      return final(this.work.pinOrRelease(lease.value, upstream, isPrimary, main, held.applied));
    return this.finishRead(req, snapshot, lease.value, main, reportOf(upstream, after) ?? held);
  }

  /**
   * Returns why an upstream must not serve the read, by its position and role before the read ran;
   * undefined if it may.
   */
  private readFault(
    req: RunRequest,
    snapshot: GroupSnapshot,
    held: UpstreamReport,
  ): Reason | undefined {
    const record = this.home.record ?? snapshot.record;
    if (coverage(held.applied, req.floor, record.lineage) !== Coverage.Covered) {
      return RefusalReason.NoCoveringUpstream;
    }
    const isPrimary = held.upstream === record.primary;
    if (isPrimary && !servesAsPrimary(held, record)) return RefusalReason.NotPrimary;
    if (req.barrier && !isPrimary) return RefusalReason.NoCoveringUpstream;
    return undefined;
  }

  private async finishRead(
    req: RunRequest,
    snapshot: GroupSnapshot,
    lease: Lease,
    main: AnswerSegment,
    after: UpstreamReport,
  ): Promise<Attempt> {
    const replica = after.role === UpstreamRole.Replica;
    lease.release();
    const state = errorStateOf(main);
    if (state === READ_ONLY_STATE) {
      return retry(RetryReason.ReadOnlyUpstream, refusal(RefusalReason.NotPrimary));
    }
    const covered = await this.home.acknowledger.confirm(after.applied, req.deadlineAt);
    const fresh = !req.barrier || (await this.authorityConfirmed(req, snapshot));
    if (covered !== AckDecision.Confirmed || !fresh) {
      return final(refusal(RefusalReason.ReadNotCovered));
    }
    const seen =
      snapshot.spec.sessionGuarantee === SessionGuarantee.Monotonic ? after.applied : undefined;
    return final(answerOf(main, 0, seen, replica));
  }

  /** Waits for proof that the primary read from was not superseded when the request arrived. */
  private async authorityConfirmed(req: RunRequest, snapshot: GroupSnapshot): Promise<boolean> {
    const { term } = snapshot.record;
    const { arrivedAt, deadlineAt } = req;
    const verdict = await this.home.acknowledger.confirmAuthority(term, arrivedAt, deadlineAt);
    return verdict === AckDecision.Confirmed;
  }
}

function maxAgeOf(req: RunRequest, spec: GroupSpec): number | undefined {
  if (req.marks.maxAgeMs !== undefined) return req.marks.maxAgeMs;
  return spec.defaultMaxAgeMs === 0 ? undefined : spec.defaultMaxAgeMs;
}

function leaseRetryReason({ refusal: { reason } }: RunRefusal): RetryReason {
  const isLeaving = reason === RefusalReason.UpstreamLeaving;
  return isLeaving ? RetryReason.UpstreamExcluded : RetryReason.ConnectFailed;
}

function servesAsPrimary(report: UpstreamReport, record: GroupRecord): boolean {
  if (report.role !== UpstreamRole.Primary) return false;
  return report.received.term === record.term && report.fencedTerm <= record.term;
}

function asWrite(req: RunRequest): RunRequest {
  const intent = req.intent === RunIntent.BeginReadOnly ? RunIntent.Begin : RunIntent.Write;
  return { ...req, intent };
}

function readFailure(failure: ExchangeFailure): Reason {
  if (failure === ExchangeFailure.TooLarge) return RefusalReason.AnswerTooLarge;
  return RefusalReason.UpstreamLostReading;
}
