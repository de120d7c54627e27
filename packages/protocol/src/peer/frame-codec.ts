/**
 * Encodes frames on a byte stream: a 32-bit big-endian length, followed by CBOR (RFC 8949).
 */
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import { Encoder } from 'cbor-x';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import type { Frame } from './frame.js';
import { frameSchema } from './frame.js';

const LENGTH_BYTES = 4;
/** Maximum frame size, bytes; a complete answer must fit. */
export const MAX_FRAME_BYTES = 20 * 1024 * 1024;

/**
 * Field names in statement frames, encoded as their position in this list. A forwarded read takes 172 instead of 364
 * bytes, and its answer 38 bytes less (encoded by hand, with 500 bytes of rows). Changing the order requires a new
 * protocol version.
 */
const SHORT_FIELDS: readonly string[] = [
  ...['kind', 'id', 'operation', 'request', 'transaction', 'route', 'readOnly', 'work', 'values'],
  ...['own', 'beganMs', 'arrivedMs', 'workspace', 'database', 'group', 'consistency'],
  ...['maxStalenessMs', 'timeoutMs', 'targetLatencyMs', 'priority', 'isPublic', 'access', 'text'],
  ...['shape', 'args', 'epoch', 'position', 'term', 'offset', 'outcome', 'rows', 'signature'],
  ...['committed', 'reason', 'detail', 'retryAfterMs', 'wanted', 'kept', 'granted'],
  ...['regions', 'era', 'revision', 'ownPosition', 'heard', 'newest', 'documentsPosition'],
];
/** Positions start at 1, because the codec treats 0 as absent. */
const keyMap = Object.fromEntries(SHORT_FIELDS.map((field, index) => [field, index + 1]));
const encoder = new Encoder({ useRecords: false, tagUint8Array: false, keyMap });

/** Encodes a frame with its length prefix. */
export function encodeFrame(frame: Frame): Buffer {
  const body = encoder.encode(frame);
  const framed = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  framed.writeUInt32BE(body.length, 0);
  body.copy(framed, LENGTH_BYTES);
  return framed;
}

/** Decodes the frames of one direction of a link. */
export class FrameDecoder {
  private readonly chunks: Buffer[] = [];
  private bufferedBytes = 0;

  constructor(
    private readonly peer: string,
    private readonly maxFrameBytes: number = MAX_FRAME_BYTES,
  ) {}

  /** Adds received bytes and returns the frames they complete. */
  push(chunk: Buffer): Result<readonly Frame[], GladespoolError> {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const frames: Frame[] = [];
    for (;;) {
      const length = this.nextLength();
      if (length === undefined) return ok(frames);
      if (length > this.maxFrameBytes)
        return err(this.fail(`frame of ${length} bytes is too large`));
      if (this.bufferedBytes < LENGTH_BYTES + length) return ok(frames);
      const frame = this.decodeBody(this.take(LENGTH_BYTES + length).subarray(LENGTH_BYTES));
      if (frame.isErr()) return err(frame.error);
      frames.push(frame.value);
    }
  }

  private nextLength(): number | undefined {
    if (this.bufferedBytes < LENGTH_BYTES) return undefined;
    const first = this.chunks[0];
    if (first !== undefined && first.length >= LENGTH_BYTES) return first.readUInt32BE(0);
    return this.joinChunks().readUInt32BE(0);
  }

  private joinChunks(): Buffer {
    const [only] = this.chunks;
    if (this.chunks.length === 1 && only !== undefined) return only;
    const all = Buffer.concat(this.chunks);
    this.chunks.splice(0, this.chunks.length, all);
    return all;
  }

  private take(size: number): Buffer {
    const all = this.joinChunks();
    const rest = all.subarray(size);
    this.chunks.splice(0, this.chunks.length);
    if (rest.length > 0) this.chunks.push(rest);
    this.bufferedBytes = rest.length;
    return all.subarray(0, size);
  }

  private decodeBody(body: Buffer): Result<Frame, GladespoolError> {
    let value: unknown;
    try {
      value = encoder.decode(body);
    } catch (cause) {
      return err(this.fail('frame is not CBOR', cause));
    }
    const parsed = frameSchema.safeParse(value);
    if (parsed.success) return ok(parsed.data);
    return err(this.fail(`frame is not valid: ${z.prettifyError(parsed.error)}`));
  }

  private fail(message: string, cause?: unknown): GladespoolError {
    return gladespoolError({ step: Step.Decode, peer: this.peer }, message, { cause });
  }
}
