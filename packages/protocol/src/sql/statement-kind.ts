/**
 * Classifies SQL text by what it asks of the proxy, with the parser of `pgsql-ast-parser`. What the
 * parser does not understand counts as a write, which is always safe: it goes to the primary.
 */
import type { Statement } from 'pgsql-ast-parser';
import { astVisitor, parse } from 'pgsql-ast-parser';

/** What a text asks for. */
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
  /** Needs server state that can't follow a session between upstream connections. */
  Unsupported = 'unsupported',
}

/** Functions that read nothing but their arguments and the snapshot; others may write. */
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

/** Statements that write whatever follows; parsing them would tell nothing more. */
const WRITING_KEYWORDS: ReadonlySet<string> = new Set(['DELETE', 'INSERT', 'MERGE', 'UPDATE']);
/** A semicolon that something follows, perhaps inside a literal; then the parser decides. */
const SEVERAL = /;\s*\S/;
const LEADING = /^(?:\s|--[^\n]*(?:\n|$)|\/\*[\s\S]*?\*\/|;)*([A-Za-z]*)\s*([A-Za-z]*)/;
const TEMPORARY = /^\s*CREATE\s+(?:LOCAL\s+|GLOBAL\s+)?TEMP(?:ORARY)?\s/i;
const START_TRANSACTION = /START\s+TRANSACTION/i;
const CACHE_ENTRIES = 4096;
const MAX_CACHED_LENGTH = 4096;
const cache = new Map<string, StatementKind>();

/** Classifies a text; results of short texts are cached. */
export function classifyStatement(sql: string): StatementKind {
  const known = cache.get(sql);
  if (known !== undefined) return known;
  const kind = classify(sql);
  if (sql.length <= MAX_CACHED_LENGTH) remember(sql, kind);
  return kind;
}

function remember(sql: string, kind: StatementKind): void {
  if (cache.size >= CACHE_ENTRIES) {
    const oldest = cache.keys().next();
    if (oldest.done !== true) cache.delete(oldest.value);
  }
  cache.set(sql, kind);
}

function classify(sql: string): StatementKind {
  const match = LEADING.exec(sql);
  const first = (match?.[1] ?? '').toUpperCase();
  const second = (match?.[2] ?? '').toUpperCase();
  if (UNSUPPORTED_KEYWORDS.has(first) || TEMPORARY.test(sql)) return StatementKind.Unsupported;
  if (match?.[0].length === sql.length && first === '') return StatementKind.Empty;
  if (first === 'SET') return classifySet(second);
  if (first === 'RESET') return StatementKind.SetSession;
  if (first === 'SHOW') return StatementKind.Show;
  if (first === 'START') return classifyParsed(sql.replace(START_TRANSACTION, 'BEGIN'));
  if (first === 'END') return StatementKind.Commit;
  if (first === 'ABORT') return StatementKind.Rollback;
  if (WRITING_KEYWORDS.has(first) && !SEVERAL.test(sql)) return StatementKind.Write;
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
  const veto = (): void => {
    readOnly = false;
  };
  const visitor = astVisitor((map) => ({
    insert: veto,
    update: veto,
    delete: veto,
    call: (call) => {
      if (!READ_FUNCTIONS.has(call.function.name.toLowerCase())) veto();
      map.super().call(call);
    },
    selection: (selection) => {
      if (selection.for !== undefined) veto();
      map.super().selection(selection);
    },
  }));
  visitor.statement(statement);
  return readOnly;
}
