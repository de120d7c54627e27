/**
 * Executes the SQL subset of the stand-in upstream: INSERT, SELECT with a condition, count, UPDATE,
 * DELETE, transactions and the control functions.
 */
import type {
  DeleteStatement,
  InsertStatement,
  SelectFromStatement,
  Statement,
  UpdateStatement,
} from 'pgsql-ast-parser';
import { parse } from 'pgsql-ast-parser';
import type { Expr } from 'pgsql-ast-parser';
import { TransactionStatus } from '@gladespool/protocol';
import type { ControlFunctions } from './control-functions.js';
import type { Scope } from './expression.js';
import { evaluate, SqlError, SqlState, toText } from './expression.js';
import type { Change, Row, TableState } from './log.js';
import type { RowLocks } from './row-locks.js';
import type { UpstreamNode } from './upstream-node.js';

/** Result of one statement. */
export interface StatementResult {
  /** Column names; undefined for statements that return no rows. */
  readonly columns: readonly string[] | undefined;
  readonly rows: readonly (readonly (string | null)[])[];
  readonly tag: string;
}

interface Transaction {
  /** Whether it was opened with BEGIN; an implicit transaction ends with the statement. */
  explicit: boolean;
  failed: boolean;
  readonly changes: Map<string, Change>;
  readonly locks: Set<string>;
}

type Parameters = readonly (string | null)[];

const KEY_COLUMN = 'id';
const parseCache = new Map<string, Statement[]>();
const PARSE_CACHE_LIMIT = 2000;

/**
 * Parses an SQL text.
 *
 * @throws SqlError if the text cannot be parsed
 */
export function parseSql(sql: string): Statement[] {
  const cached = parseCache.get(sql);
  if (cached !== undefined) return cached;
  if (parseCache.size > PARSE_CACHE_LIMIT) parseCache.clear();
  try {
    const statements = parse(sql);
    parseCache.set(sql, statements);
    return statements;
  } catch (cause) {
    const reason = cause instanceof Error ? (cause.message.split('\n')[0] ?? '') : '';
    throw new SqlError(SqlState.Syntax, `cannot parse: ${reason}`);
  }
}

/** Executes the statements of one session. */
export class Executor {
  private transaction: Transaction | undefined;
  /** Set by a cancel request; ends a running `pg_sleep`. */
  canceled = false;

  constructor(
    readonly node: UpstreamNode,
    private readonly locks: RowLocks,
    private readonly control: ControlFunctions,
  ) {}

  get status(): TransactionStatus {
    if (this.transaction?.explicit !== true) return TransactionStatus.Idle;
    return this.transaction.failed ? TransactionStatus.Failed : TransactionStatus.InTransaction;
  }

  /** Executes a statement in the open transaction, or else in an implicit one. */
  async run(statement: Statement, parameters: Parameters): Promise<StatementResult> {
    const transaction = (this.transaction ??= newTransaction());
    if (transaction.failed && statement.type !== 'rollback' && statement.type !== 'commit') {
      throw new SqlError(SqlState.FailedTransaction, 'current transaction is aborted');
    }
    return this.dispatch(statement, parameters, transaction);
  }

  /** Ends an implicit transaction; called at a Sync message and at the end of a simple query. */
  sync(): void {
    const transaction = this.transaction;
    if (transaction === undefined || transaction.explicit) return;
    if (transaction.failed) this.rollback();
    else this.commit(transaction);
  }

  /** Marks the open transaction as failed. */
  fail(): void {
    if (this.transaction !== undefined) this.transaction.failed = true;
  }

  /** Discards the open transaction, if any, and releases its locks. */
  rollback(): void {
    const transaction = this.transaction;
    this.transaction = undefined;
    if (transaction?.explicit === true) this.node.openTransactions -= 1;
    if (transaction !== undefined) this.locks.releaseAll(transaction, transaction.locks);
  }

  private async dispatch(
    statement: Statement,
    parameters: Parameters,
    transaction: Transaction,
  ): Promise<StatementResult> {
    switch (statement.type) {
      case 'begin':
        if (!transaction.explicit) this.node.openTransactions += 1;
        transaction.explicit = true;
        return commandResult('BEGIN');
      case 'commit':
        return this.runCommit(transaction);
      case 'rollback':
        this.rollback();
        return commandResult('ROLLBACK');
      case 'insert':
        return this.insert(statement, parameters, transaction);
      case 'update':
        return this.update(statement, parameters, transaction);
      case 'delete':
        return this.remove(statement, parameters, transaction);
      case 'select':
        return this.select(statement, parameters, transaction);
      default:
        throw new SqlError(SqlState.NotSupported, `statement ${statement.type} is not supported`);
    }
  }

  private runCommit(transaction: Transaction): StatementResult {
    if (transaction.failed) {
      this.rollback();
      return commandResult('ROLLBACK');
    }
    this.commit(transaction);
    return commandResult('COMMIT');
  }

  private commit(transaction: Transaction): void {
    const changes = [...transaction.changes.values()];
    if (changes.length > 0 && !this.node.canWrite) {
      this.rollback();
      throw new SqlError(SqlState.ReadOnly, 'not the primary of the current term');
    }
    if (changes.length > 0) this.node.commit(changes);
    this.rollback();
  }

  private async insert(
    statement: InsertStatement,
    parameters: Parameters,
    transaction: Transaction,
  ): Promise<StatementResult> {
    const columns = (statement.columns ?? []).map((column) => column.name);
    if (statement.insert.type !== 'values') {
      throw new SqlError(SqlState.NotSupported, 'INSERT takes VALUES only');
    }
    for (const tuple of statement.insert.values) {
      const row = insertedRow(columns, tuple, parameters);
      await this.insertRow(statement.into.name, row, transaction);
    }
    return commandResult(`INSERT 0 ${statement.insert.values.length}`);
  }

  private async insertRow(table: string, row: Row, transaction: Transaction): Promise<void> {
    const key = row[KEY_COLUMN];
    if (key === null || key === undefined) {
      throw new SqlError('23502', `column ${KEY_COLUMN} must have a value`);
    }
    await this.lockRow(table, key, transaction);
    if (this.visibleRow(table, key, transaction) !== undefined) {
      throw new SqlError(SqlState.UniqueViolation, `duplicate key ${key} in ${table}`);
    }
    transaction.changes.set(lockName(table, key), { table, key, row });
  }

  private async update(
    statement: UpdateStatement,
    parameters: Parameters,
    transaction: Transaction,
  ): Promise<StatementResult> {
    const table = statement.table.name;
    const keys = this.matchingRows(table, statement.where, parameters, transaction);
    for (const [key] of keys) {
      await this.lockRow(table, key, transaction);
      const row = this.visibleRow(table, key, transaction);
      if (row === undefined) continue;
      const changed: Record<string, string | null> = { ...row };
      for (const set of statement.sets) {
        changed[set.column.name] = toText(evaluate(set.value, { row, parameters }));
      }
      transaction.changes.set(lockName(table, key), { table, key, row: changed });
    }
    return commandResult(`UPDATE ${keys.length}`);
  }

  private async remove(
    statement: DeleteStatement,
    parameters: Parameters,
    transaction: Transaction,
  ): Promise<StatementResult> {
    const table = statement.from.name;
    const keys = this.matchingRows(table, statement.where, parameters, transaction);
    for (const [key] of keys) {
      await this.lockRow(table, key, transaction);
      transaction.changes.set(lockName(table, key), { table, key, row: undefined });
    }
    return commandResult(`DELETE ${keys.length}`);
  }

  private async select(
    statement: SelectFromStatement,
    parameters: Parameters,
    transaction: Transaction,
  ): Promise<StatementResult> {
    const [from] = statement.from ?? [];
    if (from === undefined) return this.selectWithoutTable(statement, parameters);
    if (from.type === 'call') {
      return this.control.call(from.function.name, from.args, parameters);
    }
    if (from.type !== 'table') {
      throw new SqlError(SqlState.NotSupported, 'SELECT takes one table');
    }
    const rows = this.matchingRows(from.name.name, statement.where, parameters, transaction);
    const columns = columnsOf(statement, this.node.tables);
    const found = rows.map(([, row]) => row);
    return project(statement, columns, found, parameters);
  }

  private async selectWithoutTable(
    statement: SelectFromStatement,
    parameters: Parameters,
  ): Promise<StatementResult> {
    const [column] = statement.columns ?? [];
    if (column?.expr.type === 'call' && column.expr.function.name === 'pg_sleep') {
      await this.sleep(Number(evaluate(firstArgument(column.expr.args), { row: {}, parameters })));
      return { columns: ['pg_sleep'], rows: [['']], tag: 'SELECT 1' };
    }
    return project(statement, columnsOf(statement, this.node.tables), [{}], parameters);
  }

  private async sleep(seconds: number): Promise<void> {
    const until = performance.now() + seconds * 1000;
    while (performance.now() < until) {
      if (this.canceled) {
        this.canceled = false;
        throw new SqlError(SqlState.Canceled, 'canceling statement due to user request');
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  private matchingRows(
    table: string,
    where: Expr | null | undefined,
    parameters: Parameters,
    transaction: Transaction,
  ): [string, Row][] {
    const key = equalityKey(where, parameters);
    const candidates = key === undefined ? this.allKeys(table, transaction) : [key];
    const found: [string, Row][] = [];
    for (const candidate of candidates) {
      const row = this.visibleRow(table, candidate, transaction);
      if (row === undefined) continue;
      if (!where || evaluate(where, { row, parameters }) === true) found.push([candidate, row]);
    }
    return found;
  }

  private allKeys(table: string, transaction: Transaction): Set<string> {
    const keys = new Set<string>();
    for (const [key] of this.node.tables.entries(table)) keys.add(key);
    for (const change of transaction.changes.values()) {
      if (change.table === table) keys.add(change.key);
    }
    return keys;
  }

  private visibleRow(table: string, key: string, transaction: Transaction): Row | undefined {
    const change = transaction.changes.get(lockName(table, key));
    return change === undefined ? this.node.tables.get(table, key) : change.row;
  }

  private async lockRow(table: string, key: string, transaction: Transaction): Promise<void> {
    if (!this.node.canWrite) {
      throw new SqlError(SqlState.ReadOnly, 'cannot write: not the primary of the current term');
    }
    const name = lockName(table, key);
    await this.locks.lock(transaction, name);
    transaction.locks.add(name);
  }
}

function newTransaction(): Transaction {
  return { explicit: false, failed: false, changes: new Map(), locks: new Set() };
}

function commandResult(tag: string): StatementResult {
  return { columns: undefined, rows: [], tag };
}

function lockName(table: string, key: string): string {
  return `${table}\0${key}`;
}

function firstArgument(args: readonly Expr[]): Expr {
  const [first] = args;
  if (first === undefined) throw new SqlError(SqlState.Syntax, 'argument missing');
  return first;
}

function insertedRow(
  columns: readonly string[],
  tuple: readonly Expr[],
  parameters: Parameters,
): Row {
  const row: Record<string, string | null> = {};
  tuple.forEach((expr, index) => {
    const column = columns[index];
    if (column === undefined) throw new SqlError(SqlState.Syntax, 'INSERT needs its columns named');
    row[column] = toText(evaluate(expr, { row: {}, parameters }));
  });
  return row;
}

/** Returns the key of a condition `id = value`; undefined for any other condition. */
function equalityKey(where: Expr | null | undefined, parameters: Parameters): string | undefined {
  if (where?.type !== 'binary' || where.op !== '=') return undefined;
  if (where.left.type !== 'ref' || where.left.name !== KEY_COLUMN) return undefined;
  const value = evaluate(where.right, { row: {}, parameters });
  return typeof value === 'string' ? value : undefined;
}

/** Returns the names of a SELECT statement's result columns. */
export function columnsOf(statement: SelectFromStatement, tables: TableState): readonly string[] {
  return (statement.columns ?? []).flatMap((column) => {
    if (column.alias !== undefined) return [column.alias.name];
    if (column.expr.type === 'ref') {
      return column.expr.name === '*' ? starColumns(statement, tables) : [column.expr.name];
    }
    return [column.expr.type === 'call' ? column.expr.function.name : '?column?'];
  });
}

function starColumns(statement: SelectFromStatement, tables: TableState): readonly string[] {
  const [from] = statement.from ?? [];
  const known = from?.type === 'table' ? tables.columnsOf(from.name.name) : [];
  return known.length > 0 ? known : [KEY_COLUMN];
}

function project(
  statement: SelectFromStatement,
  columns: readonly string[],
  rows: readonly Row[],
  parameters: Parameters,
): StatementResult {
  const [first] = statement.columns ?? [];
  if (first?.expr.type === 'call' && first.expr.function.name === 'count') {
    return { columns, rows: [[String(rows.length)]], tag: 'SELECT 1' };
  }
  const values = rows.map((row) => projectRow(statement, columns, { row, parameters }));
  return { columns, rows: values, tag: `SELECT ${rows.length}` };
}

function projectRow(
  statement: SelectFromStatement,
  columns: readonly string[],
  scope: Scope,
): (string | null)[] {
  const star = (statement.columns ?? []).some(
    (column) => column.expr.type === 'ref' && column.expr.name === '*',
  );
  if (star) return columns.map((column) => scope.row[column] ?? null);
  return (statement.columns ?? []).map((column) => toText(evaluate(column.expr, scope)));
}
