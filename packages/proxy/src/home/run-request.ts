/**
 * A request as an entry hands it to a home, and the home's answer.
 */
import type { GroupId, Position, Refusal, RequestMarks } from '@gladespool/coordination';
import type { RunIntent, TransactionStatus } from '@gladespool/protocol';

/** A request. */
export interface RunRequest {
  readonly group: GroupId;
  readonly intent: RunIntent;
  /** Open transaction that it continues; 0 for none. */
  readonly transaction: number;
  /** Protocol messages, ending in exactly one Query or Sync. */
  readonly messages: Buffer;
  /** What the session has seen of the group. */
  readonly floor: Position;
  /** Whether only the primary can prove freshness. */
  readonly barrier: boolean;
  readonly marks: RequestMarks;
  /** When the request reached the home, local milliseconds. */
  readonly arrivedAt: number;
  /** When the caller stops waiting, local milliseconds. */
  readonly deadlineAt: number;
  /** Aborts when the caller cancels. */
  readonly cancel: AbortSignal;
}

/** An answer to pass on to the caller. */
export interface RunAnswer {
  readonly kind: 'answer';
  /** Messages without the closing ReadyForQuery. */
  readonly bytes: Buffer;
  readonly status: TransactionStatus;
  /** Handle of the transaction left open; 0 for none. */
  readonly transaction: number;
  /** What the session has seen now; undefined when it saw nothing new. */
  readonly position: Position | undefined;
  /** Whether a replica served it. */
  readonly replica: boolean;
}

/** A refusal, with the transaction state that it leaves. */
export interface RunRefusal {
  readonly kind: 'refusal';
  readonly refusal: Refusal;
}

/** Outcome of a request. */
export type RunOutcome = RunAnswer | RunRefusal;

/** Runs requests; a home in this process or one behind a link. */
export interface RequestRunner {
  run(req: RunRequest): Promise<RunOutcome>;
}
