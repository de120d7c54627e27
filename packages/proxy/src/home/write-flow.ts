/**
 * Runs writes and starts read-write transactions on the primary; a commit is reported to the caller
 * only once it is confirmed.
 */
import type { UpstreamId, UpstreamReport } from '@gladespool/coordination';
import {
  AckDecision,
  FAILURE_THRESHOLD,
  GroupPhase,
  majorityOf,
  Priority,
  RefusalReason,
  RetryReason,
  Section,
} from '@gladespool/coordination';
import { RunIntent } from '@gladespool/protocol';
import type { AnswerSegment, Lease } from '@gladespool/upstreams';
import { errorStateOf, ExchangeFailure, isIdle } from '@gladespool/upstreams';
import { planExchange, reportOf } from './exchange-plan.js';
import type { GroupHome } from './group-home.js';
import { IdempotentWrite } from './idempotent-write.js';
import type { RunOutcome, RunRefusal, RunRequest } from './run-request.js';
import type { Attempt, GroupSnapshot, UpstreamWork } from './upstream-work.js';
import { answerOf, final, READ_ONLY_STATE, refusal, retry } from './upstream-work.js';

const PRIORITY_OF_WRITES = Priority.Outcome;
/** Longest wait before a held write is evaluated again, milliseconds. */
const HOLD_REVIEW_MS = 50;
/** Longest pause before a failed write is retried, milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Whether a write runs now, is held until the group changes, or is refused. */
enum WriteDecision {
  Run,
  Hold,
  Refuse,
}

interface WriteResult {
  readonly upstream: UpstreamId;
  readonly main: AnswerSegment | undefined;
  readonly before: UpstreamReport | undefined;
  readonly after: UpstreamReport | undefined;
}

/** Runs the writes of one home. */
export class WriteFlow {
  private readonly idempotentWrite: IdempotentWrite;

  constructor(
    private readonly home: GroupHome,
    private readonly work: UpstreamWork,
  ) {
    this.idempotentWrite = new IdempotentWrite(work, (req, main, report) =>
      this.confirmCommit(req, main, report),
    );
  }

  /** Runs one write; holds and retries it until the deadline. */
  async write(req: RunRequest): Promise<RunOutcome> {
    let last = refusal(RefusalReason.NoPrimary);
    while (performance.now() < req.deadlineAt && !req.cancel.aborted) {
      const snapshot = this.work.snapshot();
      if (snapshot === undefined) return refusal(RefusalReason.NoBundle);
      const decision = this.decide(snapshot);
      if (decision === WriteDecision.Refuse) return refusal(RefusalReason.NoMajority);
      if (decision === WriteDecision.Hold) {
        await this.recordChange(Math.min(req.deadlineAt, performance.now() + HOLD_REVIEW_MS));
        continue;
      }
      const attempt = await this.writeOnce(req, snapshot);
      if (attempt.kind === 'final') return attempt.outcome;
      this.home.context.metrics.retries.inc({ reason: attempt.reason });
      last = attempt.last;
      await this.recordChange(Math.min(req.deadlineAt, performance.now() + RETRY_PAUSE_MS));
    }
    return req.cancel.aborted ? refusal(RefusalReason.Canceled) : last;
  }

  /**
   * Decides what to do with a write now. While no write can be confirmed, the write is held if a
   * promotion could end that state, which takes a majority of reachable upstreams; otherwise it is
   * refused at once.
   */
  private decide(snapshot: GroupSnapshot): WriteDecision {
    if (snapshot.record.phase !== GroupPhase.Serving) return WriteDecision.Hold;
    const now = performance.now();
    const unconfirmableMs = this.home.unconfirmableMs(snapshot.spec, snapshot.record, now);
    if (unconfirmableMs <= this.home.context.rules.suspectAfterMs) return WriteDecision.Run;
    const views = this.home.views(snapshot.spec, snapshot.record, now);
    const reached = views.filter((view) => view.health.failures < FAILURE_THRESHOLD).length;
    return reached >= majorityOf(views.length) ? WriteDecision.Hold : WriteDecision.Refuse;
  }

  private async writeOnce(req: RunRequest, snapshot: GroupSnapshot): Promise<Attempt> {
    const upstream = snapshot.record.primary;
    const lease = await this.work.lease(req, snapshot.spec, upstream, PRIORITY_OF_WRITES);
    if (lease.kind === 'refusal') return afterLeaseRefusal(lease);
    if (req.marks.requestId !== undefined)
      return this.idempotentWrite.run(req, lease.value, upstream);
    const isBegin = req.intent === RunIntent.Begin;
    const plan = planExchange(req.messages, { before: true, after: !isBegin });
    const answer = await this.work.exchange(req, lease.value, plan.payload, plan.segments);
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

  private async finishWrite(req: RunRequest, lease: Lease, result: WriteResult): Promise<Attempt> {
    const { main, upstream, before, after } = result;
    if (main === undefined) {
      lease.release();
      return final(refusal(RefusalReason.UpstreamLost));
    }
    if (errorStateOf(main) === READ_ONLY_STATE) {
      lease.release();
      return retry(RetryReason.NotPrimary, refusal(RefusalReason.NotPrimary));
    }
    if (!isIdle(main)) return final(this.work.pinOrRelease(lease, upstream, true, main, undefined));
    const position = after ?? (await this.work.queryStatus(req, lease, upstream));
    lease.release();
    const untouched = before?.received.offset === position?.received.offset;
    if (errorStateOf(main) !== undefined && untouched)
      return final(answerOf(main, 0, undefined, false));
    return this.confirmCommit(req, main, position);
  }

  /** Delays the answer of a commit until the commit is durable. */
  private async confirmCommit(
    req: RunRequest,
    main: AnswerSegment,
    report: UpstreamReport | undefined,
  ): Promise<Attempt> {
    if (report === undefined) return final(refusal(RefusalReason.OutcomeUnknown));
    const verdict = await this.home.acknowledger.confirm(report.received, req.deadlineAt);
    if (verdict === AckDecision.Confirmed) return final(answerOf(main, 0, report.received, false));
    const superseded = verdict === AckDecision.Superseded;
    return final(refusal(superseded ? RefusalReason.Superseded : RefusalReason.OutcomeUnknown));
  }

  /** Resolves at the next change of a record, or at `until`, local milliseconds. */
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

function afterLeaseRefusal(lease: RunRefusal): Attempt {
  const { reason } = lease.refusal;
  if (reason === RefusalReason.UpstreamUnreachable) return retry(RetryReason.ConnectFailed, lease);
  if (reason === RefusalReason.NotPrimary) return retry(RetryReason.NotPrimary, lease);
  return final(lease);
}
