/**
 * Evaluates the subset of SQL expressions that the stand-in upstream supports.
 */
import type { Expr } from 'pgsql-ast-parser';
import type { Row } from './log.js';

/** SQL value of the stand-in: text, boolean or null. */
export type Value = string | boolean | null;

/** Columns and parameters that an expression can refer to. */
export interface Scope {
  readonly row: Row;
  readonly parameters: readonly (string | null)[];
}

/** Error that is reported to the client with an SQLSTATE. */
export class SqlError extends Error {
  constructor(
    readonly sqlState: string,
    message: string,
  ) {
    super(message);
  }
}

/** SQLSTATE codes that the stand-in reports. */
export enum SqlState {
  Syntax = '42601',
  NotSupported = '0A000',
  UniqueViolation = '23505',
  ReadOnly = '25006',
  FailedTransaction = '25P02',
  Deadlock = '40P01',
  Canceled = '57014',
  TooManyConnections = '53300',
  UndefinedObject = '26000',
  UndefinedParameter = '42P02',
  WrongObjectState = '55000',
}

export function evaluate(expr: Expr, scope: Scope): Value {
  switch (expr.type) {
    case 'string':
      return expr.value;
    case 'integer':
    case 'numeric':
      return String(expr.value);
    case 'boolean':
      return expr.value;
    case 'null':
      return null;
    case 'parameter':
      return parameter(expr.name, scope);
    case 'ref':
      return scope.row[expr.name] ?? null;
    case 'cast':
      return evaluate(expr.operand, scope);
    case 'unary':
      return unary(expr.op, evaluate(expr.operand, scope));
    case 'binary':
      return binary(expr.op, evaluate(expr.left, scope), evaluate(expr.right, scope));
    default:
      throw new SqlError(SqlState.NotSupported, `expression ${expr.type} is not supported`);
  }
}

function parameter(name: string, scope: Scope): Value {
  const value = scope.parameters[Number(name.slice(1)) - 1];
  if (value === undefined) throw new SqlError(SqlState.UndefinedParameter, `no parameter ${name}`);
  return value;
}

function unary(op: string, value: Value): Value {
  if (op === 'IS NULL') return value === null;
  if (op === 'IS NOT NULL') return value !== null;
  if (op === 'NOT') return value === null ? null : value !== true;
  if (op === '-') return value === null ? null : String(-Number(value));
  throw new SqlError(SqlState.NotSupported, `operator ${op} is not supported`);
}

function binary(op: string, left: Value, right: Value): Value {
  if (op === 'AND') return left === true && right === true;
  if (op === 'OR') return left === true || right === true;
  if (left === null || right === null) return null;
  if (op === '=') return left === right;
  if (op === '!=') return left !== right;
  if (op === '||') return `${String(left)}${String(right)}`;
  const a = Number(left);
  const b = Number(right);
  if (op === '+') return String(a + b);
  if (op === '-') return String(a - b);
  if (op === '*') return String(a * b);
  if (op === '<') return a < b;
  if (op === '<=') return a <= b;
  if (op === '>') return a > b;
  if (op === '>=') return a >= b;
  throw new SqlError(SqlState.NotSupported, `operator ${op} is not supported`);
}

/** Returns the text representation of a value that is sent to the client. */
export function toText(value: Value): string | null {
  if (value === null) return null;
  if (value === true) return 't';
  if (value === false) return 'f';
  return value;
}
