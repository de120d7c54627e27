/**
 * Runs a write that carries a request id at most once, by means of the request ledger.
 */
import type { UpstreamId, UpstreamReport } from '@gladespool/coordination';
import { RefusalReason, RetryReason } from '@gladespool/coordination';
import { RunIntent, TransactionStatus } from '@gladespool/protocol';
import type { AnswerSegment, Lease } from '@gladespool/upstreams';
import { errorStateOf } from '@gladespool/upstreams';
import { planExchange, planQueries, reportOf } from './exchange-plan.js';
import {
  claimSql,
  isAlreadyClaimed,
  lookupSql,
  recordedAnswer,
  recordSql,
} from './request-ledger.js';
import type { RunRequest } from './run-request.js';
import type { Attempt, UpstreamWork } from './upstream-work.js';
import { answerOf, final, isRolledBack, READ_ONLY_STATE, refusal, retry } from './upstream-work.js';

/** Delays the answer of a commit until the commit is durable. */
export type Confirm = (
  req: RunRequest,
  main: AnswerSegment,
  report: UpstreamReport | undefined,
) => Promise<Attempt>;

/** Runs the writes of one home that carry a request id. */
export class IdempotentWrite {
  constructor(
    private readonly work: UpstreamWork,
    private readonly confirm: Confirm,
  ) {}

  /**
   * Claims the request id in the ledger and runs the request in the same transaction. If the id is
   * claimed already, the recorded answer is returned instead.
   */
  async run(req: RunRequest, lease: Lease, upstream: UpstreamId): Promise<Attempt> {
    const id = req.marks.requestId;
    if (id === undefined) return final(refusal(RefusalReason.BadMarks));
    const isBegin = req.intent === RunIntent.Begin;
    const opening = planQueries([...(isBegin ? [] : ['BEGIN']), claimSql(id, Date.now())]);
    const payload = isBegin
      ? Buffer.concat([req.messages, opening.payload])
      : Buffer.concat([opening.payload, req.messages]);
    const answer = await this.work.exchange(req, lease, payload, opening.segments + 1);
    if (answer.isErr()) {
      lease.release();
      return final(refusal(RefusalReason.TransactionLost));
    }
    const [first, second, third] = answer.value;
    const claim = second;
    if (isAlreadyClaimed(claim)) return this.replayAnswer(req, lease, upstream);
    const main = isBegin ? first : third;
    const failed = claim === undefined || errorStateOf(claim) !== undefined || main === undefined;
    if (failed) return this.claimFailed(lease, claim);
    if (isBegin) return final(this.work.pinOrRelease(lease, upstream, true, main, undefined));
    if (errorStateOf(main) !== undefined) return this.rollBack(req, lease, main);
    return this.commit(req, lease, upstream, main);
  }

  private async commit(
    req: RunRequest,
    lease: Lease,
    upstream: UpstreamId,
    main: AnswerSegment,
  ): Promise<Attempt> {
    const id = req.marks.requestId;
    if (id === undefined) return final(refusal(RefusalReason.BadMarks));
    const closing = planQueries([recordSql(id, main), 'COMMIT']);
    const plan = planExchange(closing.payload, { before: false, after: true });
    const answer = await this.work.exchange(req, lease, plan.payload, closing.segments + 1);
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
    return this.confirm(req, idle, reportOf(upstream, after));
  }

  /** Returns the recorded answer of an id that ran before, once its commit is confirmed. */
  private async replayAnswer(
    req: RunRequest,
    lease: Lease,
    upstream: UpstreamId,
  ): Promise<Attempt> {
    const id = req.marks.requestId;
    if (id === undefined) return final(refusal(RefusalReason.BadMarks));
    const queries = planQueries(['ROLLBACK', lookupSql(id)]);
    const plan = planExchange(queries.payload, { before: false, after: true });
    const answer = await this.work.exchange(req, lease, plan.payload, queries.segments + 1);
    lease.release();
    if (answer.isErr()) return final(refusal(RefusalReason.UpstreamLostReading));
    const [, lookup, after] = answer.value;
    const recorded = recordedAnswer(lookup);
    if (recorded === undefined) return final(refusal(RefusalReason.AlreadyRan));
    const main: AnswerSegment = { messages: [recorded], status: TransactionStatus.Idle };
    return this.confirm(req, main, reportOf(upstream, after));
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
    const answer = await this.work.exchange(req, lease, plan.payload, plan.segments);
    if (answer.isErr()) lease.connection.close();
    lease.release();
    if (errorStateOf(main) === READ_ONLY_STATE) {
      return retry(RetryReason.NotPrimary, refusal(RefusalReason.NotPrimary));
    }
    const idle: AnswerSegment = { messages: main.messages, status: TransactionStatus.Idle };
    return final(answerOf(idle, 0, undefined, false));
  }
}
