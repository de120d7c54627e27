/**
 * What a session hands to a home, and what it gets back.
 */
import type { PermittedRegions, SessionPosition, WorkspaceId } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import type { Route } from '../model/catalog.js';
import type { Outcome } from '../model/outcome.js';
import type { Work } from '../model/statement.js';
import type { SessionValues } from './prepared-connection.js';

/** One single statement, or the begin of a transaction. */
export interface Job {
  readonly route: Route;
  /** Workspace that the caller acts for; undefined where none is asked for. */
  readonly workspace: WorkspaceId | undefined;
  /** Regions that its data may be in; missing where it may be anywhere. */
  readonly regions?: PermittedRegions;
  /** Id that the caller gave the statement. */
  readonly id: string;
  readonly values: SessionValues;
  /** Latest commit of the session itself. */
  readonly own: SessionPosition | undefined;
  /** When the statement or its transaction began, local milliseconds. */
  readonly beganAt: number;
  /** When the statement arrived, local milliseconds. */
  readonly arrivedAt: number;
}

/** A single statement outside a transaction. */
export interface StatementJob extends Job {
  readonly work: Work;
}

/** The begin of a transaction. */
export interface BeginJob extends Job {
  readonly readOnly: boolean;
  /** First statement; a host that is asked to begin runs it along with that, which saves a round trip. */
  readonly first?: Work;
}

/** One statement inside a transaction. */
export interface StepJob {
  readonly id: string;
  readonly work: Work;
  readonly values: SessionValues;
  readonly arrivedAt: number;
}

/** An open transaction, bound to one upstream connection. */
export interface OpenTransaction {
  /** Outcome of the first statement, where that was run with the begin. */
  readonly first?: Outcome;
  /** Runs one statement; after any outcome but `completed` the transaction is over. */
  run(step: StepJob): Promise<Outcome>;
  commit(id: string, arrivedAt: number): Promise<Outcome>;
  rollback(): void;
}

/** Runs the work of sessions. */
export interface Executor {
  run(job: StatementJob): Promise<Outcome>;
  begin(job: BeginJob): Promise<Result<OpenTransaction, Outcome>>;
}
