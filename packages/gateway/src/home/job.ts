/**
 * Jobs that sessions submit, and the interface of the executors that run them.
 */
import type { PermittedRegions, SessionPosition, WorkspaceId } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import type { Route } from '../model/catalog.js';
import type { Outcome } from '../model/outcome.js';
import type { Work } from '../model/statement.js';
import type { SessionValues } from './prepared-connection.js';

/** What a single statement and the begin of a transaction have in common. */
export interface Job {
  readonly route: Route;
  /** Workspace that the caller acts for; undefined where no API key is required. */
  readonly workspace: WorkspaceId | undefined;
  /** Regions in which the data may be stored; missing if it may be in any region. */
  readonly regions?: PermittedRegions;
  /** Statement id assigned by the caller. */
  readonly id: string;
  readonly values: SessionValues;
  /** Position of the session's own latest commit. */
  readonly own: SessionPosition | undefined;
  /** Local time at which the statement or its transaction began, milliseconds. */
  readonly beganAt: number;
  /** Local time at which the statement arrived, milliseconds. */
  readonly arrivedAt: number;
}

/** A single statement outside a transaction. */
export interface StatementJob extends Job {
  readonly work: Work;
}

/** The begin of a transaction. */
export interface BeginJob extends Job {
  readonly readOnly: boolean;
  /** First statement; a remote host runs it together with the begin, which saves a round trip. */
  readonly first?: Work;
}

/** One statement inside a transaction. */
export interface StepJob {
  readonly id: string;
  readonly work: Work;
  readonly values: SessionValues;
  readonly arrivedAt: number;
}

/** An open transaction, pinned to one upstream connection. */
export interface OpenTransaction {
  /** Outcome of the first statement, if it was run together with the begin. */
  readonly first?: Outcome;
  /** Runs one statement; any outcome other than `completed` ends the transaction. */
  run(step: StepJob): Promise<Outcome>;
  commit(id: string, arrivedAt: number): Promise<Outcome>;
  rollback(): void;
}

/** Runs the statements and transactions of sessions. */
export interface Executor {
  run(job: StatementJob): Promise<Outcome>;
  begin(job: BeginJob): Promise<Result<OpenTransaction, Outcome>>;
}
