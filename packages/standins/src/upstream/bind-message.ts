/**
 * Reads the bodies of extended protocol messages for the stand-in upstream.
 */
import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';

const HEADER_BYTES = 5;
const BINARY_FORMAT = 1;
const INT2_OID = 21;
const INT4_OID = 23;
const INT8_OID = 20;
const BOOL_OID = 16;
const PORTAL_CODE = 0x50;

/** Body of Parse. */
export interface ParseBody {
  readonly name: string;
  readonly sql: string;
  readonly types: readonly number[];
}

/** Body of Bind, parameters as text. */
export interface BindBody {
  readonly portal: string;
  readonly statement: string;
  readonly parameters: readonly (string | null)[];
}

/** Object named by Describe or Close. */
export interface Target {
  readonly isPortal: boolean;
  readonly name: string;
}

/** Body of Execute. */
export interface ExecuteBody {
  readonly portal: string;
  /** Rows at most; 0 for all. */
  readonly limit: number;
}

function readerOf(message: Buffer): BufferReader {
  const reader = new BufferReader();
  reader.setBuffer(HEADER_BYTES, message);
  return reader;
}

/** Reads Parse. */
export function readParse(message: Buffer): ParseBody {
  const reader = readerOf(message);
  const name = reader.cstring();
  const sql = reader.cstring();
  const count = reader.int16();
  const types = Array.from({ length: count }, () => reader.int32());
  return { name, sql, types };
}

/** Reads Bind; `typesOf` gives the parameter types that Parse stated. */
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

/** Reads Describe or Close. */
export function readTarget(message: Buffer): Target {
  const reader = readerOf(message);
  const isPortal = reader.byte() === PORTAL_CODE;
  return { isPortal, name: reader.cstring() };
}

/** Reads Execute. */
export function readExecuteLimit(message: Buffer): ExecuteBody {
  const reader = readerOf(message);
  return { portal: reader.cstring(), limit: reader.int32() };
}
