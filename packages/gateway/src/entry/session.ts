/**
 * One caller's session: its values, prepared names, transaction, and what it has seen of its own
 * commits. Statements are handled one after the other; the protocol around it is a codec's matter.
 */
import type { GroupId, SessionPosition } from '@gladespool/coordination';
import { RefusalReason } from '@gladespool/coordination';
import type { GatewayBoard } from '../board.js';
import type { Executor, OpenTransaction } from '../home/job.js';
import type { Route } from '../model/catalog.js';
import type { Outcome } from '../model/outcome.js';
import { DONE, refused } from '../model/outcome.js';
import type { PreparedShape, Statement, Work } from '../model/statement.js';
import { StatementKind } from '../model/statement.js';
import type { RequestJournal } from './request-journal.js';

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
  readonly journal: RequestJournal;
}

/** A transaction from the caller's BEGIN on; it is opened at an upstream with its first statement. */
interface OpenState {
  readonly readOnly: boolean;
  readonly beganAt: number;
  readonly route: Route;
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
  private readonly prepared = new Map<string, PreparedShape>();
  private readonly own = new Map<GroupId, SessionPosition>();
  private open: OpenState | undefined;
  private idleTimer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(
    private readonly database: string,
    private readonly context: SessionContext,
  ) {}

  /** Transaction state as the caller sees it. */
  get state(): SessionState {
    if (this.open === undefined) return SessionState.Idle;
    return this.open.failed ? SessionState.Failed : SessionState.Open;
  }

  /** Handles one statement that arrived at `now`. */
  async handle(id: string, statement: Statement, now: number): Promise<SessionAnswer> {
    clearTimeout(this.idleTimer);
    const outcome = await this.outcomeOf(id, statement, now);
    this.context.journal.note({ id, database: this.database, statement, outcome, arrivedAt: now });
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
    const route = this.context.board.route(this.database);
    if (route === undefined) return refused(RefusalReason.UnknownGroup, this.database);
    const own = this.own.get(route.group);
    const job = { route, id, work, values: this.values, own, beganAt: now, arrivedAt: now };
    const outcome = await this.context.executor.run(job);
    this.noteCommit(route.group, outcome);
    return outcome;
  }

  private async runInside(id: string, work: Work, now: number): Promise<Outcome> {
    const opened = await this.pin(id, now);
    if (opened.kind === 'failed') return this.fail(opened.outcome);
    const step = { id, work, values: this.values, arrivedAt: now };
    const outcome = await opened.pinned.run(step);
    return outcome.kind === 'completed' ? outcome : this.fail(outcome);
  }

  private async commit(id: string, now: number): Promise<Outcome> {
    const { open } = this;
    if (open === undefined) return refused(RefusalReason.SessionMisuse, 'no transaction is open');
    const opened = await this.pin(id, now);
    this.open = undefined;
    if (opened.kind === 'failed') return opened.outcome;
    const outcome = await opened.pinned.commit(id, now);
    this.noteCommit(open.route.group, outcome);
    return outcome;
  }

  /** The transaction at an upstream, opened there if it is not yet. */
  private async pin(id: string, now: number): Promise<Pinning> {
    const { open } = this;
    if (open === undefined) return notPinned(refused(RefusalReason.TransactionLost));
    if (open.pinned !== undefined) return { kind: 'pinned', pinned: open.pinned };
    const { route, readOnly, beganAt } = open;
    const own = this.own.get(route.group);
    const job = { route, id, readOnly, values: this.values, own, beganAt, arrivedAt: now };
    const opened = await this.context.executor.begin(job);
    if (opened.isErr()) return notPinned(opened.error);
    if (this.closed) {
      opened.value.rollback();
      return notPinned(refused(RefusalReason.TransactionLost, 'caller left'));
    }
    open.pinned = opened.value;
    return { kind: 'pinned', pinned: opened.value };
  }

  private begin(readOnly: boolean, now: number): Outcome {
    if (this.open !== undefined) {
      return this.fail(refused(RefusalReason.SessionMisuse, 'a transaction is open already'));
    }
    const route = this.context.board.route(this.database);
    if (route === undefined) return refused(RefusalReason.UnknownGroup, this.database);
    this.open = { readOnly, beganAt: now, route, pinned: undefined, failed: false };
    return DONE;
  }

  private rollback(): Outcome {
    if (this.open === undefined) {
      return refused(RefusalReason.SessionMisuse, 'no transaction is open');
    }
    this.open.pinned?.rollback();
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
      this.context.journal.noteIdle(this.database, idleMs);
    }, idleMs);
  }
}

/** A transaction's upstream side, or why there is none. */
type Pinning =
  | { readonly kind: 'pinned'; readonly pinned: OpenTransaction }
  | { readonly kind: 'failed'; readonly outcome: Outcome };

function notPinned(outcome: Outcome): Pinning {
  return { kind: 'failed', outcome };
}
