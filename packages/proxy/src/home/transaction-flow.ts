/**
 * Runs the requests of open transactions on their pinned connections, up to commit or rollback.
 */
import type { UpstreamReport } from '@gladespool/coordination';
import { AckDecision, RefusalReason } from '@gladespool/coordination';
import { RunIntent } from '@gladespool/protocol';
import type { AnswerSegment } from '@gladespool/upstreams';
import { errorStateOf, isIdle } from '@gladespool/upstreams';
import { planExchange, reportOf } from './exchange-plan.js';
import type { GroupHome } from './group-home.js';
import type { OpenTransaction } from './open-transactions.js';
import type { RunOutcome, RunRequest } from './run-request.js';
import type { UpstreamWork } from './upstream-work.js';
import { answerOf, isRolledBack, refusal } from './upstream-work.js';

/** Runs requests in the open transactions of one home. */
export class TransactionFlow {
  constructor(
    private readonly home: GroupHome,
    private readonly work: UpstreamWork,
  ) {}

  /** Runs one request of an open transaction. */
  async run(req: RunRequest): Promise<RunOutcome> {
    const open = this.home.transactions.get(req.transaction);
    if (req.cancel.aborted) return refusal(RefusalReason.Canceled);
    if (open === undefined) return refusal(RefusalReason.TransactionLost);
    const isEnd = req.intent === RunIntent.End;
    const plan = planExchange(req.messages, { before: false, after: isEnd });
    const answer = await this.work.exchange(req, open.lease, plan.payload, plan.segments);
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
    const report = after ?? (await this.work.queryStatus(req, open.lease, open.upstream));
    this.home.transactions.unpin(open.handle);
    if (isRolledBack(main) || errorStateOf(main) !== undefined) {
      return answerOf(main, 0, undefined, !open.onPrimary);
    }
    if (report === undefined) return refusal(RefusalReason.OutcomeUnknown);
    const position = open.onPrimary ? report.received : report.applied;
    const verdict = await this.home.acknowledger.confirm(position, req.deadlineAt);
    if (verdict === AckDecision.Confirmed) return answerOf(main, 0, position, !open.onPrimary);
    if (!open.onPrimary) return refusal(RefusalReason.ReadNotCovered);
    const superseded = verdict === AckDecision.Superseded;
    return refusal(superseded ? RefusalReason.Superseded : RefusalReason.OutcomeUnknown);
  }
}
