/**
 * Statements of a caller's session, independent of the protocol in which they were received.
 */

import type { Access } from '@gladespool/coordination';

/** Kinds of statements. */
export enum StatementKind {
  Begin = 'begin',
  Commit = 'commit',
  Rollback = 'rollback',
  Run = 'run',
  SetValue = 'set-value',
  Prepare = 'prepare',
  Execute = 'execute',
  Deallocate = 'deallocate',
}

/** A prepared statement, which a session refers to by a name. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
}

/** One statement as the caller sent it. */
export type Statement =
  | { readonly kind: StatementKind.Begin; readonly readOnly: boolean }
  | { readonly kind: StatementKind.Commit }
  | { readonly kind: StatementKind.Rollback }
  | { readonly kind: StatementKind.Run; readonly access: Access; readonly text: string }
  | { readonly kind: StatementKind.SetValue; readonly name: string; readonly value: string }
  | {
      readonly kind: StatementKind.Prepare;
      readonly name: string;
      readonly prepared: PreparedStatement;
    }
  | { readonly kind: StatementKind.Execute; readonly name: string; readonly args: string }
  | { readonly kind: StatementKind.Deallocate; readonly name: string };

/** What is executed at an upstream: a text that is passed on unchanged, or a prepared statement with its arguments. */
export type Work =
  | { readonly kind: 'text'; readonly access: Access; readonly text: string }
  | { readonly kind: 'prepared'; readonly prepared: PreparedStatement; readonly args: string };

/** Access mode of the work: whether it reads or writes. */
export function accessOf(work: Work): Access {
  return work.kind === 'text' ? work.access : work.prepared.access;
}
