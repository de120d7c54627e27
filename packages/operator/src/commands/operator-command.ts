/**
 * Base classes of the commands: text or JSON output, loading of bundle files, access to the store.
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

/** Base class of all commands. */
export abstract class OperatorCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Print JSON, one object a line.' });

  /** Prints one result to standard output. */
  protected print(event: string, fields: LogFields): void {
    const line = this.json ? JSON.stringify({ event, ...fields }) : formatEvent(event, fields);
    this.context.stdout.write(`${line}\n`);
  }

  /** Prints an error message to standard error. */
  protected printError(message: string): void {
    const line = this.json ? JSON.stringify({ event: 'error', message }) : message;
    this.context.stderr.write(`${line}\n`);
  }

  /** Loads a bundle file; if it is unreadable or invalid, prints the errors and returns undefined. */
  protected async load(path: string): Promise<BundleFile | undefined> {
    const file = await loadBundleFile(path);
    if (file.isOk()) return file.value;
    if (file.error.kind === 'unreadable') this.printError(`${path}: ${file.error.error.message}`);
    else for (const fault of file.error.faults) this.printError(formatFault(fault));
    return undefined;
  }
}

/** Base class of the commands that access the store. */
export abstract class StoreCommand extends OperatorCommand {
  store = Option.String('--store', DEFAULT_STORE, {
    description: "ADDRESS:PORT of the platform's store, default 127.0.0.1:2379.",
  });

  /** Creates a store client; if the address is invalid, prints an error and returns undefined. */
  protected open(): HttpStoreClient | undefined {
    const match = /^(.+):(\d+)$/.exec(this.store);
    const [, address, port] = match ?? [];
    if (address === undefined || port === undefined) {
      this.printError(`--store ${this.store}: allowed: ADDRESS:PORT`);
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
