/**
 * Exits the process silently when the reader of its output closes the pipe, as `| head` does.
 */
import type { Writable } from 'node:stream';

/** Exits the process with code 0 when `output` reports EPIPE; rethrows other errors. */
export function exitOnClosedPipe(output: Writable): void {
  output.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'EPIPE') process.exit(0);
    throw error;
  });
}
