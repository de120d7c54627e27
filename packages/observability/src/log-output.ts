/**
 * Writes log lines to a descriptor without ever waiting for its reader: one write at a time, a
 * bounded queue behind it, and a count of what did not fit.
 */
import { write } from 'node:fs';

/** Bytes that may wait for the reader; what comes on top is dropped. */
const MAX_QUEUED_BYTES = 256 * 1024;

/** Output of one process. */
export class LogOutput {
  private queue: string[] = [];
  private queuedBytes = 0;
  private writing = false;
  private lost = 0;

  constructor(private readonly descriptor: number) {}

  /** Queues a line. */
  write(line: string): void {
    if (this.queuedBytes + line.length > MAX_QUEUED_BYTES) {
      this.lost += 1;
      return;
    }
    this.queue.push(`${line}\n`);
    this.queuedBytes += line.length + 1;
    if (!this.writing) this.flush();
  }

  /** Lines dropped since the last call. */
  takeDropped(): number {
    const { lost } = this;
    this.lost = 0;
    return lost;
  }

  private flush(): void {
    if (this.queue.length === 0) return;
    const bytes = Buffer.from(this.queue.join(''), 'utf8');
    this.queue = [];
    this.queuedBytes = 0;
    this.send(bytes);
  }

  private send(bytes: Buffer): void {
    this.writing = true;
    write(this.descriptor, bytes, (error, written) => {
      this.writing = false;
      if (error !== null) {
        this.lost += 1;
        this.flush();
        return;
      }
      if (written < bytes.length) this.send(bytes.subarray(written));
      else this.flush();
    });
  }
}
