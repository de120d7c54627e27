/**
 * Reads a settings file and prints its errors.
 */
import { readFile } from 'node:fs/promises';
import type { Writable } from 'node:stream';
import type { HostSettings } from '@gladespool/protocol';
import { formatFault, readHostSettings } from '@gladespool/protocol';

/** Returns the settings in a file, or undefined after printing its errors to `stderr`. */
export async function loadSettings(
  file: string,
  stderr: Writable,
): Promise<HostSettings | undefined> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    stderr.write(`${file}: cannot be read: ${reason}\n`);
    return undefined;
  }
  const settings = readHostSettings(file, text);
  if (settings.isOk()) return settings.value;
  for (const fault of settings.error) stderr.write(`${formatFault(fault)}\n`);
  return undefined;
}
