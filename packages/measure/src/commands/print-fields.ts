/**
 * Prints results in the format of the log: one line of key=value pairs.
 */
import type { Writable } from 'node:stream';
import type { LogFields } from '@gladespool/observability';
import { formatEvent } from '@gladespool/observability';

export function printFields(out: Writable, event: string, fields: LogFields): void {
  out.write(`${formatEvent(event, fields)}\n`);
}
