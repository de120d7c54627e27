/**
 * Writes log lines to a file descriptor without blocking on its reader: one write at a time, a bounded queue behind
 * it, and a count of the lines that did not fit.
 */
import { write } from 'node:fs';

/** Maximum size of the queue, bytes; lines that do not fit are dropped. */
const MAX_QUEUED_BYTES = 256 * 1024;

/** Log output of one process. */
export class LogOutput {
  private queue: string[] = [];
  private queuedBytes = 0;
  private writing = false;
  private dropped = 0;

  constructor(private readonly descriptor: number) {}

  /** Queues a line. */
  write(line: string): void {
    if (this.queuedBytes + line.length > MAX_QUEUED_BYTES) {
      this.dropped += 1;
      return;
    }
    this.queue.push(`${line}\n`);
    this.queuedBytes += line.length + 1;
    if (!this.writing) this.flush();
  }

  /** Returns the number of lines dropped since the last call. */
  takeDropped(): number {
    const { dropped } = this;
    this.dropped = 0;
    return dropped;
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
        this.dropped += 1;
        this.flush();
        return;
      }
      if (written < bytes.length) this.send(bytes.subarray(written));
      else this.flush();
    });
  }
}
