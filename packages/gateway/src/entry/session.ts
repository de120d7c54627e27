/**
 * One caller's session: its session values, prepared statements, open transaction, and the positions of its own
 * commits. Statements are handled one at a time; the wire protocol is implemented by a codec.
 */
import type {
  GroupId,
  KeyHash,
  KeyRules,
  PermittedRegions,
  SessionPosition,
  Workspace,
} from '@gladespool/coordination';
import {
  Access,
  admit,
  hashKey,
  areKeysValid,
  permittedRegions,
  ExecutionStatus,
  executionStatusOf,
  RefusalReason,
} from '@gladespool/coordination';
import { TimeLimit } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { GatewayBoard } from '../knowledge/board.js';
import type { Executor, Job, OpenTransaction } from '../home/job.js';
import type { OperationLimits } from '../limits/operation-limits.js';
import type { Route } from '../model/catalog.js';
import type { Outcome } from '../model/outcome.js';
import { DONE, NOT_RUN_FAULTS, refused } from '../model/outcome.js';
import type { PreparedStatement, Statement, Work } from '../model/statement.js';
import { accessOf, StatementKind } from '../model/statement.js';
import type { RequestRecorder } from './request-recorder.js';

/** Transaction state as reported to the caller. */
export enum SessionState {
  Idle = 'idle',
  Open = 'open',
  /** The transaction has failed; only its commit or rollback is accepted. */
  Failed = 'failed',
}

/** Answer to one statement. */
export interface SessionAnswer {
  readonly outcome: Outcome;
  readonly state: SessionState;
}

/** Dependencies and settings that all sessions of a host share. */
export interface SessionContext {
  readonly board: GatewayBoard;
  readonly executor: Executor;
  readonly limits: OperationLimits;
  readonly keys: KeyRules;
  readonly recorder: RequestRecorder;
}

/** Route, workspace and permitted regions of an operation, by the configuration in force when it began. */
interface OperationScope {
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  /** Regions in which its data may be stored. */
  readonly regions: PermittedRegions;
}

/** A transaction after the caller's BEGIN; it is opened on an upstream with its first statement. */
interface SessionTransaction {
  readonly readOnly: boolean;
  readonly beganAt: number;
  readonly place: OperationScope;
  pinned: OpenTransaction | undefined;
  hasWritten: boolean;
  failed: boolean;
  /** Why this host ended the transaction while it was idle, until the caller has been told. */
  pendingRefusal: Outcome | undefined;
}

/** Maximum number of session values, and of prepared statements, of a session; more indicate a faulty caller. */
const MAX_NAMES = 1000;
/** Idle timeout of transactions before a configuration is known, milliseconds. */
const DEFAULT_IDLE_MS = 3000;

export class Session {
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedStatement>();
  private readonly ownCommits = new Map<GroupId, SessionPosition>();
  /** Groups whose latest own commit was confirmed without a position. */
  private readonly commitsWithoutPosition = new Set<GroupId>();
  private transaction: SessionTransaction | undefined;
  private idleLimit: TimeLimit | undefined;
  private closed = false;

  private readonly key: KeyHash;

  /** @param key identity that the caller gave in its start message; its API key, where keys are required */
  constructor(
    private readonly database: string,
    key: string,
    private readonly context: SessionContext,
  ) {
    this.key = hashKey(key);
  }

  /** Reason for which an operation of this session would be refused at `now`; undefined if it would be accepted. */
  refusalAt(now: number): RefusalReason | undefined {
    const scope = this.scopeAt(now);
    return scope.isErr() ? scope.error : undefined;
  }

  /** Transaction state as reported to the caller. */
  get state(): SessionState {
    if (this.transaction === undefined) return SessionState.Idle;
    return this.transaction.failed ? SessionState.Failed : SessionState.Open;
  }

  /** Handles one statement that arrived at `now`. */
  async handle(id: string, statement: Statement, now: number): Promise<SessionAnswer> {
    this.idleLimit?.clear();
    const outcome = await this.dispatch(id, statement, now);
    this.context.recorder.recordOutcome({
      id,
      database: this.database,
      statement,
      outcome,
      arrivedAt: now,
    });
    if (this.closed) this.close();
    else this.startIdleLimit();
    return { outcome, state: this.state };
  }

  /** Closes the session; an open transaction is rolled back. */
  close(): void {
    this.closed = true;
    this.idleLimit?.clear();
    this.transaction?.pinned?.rollback();
    this.transaction = undefined;
  }

  private async dispatch(id: string, statement: Statement, now: number): Promise<Outcome> {
    if (this.transaction?.failed === true) {
      return this.handleAfterFailure(statement, this.transaction);
    }
    switch (statement.kind) {
      case StatementKind.Begin:
        return this.begin(statement.readOnly, now);
      case StatementKind.Commit:
        return this.commit(id, now);
      case StatementKind.Rollback:
        return this.rollback();
      case StatementKind.SetValue:
        return this.store(this.values, statement.name, statement.value);
      case StatementKind.Prepare:
        return this.store(this.prepared, statement.name, statement.prepared);
      case StatementKind.Deallocate:
        return this.deallocate(statement.name);
      default:
        return this.runWork(id, statement, now);
    }
  }

  private async runWork(
    id: string,
    statement: Extract<Statement, { kind: StatementKind.Run | StatementKind.Execute }>,
    now: number,
  ): Promise<Outcome> {
    const work = this.workOf(statement);
    if (work === undefined) return this.fail(refused(RefusalReason.UnknownStatement));
    if (this.transaction !== undefined) return this.runInTransaction(id, work, now);
    const admitted = await this.admitOperation(now);
    if (admitted.isErr()) return admitted.error;
    const scope = admitted.value;
    const times = { beganAt: now, arrivedAt: now };
    const job = { ...this.jobFields(scope), id, work, ...times };
    const outcome = await this.context.executor.run(job);
    if (!mayHaveRun(outcome)) this.refund(scope);
    this.recordCommit(scope.route.group, outcome, accessOf(work) === Access.Write);
    return outcome;
  }

  private async runInTransaction(id: string, work: Work, now: number): Promise<Outcome> {
    const isFirst = this.transaction?.pinned === undefined;
    const opened = await this.pinTransaction(id, now, work);
    if (opened.kind === 'failed') return this.fail(opened.outcome);
    const { pinned } = opened;
    if (accessOf(work) === Access.Write) this.noteWrite();
    const step = { id, work, values: this.values, arrivedAt: now };
    const outcome = (isFirst ? pinned.first : undefined) ?? (await pinned.run(step));
    return outcome.kind === 'completed' ? outcome : this.fail(outcome);
  }

  private async commit(id: string, now: number): Promise<Outcome> {
    const { transaction } = this;
    if (transaction === undefined)
      return refused(RefusalReason.SessionMisuse, 'no transaction is open');
    const opened = await this.pinTransaction(id, now);
    this.transaction = undefined;
    if (opened.kind === 'failed') return opened.outcome;
    const outcome = await opened.pinned.commit(id, now);
    this.recordCommit(transaction.place.route.group, outcome, transaction.hasWritten);
    return outcome;
  }

  /** Returns the transaction on its upstream; opens it there on first use. */
  private async pinTransaction(id: string, now: number, first?: Work): Promise<PinResult> {
    const { transaction } = this;
    if (transaction === undefined) return pinFailure(refused(RefusalReason.TransactionLost));
    if (transaction.pinned !== undefined) return { kind: 'pinned', pinned: transaction.pinned };
    const { place, readOnly, beganAt } = transaction;
    const times = { beganAt, arrivedAt: now };
    const job = { ...this.jobFields(place), id, readOnly, ...times, ...(first && { first }) };
    const opened = await this.context.executor.begin(job);
    if (opened.isErr()) {
      this.refund(place);
      return pinFailure(opened.error);
    }
    if (this.closed) {
      opened.value.rollback();
      return pinFailure(refused(RefusalReason.TransactionLost, 'caller left'));
    }
    transaction.pinned = opened.value;
    return { kind: 'pinned', pinned: opened.value };
  }

  private async begin(readOnly: boolean, now: number): Promise<Outcome> {
    if (this.transaction !== undefined) {
      return this.fail(refused(RefusalReason.SessionMisuse, 'a transaction is open already'));
    }
    const admitted = await this.admitOperation(now);
    if (admitted.isErr()) return admitted.error;
    this.transaction = {
      readOnly,
      beganAt: now,
      place: admitted.value,
      pinned: undefined,
      hasWritten: false,
      failed: false,
      pendingRefusal: undefined,
    };
    return DONE;
  }

  /** Route, workspace and regions of an operation that begins at `now`, or the reason for its refusal. */
  private scopeAt(now: number): Result<OperationScope, RefusalReason> {
    const { board, keys } = this.context;
    const route = board.route(this.database);
    if (route === undefined) return err(RefusalReason.UnknownGroup);
    const admission = admit(route.isPublic, board.catalog?.keys, this.key);
    switch (admission.kind) {
      case 'unknown-key':
        return err(RefusalReason.UnknownKey);
      case 'open':
        return scopeOf(route, undefined);
      case 'workspace':
        if (!areKeysValid(board.catalogConfirmedAt, now, keys)) {
          return err(RefusalReason.KeysUnconfirmed);
        }
        return scopeOf(route, admission.workspace);
    }
  }

  /** Admits an operation that begins at `now` within the workspace's rate limit, or refuses it. */
  private async admitOperation(now: number): Promise<Result<OperationScope, Outcome>> {
    const scope = this.scopeAt(now);
    if (scope.isErr()) return err(refused(scope.error, this.database));
    const { workspace } = scope.value;
    const refusal = workspace && (await this.context.limits.admit(workspace, now));
    return refusal === undefined ? ok(scope.value) : err({ kind: 'refused', refusal });
  }

  /** Refunds an operation of which nothing ran. */
  private refund({ workspace }: OperationScope): void {
    if (workspace !== undefined) this.context.limits.refund(workspace, performance.now());
  }

  /** Fields that all jobs of an operation have in common. */
  private jobFields({
    route,
    workspace,
    regions,
  }: OperationScope): Omit<Job, 'id' | 'beganAt' | 'arrivedAt'> {
    const own = this.ownCommits.get(route.group);
    const covering = this.coveringOwnCommits(route);
    const job = { route: covering, workspace: workspace?.id, values: this.values, own };
    return regions === undefined ? job : { ...job, regions };
  }

  /** The route on which reads show the session's commits; only the primary does if the position of one is unknown. */
  private coveringOwnCommits(route: Route): Route {
    return this.commitsWithoutPosition.has(route.group) ? { ...route, maxStalenessMs: 0 } : route;
  }

  private rollback(): Outcome {
    if (this.transaction === undefined) {
      return refused(RefusalReason.SessionMisuse, 'no transaction is open');
    }
    const { place, pinned } = this.transaction;
    if (pinned === undefined) this.refund(place);
    pinned?.rollback();
    this.transaction = undefined;
    return DONE;
  }

  /**
   * Handles a statement in a failed transaction, which was rolled back when it failed: accepts only its end. The first
   * statement after an idle timeout is told of it, since the caller still took the transaction for open.
   */
  private handleAfterFailure(statement: Statement, transaction: SessionTransaction): Outcome {
    const { pendingRefusal } = transaction;
    transaction.pendingRefusal = undefined;
    if (statement.kind === StatementKind.Rollback) {
      this.transaction = undefined;
      return DONE;
    }
    if (statement.kind === StatementKind.Commit) {
      this.transaction = undefined;
      return pendingRefusal ?? refused(RefusalReason.TransactionLost, 'rolled back');
    }
    return pendingRefusal ?? refused(RefusalReason.SessionMisuse, 'transaction has failed');
  }

  private workOf(
    statement: Extract<Statement, { kind: StatementKind.Run | StatementKind.Execute }>,
  ): Work | undefined {
    if (statement.kind === StatementKind.Run) {
      return { kind: 'text', access: statement.access, text: statement.text };
    }
    const prepared = this.prepared.get(statement.name);
    if (prepared === undefined) return undefined;
    return { kind: 'prepared', prepared, args: statement.args };
  }

  private store<Value>(names: Map<string, Value>, name: string, value: Value): Outcome {
    if (names.size >= MAX_NAMES && !names.has(name)) {
      return this.fail(refused(RefusalReason.SessionMisuse, 'too many names'));
    }
    names.set(name, value);
    return DONE;
  }

  private deallocate(name: string): Outcome {
    if (this.prepared.delete(name)) return DONE;
    return this.fail(refused(RefusalReason.UnknownStatement, name));
  }

  /** Fails the open transaction, if any, and rolls it back at once. */
  private fail(outcome: Outcome): Outcome {
    if (this.transaction === undefined) return outcome;
    this.transaction.pinned?.rollback();
    this.transaction.pinned = undefined;
    this.transaction.failed = true;
    return outcome;
  }

  private noteWrite(): void {
    if (this.transaction !== undefined) this.transaction.hasWritten = true;
  }

  /** Records the commit of an operation that `hasWritten`, if it was confirmed. */
  private recordCommit(group: GroupId, outcome: Outcome, hasWritten: boolean): void {
    if (outcome.kind !== 'completed') return;
    const { committed } = outcome;
    if (committed !== undefined) {
      this.ownCommits.set(group, committed);
      // Its log contains the commits before it.
      this.commitsWithoutPosition.delete(group);
    } else if (hasWritten) {
      this.commitsWithoutPosition.add(group);
    }
  }

  private startIdleLimit(): void {
    const { transaction } = this;
    if (transaction?.pinned === undefined) return;
    const idleMs = this.context.board.catalog?.transactionIdleMs ?? DEFAULT_IDLE_MS;
    this.idleLimit = new TimeLimit(idleMs, () => {
      transaction.pendingRefusal = this.fail(refused(RefusalReason.TransactionIdle));
      this.context.recorder.recordIdleTimeout(this.database, idleMs);
    });
  }
}

/** A transaction that is open on an upstream, or the outcome if it could not be opened. */
type PinResult =
  | { readonly kind: 'pinned'; readonly pinned: OpenTransaction }
  | { readonly kind: 'failed'; readonly outcome: Outcome };

/** Whether a single statement may have run on an upstream. A lost read changed nothing, but may have run. */
function mayHaveRun(outcome: Outcome): boolean {
  switch (outcome.kind) {
    case 'completed':
      return true;
    case 'faulted':
      return !NOT_RUN_FAULTS.has(outcome.fault);
    case 'refused':
      if (outcome.refusal.reason === RefusalReason.UpstreamLostReading) return true;
      return executionStatusOf(outcome.refusal) !== ExecutionStatus.No;
  }
}

/** Determines the permitted regions of an operation; refuses it if there are none. */
function scopeOf(
  route: Route,
  workspace: Workspace | undefined,
): Result<OperationScope, RefusalReason> {
  const regions = permittedRegions(route.regions, workspace?.regions);
  if (regions?.length === 0) return err(RefusalReason.NoPermittedRegion);
  return ok({ route, workspace, regions });
}

function pinFailure(outcome: Outcome): PinResult {
  return { kind: 'failed', outcome };
}
