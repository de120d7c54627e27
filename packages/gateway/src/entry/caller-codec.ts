/**
 * Interface between the caller server and the codec of a caller protocol.
 */
import type { Outcome } from '../model/outcome.js';
import type { Statement } from '../model/statement.js';
import type { SessionAnswer, SessionState } from './session.js';

/** One decoded message of a caller. */
export type CallerMessage =
  | {
      readonly kind: 'start';
      readonly database: string;
      /** Identity of the caller: its API key, where keys are required. */
      readonly who: string;
    }
  | { readonly kind: 'statement'; readonly id: string; readonly statement: Statement }
  /** A well-formed message whose content is not a valid statement; the session continues. */
  | { readonly kind: 'nonsense'; readonly id: string; readonly detail: string }
  | { readonly kind: 'end' }
  /** Bytes that cannot be decoded; the connection is closed. */
  | { readonly kind: 'broken'; readonly detail: string };

/** Decodes and encodes the messages of one caller's connection. */
export interface CallerCodec {
  push(chunk: Buffer): readonly CallerMessage[];
  encodeWelcome(): string;
  encodeAnswer(answer: SessionAnswer): string;
  /** Encodes an error after which the connection is closed. */
  encodeFatal(outcome: Exclude<Outcome, { kind: 'completed' }>): string;
  /** Encodes an error for one statement. */
  encodeFailure(outcome: Exclude<Outcome, { kind: 'completed' }>, state: SessionState): string;
}
