/**
 * Ends the process quietly when the reader of its output has gone, as `| head` does.
 */
import type { Writable } from 'node:stream';

/** Watches an output stream for a closed pipe. */
export function exitOnClosedPipe(output: Writable): void {
  output.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'EPIPE') process.exit(0);
    throw error;
  });
}
