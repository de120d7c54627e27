/**
 * Runs writes and the begin of transactions on the primary; a commit is told only once confirmed.
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
import { MarkedWrite } from './marked-write.js';
import type { RunOutcome, RunRequest } from './run-request.js';
import type { Attempt, Ground, UpstreamWork } from './upstream-work.js';
import { answerOf, final, READ_ONLY_STATE, refusal, retry } from './upstream-work.js';

const PRIORITY_OF_WRITES = Priority.Outcome;
/** Longest wait before a held write is looked at again, milliseconds. */
const HOLD_REVIEW_MS = 50;
/** Longest pause before a refused write is tried again, milliseconds. */
const RETRY_PAUSE_MS = 50;

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

/** Writes of one home. */
export class WriteFlow {
  private readonly marked: MarkedWrite;

  constructor(
    private readonly home: GroupHome,
    private readonly work: UpstreamWork,
  ) {
    this.marked = new MarkedWrite(work, (req, main, report) => this.confirmed(req, main, report));
  }

  /** Runs one write to its outcome. */
  async write(req: RunRequest): Promise<RunOutcome> {
    let last = refusal(RefusalReason.NoPrimary);
    while (performance.now() < req.deadlineAt && !req.cancel.aborted) {
      const ground = this.work.ground();
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
    const reached = views.filter((view) => view.health.failures < FAILURE_THRESHOLD).length;
    return reached >= majorityOf(views.length) ? WriteStance.Hold : WriteStance.Refuse;
  }

  private async writeOnce(req: RunRequest, ground: Ground): Promise<Attempt> {
    const upstream = ground.record.primary;
    const lease = await this.work.lease(req, ground.spec, upstream, PRIORITY_OF_WRITES);
    if (lease.kind === 'refusal') {
      const unreachable = lease.refusal.reason === RefusalReason.UpstreamUnreachable;
      return unreachable ? retry(RetryReason.ConnectFailed, lease) : final(lease);
    }
    if (req.marks.requestId !== undefined) return this.marked.run(req, lease.value, upstream);
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
    if (!isIdle(main)) return final(this.work.pinned(lease, upstream, true, main, undefined));
    const position = after ?? (await this.work.positionOn(req, lease, upstream));
    lease.release();
    const untouched = before?.received.offset === position?.received.offset;
    if (errorStateOf(main) !== undefined && untouched)
      return final(answerOf(main, 0, undefined, false));
    return this.confirmed(req, main, position);
  }

  /** Holds the answer of a commit until it can't be lost. */
  private async confirmed(
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
