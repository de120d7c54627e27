/**
 * Builds a request from a caller's simple query, or from its extended query messages up to Sync or
 * Flush. Adds the prepared statements that the request refers to, and removes the completion messages
 * of these additions from the answer.
 */
import type { Refusal, RequestMarks } from '@gladespool/coordination';
import { NO_MARKS, RefusalReason, refuse } from '@gladespool/coordination';
import type { FrontendMessage } from '@gladespool/protocol';
import {
  BackendType,
  classifyStatement,
  decodeFrontend,
  FrontendType,
  readMarks,
  RunIntent,
  StatementKind,
  TargetKind,
} from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { serialize } from 'pg-protocol';
import type { PreparedStatement, StatementRegistry } from './statement-registry.js';
import {
  closeMessage,
  MAX_STATEMENTS,
  referencedStatement,
  prepareMessages,
} from './statement-registry.js';

/** A request that is ready to run. */
export interface RequestBatch {
  /** Messages for the upstream, ending in one Query or Sync. */
  readonly messages: Buffer;
  /** The caller's own messages, decoded. */
  readonly decoded: readonly FrontendMessage[];
  /** SQL texts that the request executes, without their request marks, in order. */
  readonly executed: readonly string[];
  readonly kinds: readonly StatementKind[];
  readonly marks: RequestMarks;
  /** Statements that the caller's own messages parse, in order. */
  readonly parsed: readonly PreparedStatement[];
  /** Names of statements that the caller's own messages close. */
  readonly closed: readonly string[];
  /** Completion messages that must be removed from the answer. */
  readonly hidden: HiddenCompletions;
}

/** For each ParseComplete and CloseComplete, in order: whether it answers a message of the proxy. */
export interface HiddenCompletions {
  readonly parse: readonly boolean[];
  readonly close: readonly boolean[];
}

/** SQL texts of portals by name; inside a transaction, portals outlive the request that binds them. */
export type PortalTexts = Map<string, string>;

interface Draft {
  readonly out: Buffer[];
  readonly decoded: FrontendMessage[];
  readonly texts: string[];
  readonly parsed: Map<string, PreparedStatement>;
  readonly own: PreparedStatement[];
  readonly closed: string[];
  readonly hiddenParse: boolean[];
  readonly hiddenClose: boolean[];
}

/** Builds the request for a simple query. */
export function simpleBatch(message: Buffer, sql: string): Result<RequestBatch, Refusal> {
  const draft = newDraft();
  draft.out.push(message);
  draft.decoded.push({ type: FrontendType.Query, sql });
  draft.texts.push(sql);
  return buildBatch(draft);
}

/** Builds the request for extended query messages; a Sync is appended. */
export function extendedBatch(
  messages: readonly Buffer[],
  registry: StatementRegistry,
  portals: PortalTexts,
): Result<RequestBatch, Refusal> {
  const draft = newDraft();
  for (const message of messages) {
    const decoded = decodeFrontend(message);
    if (decoded === undefined) {
      return err(refuse(RefusalReason.Unsupported, 'message type or body is not supported'));
    }
    draft.decoded.push(decoded);
    const refusal = addMessage(draft, message, decoded, registry, portals);
    if (refusal !== undefined) return err(refusal);
  }
  draft.out.push(serialize.sync());
  return buildBatch(draft);
}

/** Removes the hidden completions from an answer. */
export function removeHidden(
  messages: readonly Buffer[],
  hidden: HiddenCompletions,
): readonly Buffer[] {
  let parses = 0;
  let closes = 0;
  return messages.filter((message) => {
    if (message[0] === BackendType.ParseComplete) return hidden.parse[parses++] !== true;
    if (message[0] === BackendType.CloseComplete) return hidden.close[closes++] !== true;
    return true;
  });
}

/** Returns the intent with which a home runs a request, given whether a transaction is open. */
export function intentOf(batch: RequestBatch, inTransaction: boolean): RunIntent {
  const { kinds } = batch;
  if (inTransaction)
    return batch.executed.some(mayEndTransaction) ? RunIntent.End : RunIntent.Continue;
  if (kinds.every((kind) => READ_KINDS.has(kind))) return RunIntent.Read;
  const lastCommit = kinds.lastIndexOf(StatementKind.Commit);
  const lastRollback = kinds.lastIndexOf(StatementKind.Rollback);
  const isOpen = (kind: StatementKind): boolean =>
    kinds.lastIndexOf(kind) > Math.max(lastCommit, lastRollback);
  if (isOpen(StatementKind.Begin)) return RunIntent.Begin;
  if (isOpen(StatementKind.BeginReadOnly)) return RunIntent.BeginReadOnly;
  return RunIntent.Write;
}

const READ_KINDS: ReadonlySet<StatementKind> = new Set([
  StatementKind.Empty,
  StatementKind.Read,
  StatementKind.Show,
]);
const TRANSACTION_END = /\b(?:commit|end|rollback|abort)\b/i;
const ROLLBACK_TO_SAVEPOINT = /^\s*rollback\s+(?:work\s+|transaction\s+)?to\b/i;

/** Whether a text may end the open transaction; a false positive only costs a status query. */
function mayEndTransaction(sql: string): boolean {
  return TRANSACTION_END.test(sql) && !ROLLBACK_TO_SAVEPOINT.test(sql);
}

function newDraft(): Draft {
  return {
    out: [],
    decoded: [],
    texts: [],
    parsed: new Map(),
    own: [],
    closed: [],
    hiddenParse: [],
    hiddenClose: [],
  };
}

function addMessage(
  draft: Draft,
  message: Buffer,
  decoded: FrontendMessage,
  registry: StatementRegistry,
  portals: PortalTexts,
): Refusal | undefined {
  const referenced = referencedStatement(decoded);
  if (referenced !== undefined && !draft.parsed.has(referenced))
    addPrepared(draft, registry.get(referenced));
  if (decoded.type === FrontendType.Parse) {
    if (registry.size + draft.parsed.size >= MAX_STATEMENTS) {
      return refuse(RefusalReason.Unsupported, `more than ${MAX_STATEMENTS} prepared statements`);
    }
    addParse(draft, message, decoded.statement, decoded.sql);
    return undefined;
  }
  if (decoded.type === FrontendType.Bind) {
    const statement = draft.parsed.get(decoded.statement) ?? registry.get(decoded.statement);
    portals.set(decoded.portal, statement?.sql ?? '');
  }
  if (decoded.type === FrontendType.Execute) draft.texts.push(portals.get(decoded.portal) ?? '');
  if (decoded.type === FrontendType.Close) {
    draft.hiddenClose.push(false);
    if (decoded.target === TargetKind.Statement) draft.closed.push(decoded.name);
  }
  draft.out.push(message);
  return undefined;
}

function addPrepared(draft: Draft, statement: PreparedStatement | undefined): void {
  if (statement === undefined) return;
  draft.out.push(...prepareMessages(statement));
  draft.hiddenParse.push(true);
  if (statement.name !== '') draft.hiddenClose.push(true);
  draft.parsed.set(statement.name, statement);
}

function addParse(draft: Draft, message: Buffer, name: string, sql: string): void {
  if (name !== '') {
    draft.out.push(closeMessage(name));
    draft.hiddenClose.push(true);
  }
  draft.out.push(message);
  draft.hiddenParse.push(false);
  const statement = { name, sql, parse: Buffer.from(message) };
  draft.parsed.set(name, statement);
  draft.own.push(statement);
}

function buildBatch(draft: Draft): Result<RequestBatch, Refusal> {
  let marks = NO_MARKS;
  const executed: string[] = [];
  for (const text of draft.texts) {
    const parsedText = readMarks(text);
    if (parsedText.isErr()) return err(parsedText.error);
    executed.push(parsedText.value.sql);
    if (parsedText.value.marks !== NO_MARKS) marks = parsedText.value.marks;
  }
  return ok({
    messages: Buffer.concat(draft.out),
    decoded: draft.decoded,
    executed,
    kinds: executed.map(classifyStatement),
    marks,
    parsed: draft.own,
    closed: draft.closed,
    hidden: { parse: draft.hiddenParse, close: draft.hiddenClose },
  });
}
