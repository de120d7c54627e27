/**
 * One request of a caller: a simple query, or extended messages up to Sync. Adds the prepared
 * statements that it refers to, and takes their completions out of the answer again.
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
import { closing, MAX_STATEMENTS, neededStatement, preparing } from './statement-registry.js';

/** A request ready to be run. */
export interface RequestBatch {
  /** Messages for the upstream, ending in one Query or Sync. */
  readonly messages: Buffer;
  /** The caller's own messages, decoded. */
  readonly decoded: readonly FrontendMessage[];
  /** Texts that it executes, without marks, in order. */
  readonly executed: readonly string[];
  readonly kinds: readonly StatementKind[];
  readonly marks: RequestMarks;
  /** Statements that the caller's own messages parse, in order. */
  readonly parsed: readonly PreparedStatement[];
  /** Names of statements that it closes. */
  readonly closed: readonly string[];
  /** For each completion of a Parse or Close in order: whether the caller must not see it. */
  readonly hidden: HiddenCompletions;
}

/** Completions that were not asked for by the caller. */
export interface HiddenCompletions {
  readonly parse: readonly boolean[];
  readonly close: readonly boolean[];
}

/** Texts of portals that outlive one request inside a transaction. */
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

/** Builds the request of a simple query. */
export function simpleBatch(message: Buffer, sql: string): Result<RequestBatch, Refusal> {
  const draft = newDraft();
  draft.out.push(message);
  draft.decoded.push({ type: FrontendType.Query, sql });
  draft.texts.push(sql);
  return finish(draft);
}

/** Builds the request of extended messages; a Sync is added at the end. */
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
  return finish(draft);
}

/** Takes hidden completions out of an answer. */
export function withoutHidden(
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

/** What a request asks of a home, given whether a transaction is open. */
export function intentOf(batch: RequestBatch, inTransaction: boolean): RunIntent {
  const { kinds } = batch;
  if (inTransaction) return batch.executed.some(mayEnd) ? RunIntent.End : RunIntent.Continue;
  if (kinds.every((kind) => READING.has(kind))) return RunIntent.Read;
  const ends = kinds.lastIndexOf(StatementKind.Commit);
  const rolls = kinds.lastIndexOf(StatementKind.Rollback);
  const isOpen = (kind: StatementKind): boolean => kinds.lastIndexOf(kind) > Math.max(ends, rolls);
  if (isOpen(StatementKind.Begin)) return RunIntent.Begin;
  if (isOpen(StatementKind.BeginReadOnly)) return RunIntent.BeginReadOnly;
  return RunIntent.Write;
}

const READING: ReadonlySet<StatementKind> = new Set([
  StatementKind.Empty,
  StatementKind.Read,
  StatementKind.Show,
]);
const ENDING = /\b(?:commit|end|rollback|abort)\b/i;
const KEEPING = /^\s*rollback\s+(?:work\s+|transaction\s+)?to\b/i;

/** Whether a text may end the open transaction; a false yes only costs a status query. */
function mayEnd(sql: string): boolean {
  return ENDING.test(sql) && !KEEPING.test(sql);
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
  const needed = neededStatement(decoded);
  if (needed !== undefined && !draft.parsed.has(needed)) prepareFirst(draft, registry.get(needed));
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

function prepareFirst(draft: Draft, statement: PreparedStatement | undefined): void {
  if (statement === undefined) return;
  draft.out.push(...preparing(statement));
  draft.hiddenParse.push(true);
  if (statement.name !== '') draft.hiddenClose.push(true);
  draft.parsed.set(statement.name, statement);
}

function addParse(draft: Draft, message: Buffer, name: string, sql: string): void {
  if (name !== '') {
    draft.out.push(closing(name));
    draft.hiddenClose.push(true);
  }
  draft.out.push(message);
  draft.hiddenParse.push(false);
  const statement = { name, sql, parse: Buffer.from(message) };
  draft.parsed.set(name, statement);
  draft.own.push(statement);
}

function finish(draft: Draft): Result<RequestBatch, Refusal> {
  let marks = NO_MARKS;
  const executed: string[] = [];
  for (const text of draft.texts) {
    const marked = readMarks(text);
    if (marked.isErr()) return err(marked.error);
    executed.push(marked.value.sql);
    if (marked.value.marks !== NO_MARKS) marks = marked.value.marks;
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
