/**
 * Decodes extended-protocol messages for the stand-in upstream.
 */
import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';

const HEADER_BYTES = 5;
const BINARY_FORMAT = 1;
const INT2_OID = 21;
const INT4_OID = 23;
const INT8_OID = 20;
const BOOL_OID = 16;
const PORTAL_CODE = 0x50;

/** Body of a Parse message. */
export interface ParseBody {
  readonly name: string;
  readonly sql: string;
  readonly types: readonly number[];
}

/** Body of a Bind message with its parameters as text. */
export interface BindBody {
  readonly portal: string;
  readonly statement: string;
  readonly parameters: readonly (string | null)[];
}

/** Portal or prepared statement that a Describe or Close message names. */
export interface Target {
  readonly isPortal: boolean;
  readonly name: string;
}

/** Body of an Execute message. */
export interface ExecuteBody {
  readonly portal: string;
  /** Maximum number of rows; 0 for all. */
  readonly limit: number;
}

function readerOf(message: Buffer): BufferReader {
  const reader = new BufferReader();
  reader.setBuffer(HEADER_BYTES, message);
  return reader;
}

export function readParse(message: Buffer): ParseBody {
  const reader = readerOf(message);
  const name = reader.cstring();
  const sql = reader.cstring();
  const count = reader.int16();
  const types = Array.from({ length: count }, () => reader.int32());
  return { name, sql, types };
}

/** Decodes a Bind message; `typesOf` returns the parameter types that the Parse message declared. */
export function readBind(
  message: Buffer,
  typesOf: (statement: string) => readonly number[],
): BindBody {
  const reader = readerOf(message);
  const portal = reader.cstring();
  const statement = reader.cstring();
  const types = typesOf(statement);
  const formatCount = reader.int16();
  const formats = Array.from({ length: formatCount }, () => reader.int16());
  const count = reader.int16();
  const parameters = Array.from({ length: count }, (_, index) => {
    const length = reader.int32();
    if (length < 0) return null;
    const bytes = reader.bytes(length);
    const format = formats.length === 1 ? formats[0] : formats[index];
    return format === BINARY_FORMAT ? binaryText(bytes, types[index]) : bytes.toString();
  });
  return { portal, statement, parameters };
}

function binaryText(bytes: Buffer, type: number | undefined): string {
  if (type === INT2_OID) return String(bytes.readInt16BE(0));
  if (type === INT4_OID) return String(bytes.readInt32BE(0));
  if (type === INT8_OID) return String(bytes.readBigInt64BE(0));
  if (type === BOOL_OID) return bytes[0] === 1 ? 't' : 'f';
  return bytes.toString();
}

/** Decodes a Describe or Close message. */
export function readTarget(message: Buffer): Target {
  const reader = readerOf(message);
  const isPortal = reader.byte() === PORTAL_CODE;
  return { isPortal, name: reader.cstring() };
}

/** Decodes an Execute message. */
export function readExecute(message: Buffer): ExecuteBody {
  const reader = readerOf(message);
  return { portal: reader.cstring(), limit: reader.int32() };
}
