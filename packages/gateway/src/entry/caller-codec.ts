/**
 * What the caller server asks of a caller protocol.
 */
import type { Outcome } from '../model/outcome.js';
import type { Statement } from '../model/statement.js';
import type { SessionAnswer, SessionState } from './session.js';

/** One message of a caller. */
export type CallerMessage =
  | {
      readonly kind: 'start';
      readonly database: string;
      /** Who the caller is: its key, where keys are asked for. */
      readonly who: string;
    }
  | { readonly kind: 'statement'; readonly id: string; readonly statement: Statement }
  /** A statement that the protocol allows but that makes no sense; the session goes on. */
  | { readonly kind: 'nonsense'; readonly id: string; readonly detail: string }
  | { readonly kind: 'end' }
  /** Bytes that can't be read; the connection is closed. */
  | { readonly kind: 'broken'; readonly detail: string };

/** Reads and writes the bytes of one caller's connection. */
export interface CallerCodec {
  push(chunk: Buffer): readonly CallerMessage[];
  encodeWelcome(): string;
  encodeAnswer(answer: SessionAnswer): string;
  /** An error that is followed by a close. */
  encodeFatal(outcome: Exclude<Outcome, { kind: 'completed' }>): string;
  /** An error to one statement. */
  encodeFailure(outcome: Exclude<Outcome, { kind: 'completed' }>, state: SessionState): string;
}
