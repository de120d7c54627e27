/**
 * Decodes the parts of frontend messages that the proxy acts on. Since callers are not trusted, every read is
 * bounds-checked; malformed messages decode to `undefined`.
 */
import { MESSAGE_HEADER_BYTES } from './message-splitter.js';
import { FrontendType } from './message-type.js';

/** Kind of object that Describe and Close refer to. */
export enum TargetKind {
  Statement = 'S',
  Portal = 'P',
}

/** The parts of a frontend message that the proxy reads. */
export type FrontendMessage =
  | { readonly type: FrontendType.Query; readonly sql: string }
  | { readonly type: FrontendType.Parse; readonly statement: string; readonly sql: string }
  | { readonly type: FrontendType.Bind; readonly portal: string; readonly statement: string }
  | {
      readonly type: FrontendType.Describe | FrontendType.Close;
      readonly target: TargetKind;
      readonly name: string;
    }
  | { readonly type: FrontendType.Execute; readonly portal: string }
  | { readonly type: FrontendType.Sync | FrontendType.Flush | FrontendType.Terminate };

const TYPES: ReadonlyMap<number, FrontendType> = new Map(
  Object.values(FrontendType).flatMap((type) => (typeof type === 'number' ? [[type, type]] : [])),
);
const TARGETS: ReadonlyMap<string, TargetKind> = new Map(
  Object.values(TargetKind).map((kind) => [kind, kind]),
);

/** Type of a frontend message; undefined if its type byte is unknown. */
export function frontendTypeOf(message: Buffer): FrontendType | undefined {
  return TYPES.get(message[0] ?? 0);
}

interface CString {
  readonly text: string;
  /** Offset after the terminator. */
  readonly next: number;
}

/** Decodes a message; undefined if it is malformed or of a type that the proxy does not support. */
export function decodeFrontend(message: Buffer): FrontendMessage | undefined {
  const type = frontendTypeOf(message);
  switch (type) {
    case FrontendType.Query: {
      const sql = cstring(message, MESSAGE_HEADER_BYTES);
      return sql && { type, sql: sql.text };
    }
    case FrontendType.Parse:
      return decodeParse(message);
    case FrontendType.Bind:
      return decodeBind(message);
    case FrontendType.Describe:
    case FrontendType.Close:
      return decodeTarget(message, type);
    case FrontendType.Execute: {
      const portal = cstring(message, MESSAGE_HEADER_BYTES);
      return portal && { type, portal: portal.text };
    }
    case FrontendType.Sync:
    case FrontendType.Flush:
    case FrontendType.Terminate:
      return { type };
    default:
      return undefined;
  }
}

function decodeParse(message: Buffer): FrontendMessage | undefined {
  const statement = cstring(message, MESSAGE_HEADER_BYTES);
  const sql = statement && cstring(message, statement.next);
  if (statement === undefined || sql === undefined) return undefined;
  return { type: FrontendType.Parse, statement: statement.text, sql: sql.text };
}

function decodeBind(message: Buffer): FrontendMessage | undefined {
  const portal = cstring(message, MESSAGE_HEADER_BYTES);
  const statement = portal && cstring(message, portal.next);
  if (portal === undefined || statement === undefined) return undefined;
  return { type: FrontendType.Bind, portal: portal.text, statement: statement.text };
}

function decodeTarget(
  message: Buffer,
  type: FrontendType.Describe | FrontendType.Close,
): FrontendMessage | undefined {
  const code = String.fromCharCode(message[MESSAGE_HEADER_BYTES] ?? 0);
  const name = cstring(message, MESSAGE_HEADER_BYTES + 1);
  if (name === undefined) return undefined;
  const target = TARGETS.get(code);
  return target === undefined ? undefined : { type, target, name: name.text };
}

function cstring(message: Buffer, offset: number): CString | undefined {
  const end = message.indexOf(0, offset);
  if (end < 0) return undefined;
  return { text: message.toString('utf8', offset, end), next: end + 1 };
}
