/**
 * Chronological record of one run: what was sent, answered and run. Written to `record.txt` at the end of the run.
 */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export class Record {
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedAt = performance.now();
  }

  /** Milliseconds since the start of the run. */
  now() {
    return performance.now() - this.startedAt;
  }

  add(text) {
    this.lines.push(`${this.now().toFixed(1).padStart(9)} ms  ${text}`);
  }

  write() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}
