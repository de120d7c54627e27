/**
 * Prepared statements of one caller. They live at the entry, because the caller's requests run on
 * changing upstream connections; each request carries the statements that it refers to.
 */
import type { FrontendMessage } from '@gladespool/protocol';
import { FrontendType, TargetKind } from '@gladespool/protocol';
import { serialize } from 'pg-protocol';

/** A prepared statement. */
export interface PreparedStatement {
  readonly name: string;
  readonly sql: string;
  /** The caller's Parse message. */
  readonly parse: Buffer;
}

/** Statements kept for one caller at most; a Parse of one more is refused. */
export const MAX_STATEMENTS = 1000;

/** Statements of one caller by name. */
export class StatementRegistry {
  private readonly statements = new Map<string, PreparedStatement>();

  get size(): number {
    return this.statements.size;
  }

  get(name: string): PreparedStatement | undefined {
    return this.statements.get(name);
  }

  put(statement: PreparedStatement): void {
    this.statements.set(statement.name, statement);
  }

  remove(name: string): void {
    this.statements.delete(name);
  }
}

/** Messages that make an upstream connection hold a statement, whatever it held under that name. */
export function preparing(statement: PreparedStatement): readonly Buffer[] {
  if (statement.name === '') return [statement.parse];
  return [closing(statement.name), statement.parse];
}

/** Close of a named statement; closing one that does not exist is no error. */
export function closing(name: string): Buffer {
  return serialize.close({ type: 'S', name });
}

/** Name of the statement that a message needs to exist already; undefined when it needs none. */
export function neededStatement(message: FrontendMessage): string | undefined {
  if (message.type === FrontendType.Bind) return message.statement;
  if (message.type === FrontendType.Describe && message.target === TargetKind.Statement) {
    return message.name;
  }
  return undefined;
}
