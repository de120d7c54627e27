/**
 * What the commands share: output as text or JSON, the bundle file, the store.
 */
import { Socket } from 'node:net';
import type { LogFields } from '@gladespool/observability';
import { formatEvent } from '@gladespool/observability';
import { HttpStoreClient } from '@gladespool/platform';
import { formatFault } from '@gladespool/protocol';
import { Command, Option } from 'clipanion';
import type { BundleFile } from '../bundle-file.js';
import { loadBundleFile } from '../bundle-file.js';

const DEFAULT_STORE = '127.0.0.1:2379';
const STORE_TIMEOUT_MS = 5000;

/** Base of the commands. */
export abstract class OperatorCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Print JSON, one object a line.' });

  /** Prints one result. */
  protected print(event: string, fields: LogFields): void {
    const line = this.json ? JSON.stringify({ event, ...fields }) : formatEvent(event, fields);
    this.context.stdout.write(`${line}\n`);
  }

  /** Prints why nothing was done. */
  protected complain(message: string): void {
    const line = this.json ? JSON.stringify({ event: 'error', message }) : message;
    this.context.stderr.write(`${line}\n`);
  }

  /** Loads a bundle file; undefined after printing its faults. */
  protected async load(path: string): Promise<BundleFile | undefined> {
    const file = await loadBundleFile(path);
    if (file.isOk()) return file.value;
    if (file.error.kind === 'unreadable') this.complain(`${path}: ${file.error.error.message}`);
    else for (const fault of file.error.faults) this.complain(formatFault(fault));
    return undefined;
  }
}

/** Base of the commands that reach the store. */
export abstract class StoreCommand extends OperatorCommand {
  store = Option.String('--store', DEFAULT_STORE, {
    description: "ADDRESS:PORT of the platform's store, default 127.0.0.1:2379.",
  });

  /** Opens the store; undefined after printing what is wrong with the address. */
  protected open(): HttpStoreClient | undefined {
    const match = /^(.+):(\d+)$/.exec(this.store);
    const [, address, port] = match ?? [];
    if (address === undefined || port === undefined) {
      this.complain(`--store ${this.store}: allowed: ADDRESS:PORT`);
      return undefined;
    }
    return new HttpStoreClient({
      address,
      port: Number(port),
      timeoutMs: STORE_TIMEOUT_MS,
      dial: (to, at) => new Socket().connect(to, at),
    });
  }
}
