/**
 * A request that an entry sends to a home, and its outcome.
 */
import type { GroupId, Position, Refusal, RequestMarks } from '@gladespool/coordination';
import type { RunIntent, TransactionStatus } from '@gladespool/protocol';

/** A request of a caller to one group. */
export interface RunRequest {
  readonly group: GroupId;
  readonly intent: RunIntent;
  /** Handle of the open transaction that the request continues; 0 for none. */
  readonly transaction: number;
  /** Protocol messages; the last one, and no other, is a Query or Sync. */
  readonly messages: Buffer;
  /** Latest position of the group that the session has seen; a read must cover it. */
  readonly floor: Position;
  /** Whether the session's position is unknown, so that only the primary may serve reads. */
  readonly barrier: boolean;
  readonly marks: RequestMarks;
  /** When the request reached the home, local milliseconds. */
  readonly arrivedAt: number;
  /** Deadline of the request, local milliseconds. */
  readonly deadlineAt: number;
  /** Aborted when the caller cancels the request. */
  readonly cancel: AbortSignal;
}

/** An answer for the caller. */
export interface RunAnswer {
  readonly kind: 'answer';
  /** Messages without the closing ReadyForQuery. */
  readonly bytes: Buffer;
  readonly status: TransactionStatus;
  /** Handle of the transaction left open; 0 for none. */
  readonly transaction: number;
  /** Position that the session has now seen; undefined if the request does not advance it. */
  readonly position: Position | undefined;
  /** Whether a replica served the request. */
  readonly replica: boolean;
}

/** A refusal of a request. */
export interface RunRefusal {
  readonly kind: 'refusal';
  readonly refusal: Refusal;
}

/** Outcome of a request. */
export type RunOutcome = RunAnswer | RunRefusal;

/** Runs requests: implemented by homes in this process and by clients of homes on other hosts. */
export interface RequestRunner {
  run(req: RunRequest): Promise<RunOutcome>;
}
