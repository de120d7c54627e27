/**
 * One caller's session: its values, prepared names, transaction, and what it has seen of its own
 * commits. Statements are handled one after the other; the protocol around it is a codec's matter.
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
  admit,
  hashKey,
  areKeysValid,
  permittedRegions,
  ExecutionStatus,
  executionStatusOf,
  RefusalReason,
} from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { GatewayBoard } from '../knowledge/board.js';
import type { Executor, Job, OpenTransaction } from '../home/job.js';
import type { OperationLimits } from '../limits/operation-limits.js';
import type { Route } from '../model/catalog.js';
import type { Outcome } from '../model/outcome.js';
import { DONE, NOT_RUN_FAULTS, refused } from '../model/outcome.js';
import type { PreparedStatement, Statement, Work } from '../model/statement.js';
import { StatementKind } from '../model/statement.js';
import type { RequestRecorder } from './request-recorder.js';

/** Transaction state as the caller sees it. */
export enum SessionState {
  Idle = 'idle',
  Open = 'open',
  /** The transaction failed; only its end is accepted. */
  Failed = 'failed',
}

/** Answer to one statement. */
export interface SessionAnswer {
  readonly outcome: Outcome;
  readonly state: SessionState;
}

/** What every session of a host shares. */
export interface SessionContext {
  readonly board: GatewayBoard;
  readonly executor: Executor;
  readonly limits: OperationLimits;
  readonly keys: KeyRules;
  readonly recorder: RequestRecorder;
}

/** Where an operation runs and for whom, by the configuration in force when it began. */
interface Place {
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  /** Regions that its data may be in. */
  readonly regions: PermittedRegions;
}

/** A transaction from the caller's BEGIN on; it is opened at an upstream with its first statement. */
interface OpenState {
  readonly readOnly: boolean;
  readonly beganAt: number;
  readonly place: Place;
  pinned: OpenTransaction | undefined;
  failed: boolean;
}

/** Values and prepared names that one session may hold; more is taken for a fault of the caller. */
const MAX_NAMES = 1000;
/** Time for which a transaction may rest before a configuration is known, milliseconds. */
const DEFAULT_IDLE_MS = 3000;

/** Session of one caller. */
export class Session {
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedStatement>();
  private readonly own = new Map<GroupId, SessionPosition>();
  private open: OpenState | undefined;
  private idleTimer: NodeJS.Timeout | undefined;
  private closed = false;

  private readonly key: KeyHash;

  /** @param key what the caller gave at the start to tell who it is */
  constructor(
    private readonly database: string,
    key: string,
    private readonly context: SessionContext,
  ) {
    this.key = hashKey(key);
  }

  /** Why an operation of this session would be refused at `now`; undefined when it would not. */
  refusalAt(now: number): RefusalReason | undefined {
    const place = this.place(now);
    return place.isErr() ? place.error : undefined;
  }

  /** Transaction state as the caller sees it. */
  get state(): SessionState {
    if (this.open === undefined) return SessionState.Idle;
    return this.open.failed ? SessionState.Failed : SessionState.Open;
  }

  /** Handles one statement that arrived at `now`. */
  async handle(id: string, statement: Statement, now: number): Promise<SessionAnswer> {
    clearTimeout(this.idleTimer);
    const outcome = await this.outcomeOf(id, statement, now);
    this.context.recorder.recordOutcome({
      id,
      database: this.database,
      statement,
      outcome,
      arrivedAt: now,
    });
    if (this.closed) this.close();
    else this.watchIdle();
    return { outcome, state: this.state };
  }

  /** Ends the session; an open transaction is rolled back. */
  close(): void {
    this.closed = true;
    clearTimeout(this.idleTimer);
    this.open?.pinned?.rollback();
    this.open = undefined;
  }

  private async outcomeOf(id: string, statement: Statement, now: number): Promise<Outcome> {
    if (this.open?.failed === true) return this.endFailed(statement);
    switch (statement.kind) {
      case StatementKind.Begin:
        return this.begin(statement.readOnly, now);
      case StatementKind.Commit:
        return this.commit(id, now);
      case StatementKind.Rollback:
        return this.rollback();
      case StatementKind.SetValue:
        return this.remember(this.values, statement.name, statement.value);
      case StatementKind.Prepare:
        return this.remember(this.prepared, statement.name, statement.prepared);
      case StatementKind.Deallocate:
        return this.deallocate(statement.name);
      default:
        return this.work(id, statement, now);
    }
  }

  private async work(
    id: string,
    statement: Extract<Statement, { kind: StatementKind.Run | StatementKind.Execute }>,
    now: number,
  ): Promise<Outcome> {
    const work = this.workOf(statement);
    if (work === undefined) return this.fail(refused(RefusalReason.UnknownStatement));
    if (this.open !== undefined) return this.runInside(id, work, now);
    const admitted = await this.admitted(now);
    if (admitted.isErr()) return admitted.error;
    const place = admitted.value;
    const times = { beganAt: now, arrivedAt: now };
    const job = { ...this.jobAt(place), id, work, ...times };
    const outcome = await this.context.executor.run(job);
    if (!mayHaveRun(outcome)) this.giveBack(place);
    this.noteCommit(place.route.group, outcome);
    return outcome;
  }

  private async runInside(id: string, work: Work, now: number): Promise<Outcome> {
    const isFirst = this.open?.pinned === undefined;
    const opened = await this.pin(id, now, work);
    if (opened.kind === 'failed') return this.fail(opened.outcome);
    const { pinned } = opened;
    const step = { id, work, values: this.values, arrivedAt: now };
    const outcome = (isFirst ? pinned.first : undefined) ?? (await pinned.run(step));
    return outcome.kind === 'completed' ? outcome : this.fail(outcome);
  }

  private async commit(id: string, now: number): Promise<Outcome> {
    const { open } = this;
    if (open === undefined) return refused(RefusalReason.SessionMisuse, 'no transaction is open');
    const opened = await this.pin(id, now);
    this.open = undefined;
    if (opened.kind === 'failed') return opened.outcome;
    const outcome = await opened.pinned.commit(id, now);
    this.noteCommit(open.place.route.group, outcome);
    return outcome;
  }

  /** The transaction at an upstream, opened there if it is not yet. */
  private async pin(id: string, now: number, first?: Work): Promise<Pinning> {
    const { open } = this;
    if (open === undefined) return notPinned(refused(RefusalReason.TransactionLost));
    if (open.pinned !== undefined) return { kind: 'pinned', pinned: open.pinned };
    const { place, readOnly, beganAt } = open;
    const times = { beganAt, arrivedAt: now };
    const job = { ...this.jobAt(place), id, readOnly, ...times, ...(first && { first }) };
    const opened = await this.context.executor.begin(job);
    if (opened.isErr()) {
      this.giveBack(place);
      return notPinned(opened.error);
    }
    if (this.closed) {
      opened.value.rollback();
      return notPinned(refused(RefusalReason.TransactionLost, 'caller left'));
    }
    open.pinned = opened.value;
    return { kind: 'pinned', pinned: opened.value };
  }

  private async begin(readOnly: boolean, now: number): Promise<Outcome> {
    if (this.open !== undefined) {
      return this.fail(refused(RefusalReason.SessionMisuse, 'a transaction is open already'));
    }
    const admitted = await this.admitted(now);
    if (admitted.isErr()) return admitted.error;
    const state = { readOnly, beganAt: now, pinned: undefined, failed: false };
    this.open = { ...state, place: admitted.value };
    return DONE;
  }

  /** Where an operation that begins at `now` runs, or why it is refused. */
  private place(now: number): Result<Place, RefusalReason> {
    const { board, keys } = this.context;
    const route = board.route(this.database);
    if (route === undefined) return err(RefusalReason.UnknownGroup);
    const admission = admit(route.isPublic, board.catalog?.keys, this.key);
    switch (admission.kind) {
      case 'unknown-key':
        return err(RefusalReason.UnknownKey);
      case 'open':
        return placeOf(route, undefined);
      case 'workspace':
        if (!areKeysValid(board.catalogConfirmedAt, now, keys)) {
          return err(RefusalReason.KeysUnconfirmed);
        }
        return placeOf(route, admission.workspace);
    }
  }

  /** Admits an operation that begins at `now`: where it runs, or why it is refused. */
  private async admitted(now: number): Promise<Result<Place, Outcome>> {
    const place = this.place(now);
    if (place.isErr()) return err(refused(place.error, this.database));
    const { workspace } = place.value;
    const refusal = workspace && (await this.context.limits.admit(workspace, now));
    return refusal === undefined ? ok(place.value) : err({ kind: 'refused', refusal });
  }

  /** Gives back an operation of which nothing ran. */
  private giveBack({ workspace }: Place): void {
    if (workspace !== undefined) this.context.limits.refund(workspace, performance.now());
  }

  /** What every job at a place has in common. */
  private jobAt({ route, workspace, regions }: Place): Omit<Job, 'id' | 'beganAt' | 'arrivedAt'> {
    const own = this.own.get(route.group);
    const job = { route, workspace: workspace?.id, values: this.values, own };
    return regions === undefined ? job : { ...job, regions };
  }

  private rollback(): Outcome {
    if (this.open === undefined) {
      return refused(RefusalReason.SessionMisuse, 'no transaction is open');
    }
    const { place, pinned } = this.open;
    if (pinned === undefined) this.giveBack(place);
    pinned?.rollback();
    this.open = undefined;
    return DONE;
  }

  /** In a failed transaction only its end is accepted; it was rolled back when it failed. */
  private endFailed(statement: Statement): Outcome {
    if (statement.kind === StatementKind.Rollback) {
      this.open = undefined;
      return DONE;
    }
    if (statement.kind === StatementKind.Commit) {
      this.open = undefined;
      return refused(RefusalReason.TransactionLost, 'rolled back');
    }
    return refused(RefusalReason.SessionMisuse, 'transaction has failed');
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

  private remember<Value>(names: Map<string, Value>, name: string, value: Value): Outcome {
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

  /** An error inside a transaction fails it; what it did is rolled back at once. */
  private fail(outcome: Outcome): Outcome {
    if (this.open === undefined) return outcome;
    this.open.pinned?.rollback();
    this.open.pinned = undefined;
    this.open.failed = true;
    return outcome;
  }

  private noteCommit(group: GroupId, outcome: Outcome): void {
    if (outcome.kind !== 'completed' || outcome.committed === undefined) return;
    this.own.set(group, outcome.committed);
  }

  private watchIdle(): void {
    if (this.open?.pinned === undefined) return;
    const idleMs = this.context.board.catalog?.transactionIdleMs ?? DEFAULT_IDLE_MS;
    this.idleTimer = setTimeout(() => {
      this.fail(refused(RefusalReason.TransactionIdle));
      this.context.recorder.recordIdleTimeout(this.database, idleMs);
    }, idleMs);
  }
}

/** A transaction's upstream side, or why there is none. */
type Pinning =
  | { readonly kind: 'pinned'; readonly pinned: OpenTransaction }
  | { readonly kind: 'failed'; readonly outcome: Outcome };

/** Whether a single statement may have run at an upstream; a read that was lost has changed nothing, but may. */
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

/** Where an operation runs, unless its data may be nowhere. */
function placeOf(route: Route, workspace: Workspace | undefined): Result<Place, RefusalReason> {
  const regions = permittedRegions(route.regions, workspace?.regions);
  if (regions?.length === 0) return err(RefusalReason.NoPermittedRegion);
  return ok({ route, workspace, regions });
}

function notPinned(outcome: Outcome): Pinning {
  return { kind: 'failed', outcome };
}
