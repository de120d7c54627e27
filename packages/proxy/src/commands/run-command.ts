/**
 * `gladespool run FILE`: runs the daemon until SIGINT or SIGTERM, then drains.
 */
import { readFile } from 'node:fs/promises';
import { createLogger, enableDefaultLogs } from '@gladespool/observability';
import type { HostSettings } from '@gladespool/protocol';
import { Command, Option } from 'clipanion';
import type { CallerTls } from '../entry/caller-server.js';
import { Host } from '../host.js';
import { ExitCode } from './exit-code.js';
import { loadSettings } from './load-settings.js';

/** Runs the daemon. */
export class RunCommand extends Command {
  static override paths = [['run']];

  static override usage = Command.Usage({
    description: 'Run an entry host with the settings in FILE.',
    details: `
      Runs until SIGINT or SIGTERM; then the host leaves, finishes what it has, and exits.
      A second signal ends it at once.

      Exit codes: 0 after a clean stop, 1 for a fault while running, 2 for faulty settings,
      3 when an address can't be listened on.
    `,
    examples: [['Run a host', '$0 run /etc/gladespool/host.ini']],
  });

  file = Option.String({ name: 'FILE', required: true });

  async execute(): Promise<number> {
    enableDefaultLogs(process.env);
    const settings = await loadSettings(this.file, this.context.stderr);
    if (settings === undefined) return ExitCode.BadSettings;
    const tls = await loadTls(settings);
    const seed = Date.now() % SEED_LIMIT;
    const host = new Host({
      settings,
      seed,
      incarnation: Date.now(),
      ...(tls === undefined ? {} : { tls }),
    });
    try {
      await host.start();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.context.stderr.write(`gladespool: cannot listen: ${reason}\n`);
      await host.stop();
      return ExitCode.CannotListen;
    }
    createLogger('host').info('seed', { seed });
    await untilSignal();
    const stopped = await Promise.race([host.drain().then(() => true), untilSignal()]);
    return stopped === true ? ExitCode.Ok : ExitCode.Fault;
  }
}

const SEED_LIMIT = 2 ** 31;

async function loadTls(settings: HostSettings): Promise<CallerTls | undefined> {
  const { tls_key_file: keyFile, tls_cert_file: certFile } = settings.caller;
  if (keyFile === undefined || certFile === undefined) return undefined;
  return { key: await readFile(keyFile), cert: await readFile(certFile) };
}

function untilSignal(): Promise<undefined> {
  return new Promise((resolve) => {
    const done = (): void => {
      resolve(undefined);
    };
    process.once('SIGINT', done);
    process.once('SIGTERM', done);
  });
}
