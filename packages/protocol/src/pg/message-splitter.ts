/**
 * Splits a byte stream into PostgreSQL protocol v3 messages (type byte, 32-bit length, body).
 */
import { gladespoolError, Step } from '@gladespool/coordination';
import type { GladespoolError } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Size of a message header (type and length), bytes. */
export const MESSAGE_HEADER_BYTES = 5;
const LENGTH_FIELD_BYTES = 4;

/** Splits a stream of typed messages; one instance per direction of a connection. */
export class MessageSplitter {
  private held: Buffer = Buffer.alloc(0);

  constructor(
    private readonly maxMessageBytes: number,
    private readonly peer: string,
  ) {}

  /** Number of buffered bytes of an incomplete message. */
  get heldBytes(): number {
    return this.held.length;
  }

  /** Adds received bytes and returns the messages they complete, including headers. */
  push(chunk: Buffer): Result<readonly Buffer[], GladespoolError> {
    const data = this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    const messages: Buffer[] = [];
    let offset = 0;
    while (data.length - offset >= MESSAGE_HEADER_BYTES) {
      const length = data.readUInt32BE(offset + 1);
      if (length < LENGTH_FIELD_BYTES || length > this.maxMessageBytes) {
        return err(this.badLength(length));
      }
      const end = offset + 1 + length;
      if (end > data.length) break;
      messages.push(data.subarray(offset, end));
      offset = end;
    }
    this.held = data.subarray(offset);
    return ok(messages);
  }

  private badLength(length: number): GladespoolError {
    const message = `message length ${length} is not between 4 and ${this.maxMessageBytes}`;
    return gladespoolError({ step: Step.Decode, peer: this.peer }, message);
  }
}
