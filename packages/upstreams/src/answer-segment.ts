/**
 * Part of an upstream's reply that ends with one ReadyForQuery message.
 */
import { BackendType, MESSAGE_HEADER_BYTES, TransactionStatus } from '@gladespool/protocol';

/** One segment of a reply. */
export interface AnswerSegment {
  /** Messages in order, without the final ReadyForQuery. */
  readonly messages: readonly Buffer[];
  /** Transaction status that the ReadyForQuery message reports. */
  readonly status: TransactionStatus;
}

const SQLSTATE_LENGTH = 5;

/** Returns the SQLSTATE of the first error in a segment; undefined if there is none. */
export function errorStateOf(segment: AnswerSegment): string | undefined {
  const error = segment.messages.find((message) => message[0] === BackendType.Error);
  if (error === undefined) return undefined;
  const body = error.toString('utf8', MESSAGE_HEADER_BYTES);
  const field = body.split('\0').find((text) => text.startsWith('C'));
  return field?.slice(1, 1 + SQLSTATE_LENGTH) ?? 'XX000';
}

/** Returns the text values of the first row in a segment; undefined if it has no row. */
export function firstRowOf(segment: AnswerSegment): readonly (string | null)[] | undefined {
  const row = segment.messages.find((message) => message[0] === BackendType.DataRow);
  return row === undefined ? undefined : readRow(row);
}

function readRow(row: Buffer): readonly (string | null)[] {
  const values: (string | null)[] = [];
  const count = row.readInt16BE(MESSAGE_HEADER_BYTES);
  let offset = MESSAGE_HEADER_BYTES + 2;
  for (let i = 0; i < count; i += 1) {
    const length = row.readInt32BE(offset);
    offset += 4;
    if (length < 0) {
      values.push(null);
      continue;
    }
    values.push(row.toString('utf8', offset, offset + length));
    offset += length;
  }
  return values;
}

/** Whether the connection is outside a transaction after a segment. */
export function isIdle(segment: AnswerSegment): boolean {
  return segment.status === TransactionStatus.Idle;
}
