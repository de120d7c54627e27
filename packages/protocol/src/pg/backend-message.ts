/**
 * Encodes the backend messages that the proxy and the stand-ins generate.
 */
import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import type { TransactionStatus } from './message-type.js';
import { BackendType } from './message-type.js';

const TEXT_TYPE_OID = 25;
const TEXT_TYPE_SIZE = -1;
const NO_MODIFIER = -1;
const NULL_LENGTH = -1;

/** Fields of an ErrorResponse. */
export interface ErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  /** SQLSTATE, five characters. */
  readonly code: string;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/** ErrorResponse. */
export function encodeError(fields: ErrorFields): Buffer {
  const writer = new Writer();
  addField(writer, 'S', fields.severity);
  addField(writer, 'V', fields.severity);
  addField(writer, 'C', fields.code);
  addField(writer, 'M', fields.message);
  if (fields.detail !== undefined) addField(writer, 'D', fields.detail);
  if (fields.hint !== undefined) addField(writer, 'H', fields.hint);
  writer.add(Buffer.of(0));
  return Buffer.from(writer.flush(BackendType.Error));
}

function addField(writer: Writer, code: string, value: string): void {
  writer.addString(code);
  writer.addCString(value);
}

/** ReadyForQuery. */
export function encodeReady(status: TransactionStatus): Buffer {
  return Buffer.from(new Writer().addString(status).flush(BackendType.ReadyForQuery));
}

/** ParameterStatus. */
export function encodeParameterStatus(name: string, value: string): Buffer {
  const writer = new Writer().addCString(name).addCString(value);
  return Buffer.from(writer.flush(BackendType.ParameterStatus));
}

/** CommandComplete with its tag. */
export function encodeCommandComplete(tag: string): Buffer {
  return Buffer.from(new Writer().addCString(tag).flush(BackendType.CommandComplete));
}

/** Encodes a message without a body. */
export function encodeWithoutBody(type: BackendType): Buffer {
  return Buffer.from(new Writer().flush(type));
}

/** RowDescription of text columns. */
export function encodeRowDescription(columns: readonly string[]): Buffer {
  const writer = new Writer().addInt16(columns.length);
  for (const column of columns) {
    writer.addCString(column);
    writer.addInt32(0).addInt16(0);
    writer.addInt32(TEXT_TYPE_OID).addInt16(TEXT_TYPE_SIZE);
    writer.addInt32(NO_MODIFIER).addInt16(0);
  }
  return Buffer.from(writer.flush(BackendType.RowDescription));
}

/** DataRow of text values. */
export function encodeDataRow(values: readonly (string | null)[]): Buffer {
  const writer = new Writer().addInt16(values.length);
  for (const value of values) addValue(writer, value);
  return Buffer.from(writer.flush(BackendType.DataRow));
}

function addValue(writer: Writer, value: string | null): void {
  if (value === null) {
    writer.addInt32(NULL_LENGTH);
    return;
  }
  const bytes = Buffer.from(value);
  writer.addInt32(bytes.length).add(bytes);
}

/** ParameterDescription that declares every parameter as text. */
export function encodeParameterDescription(count: number): Buffer {
  const writer = new Writer().addInt16(count);
  for (let i = 0; i < count; i += 1) writer.addInt32(TEXT_TYPE_OID);
  return Buffer.from(writer.flush(BackendType.ParameterDescription));
}
