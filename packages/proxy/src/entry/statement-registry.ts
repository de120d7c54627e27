/**
 * Prepared statements of one caller. They are stored at the entry, because the caller's requests run
 * on changing upstream connections; each request includes the statements that it refers to.
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

/** Maximum number of statements of one caller; a Parse beyond it is refused. */
export const MAX_STATEMENTS = 1000;

/** Prepared statements of one caller by name. */
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

/** Returns the messages that prepare a statement, replacing any statement of the same name. */
export function prepareMessages(statement: PreparedStatement): readonly Buffer[] {
  if (statement.name === '') return [statement.parse];
  return [closeMessage(statement.name), statement.parse];
}

/** Returns the Close message of a named statement; closing one that does not exist is no error. */
export function closeMessage(name: string): Buffer {
  return serialize.close({ type: 'S', name });
}

/** Returns the name of the prepared statement that a message refers to; undefined if it refers to none. */
export function referencedStatement(message: FrontendMessage): string | undefined {
  if (message.type === FrontendType.Bind) return message.statement;
  if (message.type === FrontendType.Describe && message.target === TargetKind.Statement) {
    return message.name;
  }
  return undefined;
}
