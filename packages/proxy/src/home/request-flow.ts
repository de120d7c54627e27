/**
 * Runs requests on a group's home: reads on a covering upstream, writes on the primary, continued
 * transactions on their pinned connection; each answer is held until its position is confirmed.
 */
import type {
  GroupRecord,
  GroupSpec,
  Position,
  RefusalReason as Reason,
  UpstreamId,
  UpstreamReport,
} from '@gladespool/coordination';
import {
  AckVerdict,
  coverage,
  Coverage,
  DEFAULT_RETRY_BUDGET,
  FAILED_AFTER,
  GroupPhase,
  majorityOf,
  Priority,
  RefusalReason,
  refuse,
  RetryAllowance,
  RetryReason,
  Section,
  SessionRule,
  UpstreamRole,
} from '@gladespool/coordination';
import { BackendType, RunIntent, TransactionStatus } from '@gladespool/protocol';
import type { AnswerSegment, Lease } from '@gladespool/upstreams';
import { errorStateOf, ExchangeFailure, isIdle } from '@gladespool/upstreams';
import { planExchange, planQueries, reportOf } from './exchange-plan.js';
import type { GroupHome } from './group-home.js';
import type { OpenTransaction } from './open-transactions.js';
import { claimSql, isClaimed, lookupSql, recordedAnswer, recordSql } from './request-ledger.js';
import type { RunAnswer, RunOutcome, RunRefusal, RunRequest } from './run-request.js';

const READ_ONLY_STATE = '25006';
const PRIORITY_OF_READS = Priority.Interactive;
const PRIORITY_OF_WRITES = Priority.Outcome;
const SHORTEST_WAIT_MS = 1;

/** Outcome of one try: final, or to be tried again for a reason. */
type Attempt =
  | { readonly kind: 'final'; readonly outcome: RunOutcome }
  | { readonly kind: 'retry'; readonly reason: RetryReason; readonly last: RunRefusal };

interface Ground {
  readonly spec: GroupSpec;
  readonly record: GroupRecord;
}

/** Runs the requests of one home. */
export class RequestFlow {
  private readonly retries = new RetryAllowance(DEFAULT_RETRY_BUDGET);

  constructor(private readonly home: GroupHome) {}

  /** Runs one request to its outcome. */
  async run(req: RunRequest): Promise<RunOutcome> {
    const leave = this.home.enter();
    this.retries.noteRequest();
    try {
      return await this.dispatch(req);
    } finally {
      leave();
    }
  }

  /** Rolls back a transaction whose caller is gone. */
  abandon(transaction: number): void {
    this.home.transactions.abandon(transaction);
  }

  private dispatch(req: RunRequest): Promise<RunOutcome> {
    switch (req.intent) {
      case RunIntent.Continue:
      case RunIntent.End:
        return this.continueTransaction(req);
      case RunIntent.Read:
      case RunIntent.BeginReadOnly:
        return this.read(req);
      case RunIntent.Write:
      case RunIntent.Begin:
        return this.write(req);
    }
  }

  // Reads

  private async read(req: RunRequest): Promise<RunOutcome> {
    const tried = new Set<UpstreamId>();
    let refreshed = false;
    let last = refusal(RefusalReason.NoCoveringUpstream);
    while (performance.now() < req.deadlineAt && !req.cancel.aborted) {
      const ground = this.ground();
      if (ground === undefined) return refusal(RefusalReason.NoBundle);
      const choice = this.chooseRead(req, ground, tried);
      if (choice.kind === 'refuse') return tried.size > 0 ? last : refusal(choice.reason);
      if (choice.kind === 'wait') {
        await this.waitForReplica(choice.forMs);
        continue;
      }
      if (choice.isPrimary && !req.barrier && !refreshed) {
        refreshed = true;
        if (await this.refreshReplicas(ground)) continue;
      }
      const attempt = await this.readOn(req, ground, choice.upstream);
      if (attempt.kind === 'final') return attempt.outcome;
      if (!this.retries.take()) return attempt.last;
      this.home.context.metrics.retries.inc({ reason: attempt.reason });
      if (attempt.reason === RetryReason.ReadOnlyUpstream) return this.write(asWrite(req));
      tried.add(choice.upstream);
      last = attempt.last;
    }
    return req.cancel.aborted ? refusal(RefusalReason.Canceled) : last;
  }

  private chooseRead(
    req: RunRequest,
    ground: Ground,
    tried: ReadonlySet<UpstreamId>,
  ): ReturnType<GroupHome['context']['routing']['choose']> {
    const { routing, random, rules, board } = this.home.context;
    const now = performance.now();
    const maxWaitMs = Math.min(rules.replicaWaitMs, req.deadlineAt - now);
    const need = {
      floor: req.floor,
      barrier: req.barrier,
      maxAgeMs: maxAgeOf(req, ground.spec),
      maxWaitMs,
    };
    const views = this.home.views(ground.spec, ground.record, now);
    return routing.choose({ ...ground, az: board.az, views, need, tried }, random);
  }

  /**
   * Asks replicas that have not been asked lately, before a read falls to the primary: what is
   * known of them may be as old as a status interval.
   *
   * @returns whether anything was asked.
   */
  private async refreshReplicas(ground: Ground): Promise<boolean> {
    const now = performance.now();
    const views = this.home.views(ground.spec, ground.record, now);
    const stale = views.filter(
      ({ spec, health }) =>
        spec.id !== ground.record.primary &&
        health.failures < FAILED_AFTER &&
        now - (health.last?.sentAt ?? -Infinity) > FRESH_MS,
    );
    const asked = stale.map(({ spec }) => this.home.control(spec.id)?.status());
    await Promise.race([Promise.all(asked), pause(REFRESH_LIMIT_MS)]);
    return stale.length > 0;
  }

  private async waitForReplica(forMs: number): Promise<void> {
    await pause(Math.max(SHORTEST_WAIT_MS, forMs));
    await this.home.watcher.round();
  }

  private async readOn(req: RunRequest, ground: Ground, upstream: UpstreamId): Promise<Attempt> {
    const lease = await this.lease(req, ground.spec, upstream, PRIORITY_OF_READS);
    if (lease.kind === 'refusal') return retry(RetryReason.ConnectFailed, lease);
    const isBegin = req.intent === RunIntent.BeginReadOnly;
    const plan = planExchange(req.messages, { before: true, after: !isBegin });
    const answer = await this.exchange(req, lease.value, plan.payload, plan.segments);
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
    const fault = this.readFault(req, ground, held);
    if (fault !== undefined) {
      if (!isIdle(main)) lease.value.connection.close();
      lease.value.release();
      return retry(RetryReason.StaleReplica, refusal(fault));
    }
    const isPrimary = upstream === ground.record.primary;
    if (isBegin) return final(this.pinned(lease.value, upstream, isPrimary, main, held.applied));
    return this.finishRead(req, ground, lease.value, main, reportOf(upstream, after) ?? held);
  }

  /** Why an upstream must not serve the read, judged on what it held before the read ran. */
  private readFault(req: RunRequest, ground: Ground, held: UpstreamReport): Reason | undefined {
    const record = this.home.record ?? ground.record;
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
    ground: Ground,
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
    const fresh = !req.barrier || (await this.authorityConfirmed(req, ground));
    if (covered !== AckVerdict.Confirmed || !fresh) {
      return final(refusal(RefusalReason.ReadNotCovered));
    }
    const seen = ground.spec.sessionRule === SessionRule.Monotonic ? after.applied : undefined;
    return final(answerOf(main, 0, seen, replica));
  }

  /** Proves that the primary read from was not superseded when the request arrived. */
  private async authorityConfirmed(req: RunRequest, ground: Ground): Promise<boolean> {
    const { term } = ground.record;
    const { arrivedAt, deadlineAt } = req;
    const verdict = await this.home.acknowledger.confirmAuthority(term, arrivedAt, deadlineAt);
    return verdict === AckVerdict.Confirmed;
  }

  // Writes

  private async write(req: RunRequest): Promise<RunOutcome> {
    let last = refusal(RefusalReason.NoPrimary);
    while (performance.now() < req.deadlineAt && !req.cancel.aborted) {
      const ground = this.ground();
      if (ground === undefined) return refusal(RefusalReason.NoBundle);
      const stance = this.stance(ground);
      if (stance === WriteStance.Refuse) return refusal(RefusalReason.NoMajority);
      if (stance === WriteStance.Hold) {
        await this.recordChange(Math.min(req.deadlineAt, performance.now() + HOLD_REVIEW_MS));
        continue;
      }
      const attempt = await this.writeOnce(req, ground);
      if (attempt.kind === 'final') return attempt.outcome;
      this.home.context.metrics.retries.inc({ reason: attempt.reason });
      last = attempt.last;
      await this.recordChange(Math.min(req.deadlineAt, performance.now() + RETRY_PAUSE_MS));
    }
    return req.cancel.aborted ? refusal(RefusalReason.Canceled) : last;
  }

  /**
   * What to do with a write now. While no write could be confirmed it is held if a promotion can
   * end that, which takes a majority of upstreams in reach; else it is refused at once.
   */
  private stance(ground: Ground): WriteStance {
    if (ground.record.phase !== GroupPhase.Serving) return WriteStance.Hold;
    const now = performance.now();
    const silentMs = this.home.unconfirmableMs(ground.spec, ground.record, now);
    if (silentMs <= this.home.context.rules.suspectAfterMs) return WriteStance.Run;
    const views = this.home.views(ground.spec, ground.record, now);
    const reached = views.filter((view) => view.health.failures < FAILED_AFTER).length;
    return reached >= majorityOf(views.length) ? WriteStance.Hold : WriteStance.Refuse;
  }

  private async writeOnce(req: RunRequest, ground: Ground): Promise<Attempt> {
    const upstream = ground.record.primary;
    const lease = await this.lease(req, ground.spec, upstream, PRIORITY_OF_WRITES);
    if (lease.kind === 'refusal') {
      const unreachable = lease.refusal.reason === RefusalReason.UpstreamUnreachable;
      return unreachable ? retry(RetryReason.ConnectFailed, lease) : final(lease);
    }
    if (req.marks.requestId !== undefined) return this.writeMarked(req, lease.value, upstream);
    const isBegin = req.intent === RunIntent.Begin;
    const plan = planExchange(req.messages, { before: true, after: !isBegin });
    const answer = await this.exchange(req, lease.value, plan.payload, plan.segments);
    if (answer.isErr()) {
      lease.value.release();
      const lost = isBegin ? RefusalReason.TransactionLost : RefusalReason.UpstreamLost;
      const reason =
        answer.error === ExchangeFailure.TooLarge ? RefusalReason.AnswerTooLarge : lost;
      return final(refusal(reason));
    }
    const [before, main, after] = answer.value;
    return this.finishWrite(req, lease.value, {
      upstream,
      main,
      before: reportOf(upstream, before),
      after: reportOf(upstream, after),
    });
  }

  private async finishWrite(req: RunRequest, lease: Lease, done: WriteDone): Promise<Attempt> {
    const { main, upstream, before, after } = done;
    if (main === undefined) {
      lease.release();
      return final(refusal(RefusalReason.UpstreamLost));
    }
    if (errorStateOf(main) === READ_ONLY_STATE) {
      lease.release();
      return retry(RetryReason.NotPrimary, refusal(RefusalReason.NotPrimary));
    }
    if (!isIdle(main)) return final(this.pinned(lease, upstream, true, main, undefined));
    const position = after ?? (await this.positionOn(req, lease, upstream));
    lease.release();
    const untouched = before?.received.offset === position?.received.offset;
    if (errorStateOf(main) !== undefined && untouched)
      return final(answerOf(main, 0, undefined, false));
    return this.confirmed(req, main, position);
  }

  /** Runs a request under its id; see the request ledger. */
  private async writeMarked(req: RunRequest, lease: Lease, upstream: UpstreamId): Promise<Attempt> {
    const id = req.marks.requestId;
    if (id === undefined) return final(refusal(RefusalReason.BadMarks));
    const isBegin = req.intent === RunIntent.Begin;
    const opening = planQueries([...(isBegin ? [] : ['BEGIN']), claimSql(id, Date.now())]);
    const payload = isBegin
      ? Buffer.concat([req.messages, opening.payload])
      : Buffer.concat([opening.payload, req.messages]);
    const answer = await this.exchange(req, lease, payload, opening.segments + 1);
    if (answer.isErr()) {
      lease.release();
      return final(refusal(RefusalReason.TransactionLost));
    }
    const [first, second, third] = answer.value;
    const claim = second;
    if (isClaimed(claim)) return this.repeated(req, lease, upstream);
    const main = isBegin ? first : third;
    const failed = claim === undefined || errorStateOf(claim) !== undefined || main === undefined;
    if (failed) return this.claimFailed(lease, claim);
    if (isBegin) return final(this.pinned(lease, upstream, true, main, undefined));
    if (errorStateOf(main) !== undefined) return this.rollBack(req, lease, main);
    return this.commitMarked(req, lease, upstream, main);
  }

  private async commitMarked(
    req: RunRequest,
    lease: Lease,
    upstream: UpstreamId,
    main: AnswerSegment,
  ): Promise<Attempt> {
    const id = req.marks.requestId;
    if (id === undefined) return final(refusal(RefusalReason.BadMarks));
    const closing = planQueries([recordSql(id, main), 'COMMIT']);
    const plan = planExchange(closing.payload, { before: false, after: true });
    const answer = await this.exchange(req, lease, plan.payload, closing.segments + 1);
    lease.release();
    if (answer.isErr()) return final(refusal(RefusalReason.UpstreamLost));
    const [, commit, after] = answer.value;
    const state = commit === undefined ? undefined : errorStateOf(commit);
    if (state === READ_ONLY_STATE) {
      return retry(RetryReason.NotPrimary, refusal(RefusalReason.NotPrimary));
    }
    if (commit === undefined || state !== undefined || isRolledBack(commit)) {
      return final(refusal(RefusalReason.TransactionLost, state ?? 'rolled back'));
    }
    const idle: AnswerSegment = { messages: main.messages, status: TransactionStatus.Idle };
    return this.confirmed(req, idle, reportOf(upstream, after));
  }

  /** The id ran before: gives its recorded answer, once that is confirmed too. */
  private async repeated(req: RunRequest, lease: Lease, upstream: UpstreamId): Promise<Attempt> {
    const id = req.marks.requestId;
    if (id === undefined) return final(refusal(RefusalReason.BadMarks));
    const queries = planQueries(['ROLLBACK', lookupSql(id)]);
    const plan = planExchange(queries.payload, { before: false, after: true });
    const answer = await this.exchange(req, lease, plan.payload, queries.segments + 1);
    lease.release();
    if (answer.isErr()) return final(refusal(RefusalReason.UpstreamLostReading));
    const [, lookup, after] = answer.value;
    const recorded = recordedAnswer(lookup);
    if (recorded === undefined) return final(refusal(RefusalReason.AlreadyRan));
    const main: AnswerSegment = { messages: [recorded], status: TransactionStatus.Idle };
    return this.confirmed(req, main, reportOf(upstream, after));
  }

  private claimFailed(lease: Lease, claim: AnswerSegment | undefined): Attempt {
    lease.connection.close();
    lease.release();
    const state = claim === undefined ? undefined : errorStateOf(claim);
    if (state === READ_ONLY_STATE) {
      return retry(RetryReason.NotPrimary, refusal(RefusalReason.NotPrimary));
    }
    return final(
      refusal(RefusalReason.TransactionLost, `ledger refused with ${state ?? 'nothing'}`),
    );
  }

  private async rollBack(req: RunRequest, lease: Lease, main: AnswerSegment): Promise<Attempt> {
    const plan = planQueries(['ROLLBACK']);
    const answer = await this.exchange(req, lease, plan.payload, plan.segments);
    if (answer.isErr()) lease.connection.close();
    lease.release();
    if (errorStateOf(main) === READ_ONLY_STATE) {
      return retry(RetryReason.NotPrimary, refusal(RefusalReason.NotPrimary));
    }
    const idle: AnswerSegment = { messages: main.messages, status: TransactionStatus.Idle };
    return final(answerOf(idle, 0, undefined, false));
  }

  /** Holds the answer of a commit until it can't be lost. */
  private async confirmed(
    req: RunRequest,
    main: AnswerSegment,
    report: UpstreamReport | undefined,
  ): Promise<Attempt> {
    if (report === undefined) return final(refusal(RefusalReason.OutcomeUnknown));
    const verdict = await this.home.acknowledger.confirm(report.received, req.deadlineAt);
    if (verdict === AckVerdict.Confirmed) return final(answerOf(main, 0, report.received, false));
    const superseded = verdict === AckVerdict.Superseded;
    return final(refusal(superseded ? RefusalReason.Superseded : RefusalReason.OutcomeUnknown));
  }

  // Open transactions

  private async continueTransaction(req: RunRequest): Promise<RunOutcome> {
    const open = this.home.transactions.get(req.transaction);
    if (req.cancel.aborted) return refusal(RefusalReason.Canceled);
    if (open === undefined) return refusal(RefusalReason.TransactionLost);
    const isEnd = req.intent === RunIntent.End;
    const plan = planExchange(req.messages, { before: false, after: isEnd });
    const answer = await this.exchange(req, open.lease, plan.payload, plan.segments);
    if (answer.isErr()) {
      this.home.transactions.unpin(open.handle);
      return refusal(isEnd ? RefusalReason.UpstreamLost : RefusalReason.TransactionLost);
    }
    const [main, after] = answer.value;
    if (main === undefined) return refusal(RefusalReason.UpstreamLost);
    if (!isIdle(main)) return answerOf(main, open.handle, undefined, !open.onPrimary);
    return this.endTransaction(req, open, main, reportOf(open.upstream, after));
  }

  private async endTransaction(
    req: RunRequest,
    open: OpenTransaction,
    main: AnswerSegment,
    after: UpstreamReport | undefined,
  ): Promise<RunOutcome> {
    const report = after ?? (await this.positionOn(req, open.lease, open.upstream));
    this.home.transactions.unpin(open.handle);
    if (isRolledBack(main) || errorStateOf(main) !== undefined) {
      return answerOf(main, 0, undefined, !open.onPrimary);
    }
    if (report === undefined) return refusal(RefusalReason.OutcomeUnknown);
    const position = open.onPrimary ? report.received : report.applied;
    const verdict = await this.home.acknowledger.confirm(position, req.deadlineAt);
    if (verdict === AckVerdict.Confirmed) return answerOf(main, 0, position, !open.onPrimary);
    if (!open.onPrimary) return refusal(RefusalReason.ReadNotCovered);
    const superseded = verdict === AckVerdict.Superseded;
    return refusal(superseded ? RefusalReason.Superseded : RefusalReason.OutcomeUnknown);
  }

  private pinned(
    lease: Lease,
    upstream: UpstreamId,
    onPrimary: boolean,
    main: AnswerSegment,
    position: Position | undefined,
  ): RunOutcome {
    if (isIdle(main)) {
      lease.release();
      return answerOf(main, 0, position, !onPrimary);
    }
    const handle = this.home.transactions.pin(lease, upstream, onPrimary, performance.now());
    return answerOf(main, handle, undefined, !onPrimary);
  }

  // Shared

  private ground(): Ground | undefined {
    const { spec, record } = this.home;
    return spec === undefined || record === undefined ? undefined : { spec, record };
  }

  private async lease(
    req: RunRequest,
    spec: GroupSpec,
    id: UpstreamId,
    usual: Priority,
  ): Promise<{ readonly kind: 'lease'; readonly value: Lease } | RunRefusal> {
    const upstream = spec.upstreams.find((candidate) => candidate.id === id);
    if (upstream === undefined) return refusal(RefusalReason.NoPrimary);
    const now = performance.now();
    const priority = req.marks.priority ?? usual;
    const leased = await this.home.pool(upstream).acquire(priority, now, req.deadlineAt - now);
    if (leased.isErr()) return refusal(leased.error);
    if (!req.cancel.aborted) return { kind: 'lease', value: leased.value };
    leased.value.release();
    return refusal(RefusalReason.Canceled);
  }

  private async exchange(
    req: RunRequest,
    lease: Lease,
    payload: Buffer,
    segments: number,
  ): ReturnType<Lease['connection']['exchange']> {
    const onCancel = (): void => {
      lease.connection.cancelRunning();
    };
    req.cancel.addEventListener('abort', onCancel, { once: true });
    const timeoutMs = Math.max(SHORTEST_WAIT_MS, req.deadlineAt - performance.now());
    const answer = await lease.connection.exchange(payload, segments, timeoutMs);
    req.cancel.removeEventListener('abort', onCancel);
    return answer;
  }

  private async positionOn(
    req: RunRequest,
    lease: Lease,
    upstream: UpstreamId,
  ): Promise<UpstreamReport | undefined> {
    const plan = planExchange(Buffer.alloc(0), { before: false, after: true });
    const answer = await this.exchange(req, lease, plan.payload, 1);
    return answer.isOk() ? reportOf(upstream, answer.value[0]) : undefined;
  }

  /** Resolves at the next change of a record or at `until`. */
  private recordChange(until: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        stop();
        resolve();
      };
      const stop = this.home.context.board.onChange(Section.Records, done);
      const timer = setTimeout(done, Math.max(0, until - performance.now()));
    });
  }
}

/** What to do with a write. */
enum WriteStance {
  Run,
  Hold,
  Refuse,
}

interface WriteDone {
  readonly upstream: UpstreamId;
  readonly main: AnswerSegment | undefined;
  readonly before: UpstreamReport | undefined;
  readonly after: UpstreamReport | undefined;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A replica's report younger than this is not asked for again, milliseconds. */
const FRESH_MS = 10;
/** Longest wait for the reports of replicas before a read falls to the primary, milliseconds. */
const REFRESH_LIMIT_MS = 10;
/** Longest wait before a held write is looked at again, milliseconds. */
const HOLD_REVIEW_MS = 50;
/** Longest pause before a refused write is tried again, milliseconds. */
const RETRY_PAUSE_MS = 50;

function maxAgeOf(req: RunRequest, spec: GroupSpec): number | undefined {
  if (req.marks.maxAgeMs !== undefined) return req.marks.maxAgeMs;
  return spec.defaultMaxAgeMs === 0 ? undefined : spec.defaultMaxAgeMs;
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

function isRolledBack(segment: AnswerSegment): boolean {
  return segment.messages.some(
    (message) =>
      message[0] === BackendType.CommandComplete &&
      message.toString('utf8', 5, message.length - 1) === 'ROLLBACK',
  );
}

function answerOf(
  main: AnswerSegment,
  transaction: number,
  position: Position | undefined,
  replica: boolean,
): RunAnswer {
  const bytes = Buffer.concat(main.messages);
  return { kind: 'answer', bytes, status: main.status, transaction, position, replica };
}

function refusal(reason: Reason, detail = ''): RunRefusal {
  return { kind: 'refusal', refusal: refuse(reason, detail) };
}

function final(outcome: RunOutcome): Attempt {
  return { kind: 'final', outcome };
}

function retry(reason: RetryReason, last: RunRefusal): Attempt {
  return { kind: 'retry', reason, last };
}
