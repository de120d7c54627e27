/**
 * What the flows of a home share: outcomes of tries, and the work on one upstream connection.
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
import { RefusalReason, refuse } from '@gladespool/coordination';
import { BackendType } from '@gladespool/protocol';
import type { AnswerSegment, Lease } from '@gladespool/upstreams';
import { isIdle } from '@gladespool/upstreams';
import { planExchange, reportOf } from './exchange-plan.js';
import type { GroupHome } from './group-home.js';
import type { RunAnswer, RunOutcome, RunRefusal, RunRequest } from './run-request.js';

/** SQLSTATE of an upstream that may not write. */
export const READ_ONLY_STATE = '25006';
/** Shortest time for which anything is waited for, milliseconds. */
export const SHORTEST_WAIT_MS = 1;

/** Outcome of one try: final, or to be tried again for a reason. */
export type Attempt =
  | { readonly kind: 'final'; readonly outcome: RunOutcome }
  | { readonly kind: 'retry'; readonly reason: RetryReason; readonly last: RunRefusal };

/** What a request is decided on: the group as the bundle has it, and its record. */
export interface Ground {
  readonly spec: GroupSpec;
  readonly record: GroupRecord;
}

/** Work on the connections of one home. */
export class UpstreamWork {
  constructor(private readonly home: GroupHome) {}

  /** Spec and record of the group; undefined while one is not known. */
  ground(): Ground | undefined {
    const { spec, record } = this.home;
    return spec === undefined || record === undefined ? undefined : { spec, record };
  }

  /** Borrows a connection to an upstream within the request's time. */
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
    if (!req.cancel.aborted) return { kind: 'lease', value: leased.value };
    leased.value.release();
    return refusal(RefusalReason.Canceled);
  }

  /** Exchanges messages; a cancel by the caller is passed on. */
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

  /** Asks for the position on the connection itself. */
  async positionOn(
    req: RunRequest,
    lease: Lease,
    upstream: UpstreamId,
  ): Promise<UpstreamReport | undefined> {
    const plan = planExchange(Buffer.alloc(0), { before: false, after: true });
    const answer = await this.exchange(req, lease, plan.payload, 1);
    return answer.isOk() ? reportOf(upstream, answer.value[0]) : undefined;
  }

  /** Keeps the connection for a transaction that was left open. */
  pinned(
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

/** Whether a segment tells that the transaction was rolled back. */
export function isRolledBack(segment: AnswerSegment): boolean {
  return segment.messages.some(
    (message) =>
      message[0] === BackendType.CommandComplete &&
      message.toString('utf8', 5, message.length - 1) === 'ROLLBACK',
  );
}

/** An answer made of one segment. */
export function answerOf(
  main: AnswerSegment,
  transaction: number,
  position: Position | undefined,
  replica: boolean,
): RunAnswer {
  const bytes = Buffer.concat(main.messages);
  return { kind: 'answer', bytes, status: main.status, transaction, position, replica };
}

/** A refusal as an outcome. */
export function refusal(reason: Reason, detail = ''): RunRefusal {
  return { kind: 'refusal', refusal: refuse(reason, detail) };
}

/** An outcome that no further try can change. */
export function final(outcome: RunOutcome): Attempt {
  return { kind: 'final', outcome };
}

/** A try that another may follow; `last` is told when none does. */
export function retry(reason: RetryReason, last: RunRefusal): Attempt {
  return { kind: 'retry', reason, last };
}
