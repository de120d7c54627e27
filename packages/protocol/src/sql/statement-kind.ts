/**
 * Classifies SQL texts by what the proxy has to do for them, using `pgsql-ast-parser`. Texts that the parser does not
 * accept are classified as writes, which is always safe, since writes go to the primary.
 */
import type { Statement } from 'pgsql-ast-parser';
import { astVisitor, parse } from 'pgsql-ast-parser';

/** Kind of a statement. */
export enum StatementKind {
  Empty = 'empty',
  Read = 'read',
  Write = 'write',
  Begin = 'begin',
  BeginReadOnly = 'begin-read-only',
  Commit = 'commit',
  Rollback = 'rollback',
  SetLocal = 'set-local',
  SetSession = 'set-session',
  Show = 'show',
  /** Needs server state that cannot follow a session from one upstream connection to another. */
  Unsupported = 'unsupported',
}

/** Functions that only read their arguments and the snapshot; any other function may write. */
const READ_FUNCTIONS: ReadonlySet<string> = new Set(
  (
    'abs age array_agg array_length avg bool_and bool_or ceil ceiling char_length coalesce concat ' +
    'concat_ws count current_database current_schema date_part date_trunc extract floor format ' +
    'greatest initcap json_agg json_build_object jsonb_agg jsonb_build_object least length lower ' +
    'lpad ltrim max md5 min mod now nullif percentile_cont power regexp_replace replace round ' +
    'row_number row_to_json rpad rtrim split_part sqrt string_agg strpos substr substring sum ' +
    'to_char to_date to_json to_jsonb to_number to_timestamp trim trunc unnest upper version'
  ).split(' '),
);

const UNSUPPORTED_KEYWORDS: ReadonlySet<string> = new Set([
  'COPY',
  'DEALLOCATE',
  'DISCARD',
  'EXECUTE',
  'LISTEN',
  'LOAD',
  'PREPARE',
  'UNLISTEN',
]);

/** Statements that always write, so that there is no need to parse them. */
const WRITING_KEYWORDS: ReadonlySet<string> = new Set(['DELETE', 'INSERT', 'MERGE', 'UPDATE']);
/** A semicolon followed by more text, possibly within a literal; such texts are parsed. */
const MULTIPLE_STATEMENTS = /;\s*\S/;
const LEADING_KEYWORDS = /^(?:\s|--[^\n]*(?:\n|$)|\/\*[\s\S]*?\*\/|;)*([A-Za-z]*)\s*([A-Za-z]*)/;
const CREATE_TEMPORARY = /^\s*CREATE\s+(?:LOCAL\s+|GLOBAL\s+)?TEMP(?:ORARY)?\s/i;
const START_TRANSACTION = /START\s+TRANSACTION/i;
const CACHE_ENTRIES = 4096;
const MAX_CACHED_LENGTH = 4096;
const cache = new Map<string, StatementKind>();

/** Classifies a text; results for short texts are cached. */
export function classifyStatement(sql: string): StatementKind {
  const known = cache.get(sql);
  if (known !== undefined) return known;
  const kind = classify(sql);
  if (sql.length <= MAX_CACHED_LENGTH) cacheKind(sql, kind);
  return kind;
}

function cacheKind(sql: string, kind: StatementKind): void {
  if (cache.size >= CACHE_ENTRIES) {
    const oldest = cache.keys().next();
    if (oldest.done !== true) cache.delete(oldest.value);
  }
  cache.set(sql, kind);
}

function classify(sql: string): StatementKind {
  const match = LEADING_KEYWORDS.exec(sql);
  const first = (match?.[1] ?? '').toUpperCase();
  const second = (match?.[2] ?? '').toUpperCase();
  if (UNSUPPORTED_KEYWORDS.has(first) || CREATE_TEMPORARY.test(sql))
    return StatementKind.Unsupported;
  if (match?.[0].length === sql.length && first === '') return StatementKind.Empty;
  if (first === 'SET') return classifySet(second);
  if (first === 'RESET') return StatementKind.SetSession;
  if (first === 'SHOW') return StatementKind.Show;
  if (first === 'START') return classifyParsed(sql.replace(START_TRANSACTION, 'BEGIN'));
  if (first === 'END') return StatementKind.Commit;
  if (first === 'ABORT') return StatementKind.Rollback;
  if (WRITING_KEYWORDS.has(first) && !MULTIPLE_STATEMENTS.test(sql)) return StatementKind.Write;
  return classifyParsed(sql);
}

function classifySet(second: string): StatementKind {
  if (second === 'LOCAL' || second === 'TRANSACTION') return StatementKind.SetLocal;
  return StatementKind.SetSession;
}

function classifyParsed(sql: string): StatementKind {
  let statements: Statement[];
  try {
    statements = parse(sql);
  } catch {
    return StatementKind.Write;
  }
  const [only] = statements;
  if (only === undefined) return StatementKind.Empty;
  if (statements.length === 1) return kindOf(only);
  const kinds = new Set(statements.map(kindOf));
  if (kinds.has(StatementKind.Unsupported)) return StatementKind.Unsupported;
  return kinds.size === 1 && kinds.has(StatementKind.Read)
    ? StatementKind.Read
    : StatementKind.Write;
}

function kindOf(statement: Statement): StatementKind {
  switch (statement.type) {
    case 'begin':
      return statement.writeable === 'read only'
        ? StatementKind.BeginReadOnly
        : StatementKind.Begin;
    case 'commit':
      return StatementKind.Commit;
    case 'rollback':
      return StatementKind.Rollback;
    case 'select':
    case 'union':
    case 'union all':
    case 'values':
    case 'with':
      return isReadOnly(statement) ? StatementKind.Read : StatementKind.Write;
    case 'prepare':
    case 'deallocate':
      return StatementKind.Unsupported;
    default:
      return StatementKind.Write;
  }
}

function isReadOnly(statement: Statement): boolean {
  let readOnly = true;
  const markAsWriting = (): void => {
    readOnly = false;
  };
  const visitor = astVisitor((map) => ({
    insert: markAsWriting,
    update: markAsWriting,
    delete: markAsWriting,
    call: (call) => {
      if (!READ_FUNCTIONS.has(call.function.name.toLowerCase())) markAsWriting();
      map.super().call(call);
    },
    selection: (selection) => {
      if (selection.for !== undefined) markAsWriting();
      map.super().selection(selection);
    },
  }));
  visitor.statement(statement);
  return readOnly;
}
