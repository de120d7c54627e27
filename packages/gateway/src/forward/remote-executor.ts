/**
 * Forwards the statements and transactions of sessions to another host.
 */
import type { GladespoolError } from '@gladespool/coordination';
import { Access, gladespoolError, RefusalReason, Step } from '@gladespool/coordination';
import type { PeerAddress } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { ForwardOperation, FrameKind } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { PeerCalls } from '../peering/peer-calls.js';
import { mayHaveArrived } from '../peering/peer-calls.js';
import type { BeginJob, Job, OpenTransaction, StatementJob, StepJob } from '../home/job.js';
import type { Outcome } from '../model/outcome.js';
import { refused } from '../model/outcome.js';
import { accessOf } from '../model/statement.js';
import { decodeOutcome, encodeTimes, encodeWork } from './forward-frames.js';

type ForwardReply = FrameOf<FrameKind.ForwardReply>;
type RequestFields = Omit<FrameOf<FrameKind.ForwardRequest>, 'kind' | 'id'>;

/** Added to a statement's remaining time for the timeout of the forwarded request, milliseconds. */
const SLACK_MS = 50;
/**
 * Timeout for opening a link to the other host, milliseconds: a link takes three round trips, and an unreachable
 * host must not use up the time of a statement that another host could run.
 */
const LINK_TIMEOUT_MS = 400;

/** Executor that runs all work on one other host. */
export class RemoteExecutor {
  constructor(
    private readonly calls: Pick<PeerCalls, 'request' | 'notify'>,
    private readonly peer: PeerAddress,
  ) {}

  /** Runs a single statement. A write whose reply is lost may have run. */
  async run(job: StatementJob): Promise<Outcome> {
    const fields = {
      ...requestFieldsOf(ForwardOperation.Run, job, performance.now()),
      work: encodeWork(job.work),
    };
    const reply = await this.request(fields, remainingMs(job));
    if (reply.isOk()) return decodeOutcome(reply.value.outcome) ?? refused(RefusalReason.PeerLost);
    if (!mayHaveArrived(reply.error)) return refused(RefusalReason.PeerUnreachable);
    const isRead = accessOf(job.work) === Access.Read;
    return refused(isRead ? RefusalReason.UpstreamLostReading : RefusalReason.PeerLost);
  }

  async begin(job: BeginJob): Promise<Result<OpenTransaction, Outcome>> {
    const fields = {
      ...requestFieldsOf(ForwardOperation.Begin, job, performance.now()),
      readOnly: job.readOnly,
      ...(job.first && { work: encodeWork(job.first) }),
    };
    const reply = await this.request(fields, remainingMs(job));
    if (reply.isErr()) return err(refused(RefusalReason.PeerUnreachable));
    const { transaction } = reply.value;
    const outcome = decodeOutcome(reply.value.outcome);
    if (transaction === 0) return err(outcome ?? refused(RefusalReason.PeerLost));
    return ok(new RemoteTransaction(this, job, transaction, outcome));
  }

  /** Sends one request to the other host. */
  async request(
    fields: RequestFields,
    timeoutMs: number,
  ): Promise<Result<ForwardReply, GladespoolError>> {
    const build = (id: number) => ({ kind: FrameKind.ForwardRequest, id, ...fields }) as const;
    const answer = await this.calls.request(this.peer, build, timeoutMs + SLACK_MS, {
      linkTimeoutMs: LINK_TIMEOUT_MS,
    });
    return answer.andThen((frame) => this.expectReply(frame));
  }

  private expectReply(frame: Frame): Result<ForwardReply, GladespoolError> {
    if (frame.kind === FrameKind.ForwardReply) return ok(frame);
    const context = { step: Step.PeerExchange, peer: this.peer.host };
    return err(gladespoolError(context, `unexpected reply ${frame.kind}`));
  }

  /** Requests the rollback of a transaction, without waiting for it. */
  rollBack(transaction: number): void {
    void this.calls.notify(this.peer, { kind: FrameKind.ForwardRollback, transaction });
  }
}

/** A transaction that is open on another host. */
class RemoteTransaction implements OpenTransaction {
  readonly first?: Outcome;
  private isEnded = false;
  private hasWritten: boolean;

  constructor(
    private readonly executor: RemoteExecutor,
    private readonly begin: BeginJob,
    private readonly handle: number,
    first: Outcome | undefined,
  ) {
    this.hasWritten = begin.first !== undefined && accessOf(begin.first) === Access.Write;
    if (first !== undefined) this.first = first;
  }

  async run(step: StepJob): Promise<Outcome> {
    if (accessOf(step.work) === Access.Write) this.hasWritten = true;
    const fields = this.fields(ForwardOperation.Step, step.id, step);
    const request = { ...fields, work: encodeWork(step.work) };
    const reply = await this.executor.request(request, this.begin.route.timeoutMs);
    const decoded = reply.isOk() ? decodeOutcome(reply.value.outcome) : undefined;
    const outcome = decoded ?? refused(RefusalReason.TransactionLost, 'host was lost');
    if (outcome.kind !== 'completed') this.rollback();
    return outcome;
  }

  async commit(id: string, arrivedAt: number): Promise<Outcome> {
    if (this.isEnded) return refused(RefusalReason.TransactionLost);
    this.isEnded = true;
    const fields = this.fields(ForwardOperation.Commit, id, { values: new Map(), arrivedAt });
    const reply = await this.executor.request(fields, this.begin.route.timeoutMs);
    const outcome = reply.isOk() ? decodeOutcome(reply.value.outcome) : undefined;
    if (outcome !== undefined) return outcome;
    const isCertain = !this.hasWritten || (reply.isErr() && !mayHaveArrived(reply.error));
    return refused(isCertain ? RefusalReason.TransactionLost : RefusalReason.PeerLost);
  }

  rollback(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.executor.rollBack(this.handle);
  }

  private fields(
    operation: ForwardOperation,
    request: string,
    job: Pick<Job, 'values' | 'arrivedAt'>,
  ): RequestFields {
    return {
      operation,
      request,
      transaction: this.handle,
      readOnly: this.begin.readOnly,
      ...encodeTimes(job, performance.now()),
    };
  }
}

function requestFieldsOf(operation: ForwardOperation, job: Job, now: number): RequestFields {
  const fields = {
    operation,
    request: job.id,
    transaction: 0,
    route: job.route,
    readOnly: false,
    ...encodeTimes(job, now),
  };
  const { own, workspace, regions } = job;
  return {
    ...fields,
    ...(own && { own }),
    ...(workspace && { workspace }),
    ...(regions && { regions }),
  };
}

function remainingMs(job: Job): number {
  return Math.max(1, job.arrivedAt + job.route.timeoutMs - performance.now());
}
