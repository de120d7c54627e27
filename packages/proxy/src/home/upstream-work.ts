/**
 * Shared by the request flows of a home: results of attempts, and operations on upstream connections.
 */
import type {
  GroupRecord,
  GroupSpec,
  Position,
  Priority,
  RefusalReason as Reason,
  RetryReason,
  UpstreamId,
  UpstreamReport,
} from '@gladespool/coordination';
import { GroupPhase, RefusalReason, refuse, UpstreamState } from '@gladespool/coordination';
import { BackendType, RunIntent } from '@gladespool/protocol';
import type { AnswerSegment, Lease } from '@gladespool/upstreams';
import { isIdle } from '@gladespool/upstreams';
import { planExchange, reportOf } from './exchange-plan.js';
import type { GroupHome } from './group-home.js';
import type { RunAnswer, RunOutcome, RunRefusal, RunRequest } from './run-request.js';

/** SQLSTATE with which an upstream that is read-only rejects a write (read_only_sql_transaction). */
export const READ_ONLY_STATE = '25006';
/** Lower bound of waits and time limits, milliseconds. */
export const SHORTEST_WAIT_MS = 1;

/** Result of one attempt: a final outcome, or a reason to retry. */
export type Attempt =
  | { readonly kind: 'final'; readonly outcome: RunOutcome }
  | { readonly kind: 'retry'; readonly reason: RetryReason; readonly last: RunRefusal };

/** State of a group by which a request is routed: its spec from the bundle, and its record. */
export interface GroupSnapshot {
  readonly spec: GroupSpec;
  readonly record: GroupRecord;
}

/** Operations on the upstream connections of one home. */
export class UpstreamWork {
  constructor(private readonly home: GroupHome) {}

  /** Returns spec and record of the group; undefined while either is unknown. */
  snapshot(): GroupSnapshot | undefined {
    const { spec, record } = this.home;
    return spec === undefined || record === undefined ? undefined : { spec, record };
  }

  /**
   * Leases a connection to an upstream, at most until the deadline of the request. Refuses if the
   * upstream may no longer be used once the connection is there.
   */
  async lease(
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
    const reason = req.cancel.aborted ? RefusalReason.Canceled : this.exclusionOf(req, id);
    if (reason === undefined) return { kind: 'lease', value: leased.value };
    leased.value.release();
    return refusal(reason);
  }

  /**
   * Returns why new work may not go to an upstream; undefined if it may. A primary that leaves is
   * used until it has been handed over.
   */
  private exclusionOf(req: RunRequest, id: UpstreamId): Reason | undefined {
    const { spec, record } = this.home;
    const isPrimary = record?.primary === id;
    if (isRead(req)) {
      const state = spec?.upstreams.find((upstream) => upstream.id === id)?.state;
      const isUsable = isPrimary || state === UpstreamState.Active;
      return isUsable ? undefined : RefusalReason.UpstreamLeaving;
    }
    const isServing = isPrimary && record.phase === GroupPhase.Serving;
    return isServing ? undefined : RefusalReason.NotPrimary;
  }

  /** Sends messages and awaits the answer; a cancellation by the caller is forwarded to the upstream. */
  async exchange(
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

  /** Queries the status of the upstream on the leased connection itself. */
  async queryStatus(
    req: RunRequest,
    lease: Lease,
    upstream: UpstreamId,
  ): Promise<UpstreamReport | undefined> {
    const plan = planExchange(Buffer.alloc(0), { before: false, after: true });
    const answer = await this.exchange(req, lease, plan.payload, 1);
    return answer.isOk() ? reportOf(upstream, answer.value[0]) : undefined;
  }

  /** Pins the connection if the answer leaves a transaction open; releases it otherwise. */
  pinOrRelease(
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
}

function isRead(req: RunRequest): boolean {
  return req.intent === RunIntent.Read || req.intent === RunIntent.BeginReadOnly;
}

/** Whether a segment reports that the transaction was rolled back. */
export function isRolledBack(segment: AnswerSegment): boolean {
  return segment.messages.some(
    (message) =>
      message[0] === BackendType.CommandComplete &&
      message.toString('utf8', 5, message.length - 1) === 'ROLLBACK',
  );
}

/** Builds an answer from one segment. */
export function answerOf(
  main: AnswerSegment,
  transaction: number,
  position: Position | undefined,
  replica: boolean,
): RunAnswer {
  const bytes = Buffer.concat(main.messages);
  return { kind: 'answer', bytes, status: main.status, transaction, position, replica };
}

/** Builds the outcome of a refused request. */
export function refusal(reason: Reason, detail = ''): RunRefusal {
  return { kind: 'refusal', refusal: refuse(reason, detail) };
}

/** Builds an attempt that must not be retried. */
export function final(outcome: RunOutcome): Attempt {
  return { kind: 'final', outcome };
}

/** Builds an attempt that may be retried; `last` is the outcome if it is not. */
export function retry(reason: RetryReason, last: RunRefusal): Attempt {
  return { kind: 'retry', reason, last };
}
