/**
 * Statements that the entry answers itself: SHOW and SET of the proxy's own parameters, and SET of
 * settings that have no effect on the upstream or request the value that it has anyway.
 */
import type { FrontendMessage } from '@gladespool/protocol';
import {
  BackendType,
  encodeWithoutBody,
  encodeCommandComplete,
  encodeDataRow,
  encodeParameterDescription,
  encodeRowDescription,
  FrontendType,
  TargetKind,
} from '@gladespool/protocol';

/** Name of the parameter that carries the session token. */
export const TOKEN_PARAMETER = 'gladespool.session_token';
/** Start-up parameter with which a caller states that it resumes a session without a token. */
export const RESUMED_PARAMETER = 'gladespool.session_resumed';
/** Name of the parameter that holds the id of the host that serves the session. */
export const HOST_PARAMETER = 'gladespool.host';

/** A statement that the entry answers. */
export type LocalStatement =
  | { readonly kind: 'show'; readonly name: string }
  | { readonly kind: 'set-token'; readonly token: string }
  /** A setting that is accepted without effect, because it is not needed or has the requested value. */
  | { readonly kind: 'accept' }
  | { readonly kind: 'rollback' };

const SHOW = /^\s*SHOW\s+"?(gladespool\.(?:session_token|host))"?\s*;?\s*$/i;
const SET_TOKEN =
  /^\s*SET\s+(?:SESSION\s+)?gladespool\.session_token\s*(?:=|TO)\s*'([A-Za-z0-9_-]*)'\s*;?\s*$/i;
const SET_WITHOUT_EFFECT =
  /^\s*SET\s+(?:SESSION\s+)?(?:application_name\s*(?:=|TO)\s*\S.*|extra_float_digits\s*(?:=|TO)\s*'?\d'?|client_encoding\s*(?:=|TO)\s*'?(?:UTF-?8|UNICODE)'?|standard_conforming_strings\s*(?:=|TO)\s*'?on'?)\s*;?\s*$/i;

/** Parses a statement that the entry answers; undefined for any other statement. */
export function localStatement(sql: string): LocalStatement | undefined {
  const shown = SHOW.exec(sql)?.[1];
  if (shown !== undefined) return { kind: 'show', name: shown.toLowerCase() };
  const token = SET_TOKEN.exec(sql)?.[1];
  if (token !== undefined) return { kind: 'set-token', token };
  return SET_WITHOUT_EFFECT.test(sql) ? { kind: 'accept' } : undefined;
}

/** Result of a local statement: one row with one column, or only a command tag. */
export interface LocalResult {
  readonly tag: string;
  readonly column: string | undefined;
  readonly value: string;
}

/** Encodes the answer to the caller's messages as a PostgreSQL server would. */
export function encodeLocalAnswer(
  messages: readonly FrontendMessage[],
  result: LocalResult,
): Buffer {
  return Buffer.concat(messages.map((message) => encodePart(message, result)));
}

function encodePart(message: FrontendMessage, result: LocalResult): Buffer {
  switch (message.type) {
    case FrontendType.Query:
      return Buffer.concat([describe(result, false), execute(result)]);
    case FrontendType.Parse:
      return encodeWithoutBody(BackendType.ParseComplete);
    case FrontendType.Bind:
      return encodeWithoutBody(BackendType.BindComplete);
    case FrontendType.Describe:
      return message.target === TargetKind.Statement
        ? Buffer.concat([encodeParameterDescription(0), describe(result, true)])
        : describe(result, true);
    case FrontendType.Execute:
      return execute(result);
    case FrontendType.Close:
      return encodeWithoutBody(BackendType.CloseComplete);
    case FrontendType.Sync:
    case FrontendType.Flush:
    case FrontendType.Terminate:
      return Buffer.alloc(0);
  }
}

function describe(result: LocalResult, extended: boolean): Buffer {
  if (result.column !== undefined) return encodeRowDescription([result.column]);
  return extended ? encodeWithoutBody(BackendType.NoData) : Buffer.alloc(0);
}

function execute(result: LocalResult): Buffer {
  const tag = encodeCommandComplete(result.tag);
  if (result.column === undefined) return tag;
  return Buffer.concat([encodeDataRow([result.value]), tag]);
}
