/**
 * `npm start`: runs an embedded deployment in one process, by default of Ramdin's shape, until SIGINT or
 * SIGTERM.
 */
import { enableDefaultLogs, formatEvent } from '@gladespool/observability';
import { FaultServer } from '@gladespool/standins';
import { Command, Option, runExit } from 'clipanion';
import { Deployment, EMBEDDED_PASSWORD, EMBEDDED_USER } from './embedded/deployment.js';
import { HARBORLINE, RAMDIN } from './embedded/shape.js';

const ADDRESS = '127.0.0.1';
const DEFAULT_BASE_PORT = 16_000;
const SHAPES = new Map([RAMDIN, HARBORLINE].map((shape) => [shape.name, shape]));
const EXIT_BAD_ARGUMENT = 2;
const EXIT_CANNOT_LISTEN = 3;

class EmbeddedCommand extends Command {
  static override usage = Command.Usage({
    description: 'Run a whole deployment in one process on embedded stand-ins.',
    details: 'Exit codes: 0 after a clean stop, 2 for a bad argument, 3 when a port is taken.',
  });

  basePort = Option.String('--base-port', String(DEFAULT_BASE_PORT), {
    description: 'First of the ports used, 0 for free ones.',
  });

  shapeName = Option.String('--shape', RAMDIN.name, { description: 'ramdin or harborline.' });

  seed = Option.String('--seed', '1', { description: 'Seed of random choices.' });

  async execute(): Promise<number> {
    enableDefaultLogs(process.env);
    const shape = SHAPES.get(this.shapeName);
    const basePort = Number(this.basePort);
    const isPort = Number.isInteger(basePort) && basePort >= 0 && basePort <= MAX_BASE_PORT;
    if (shape === undefined || !isPort) {
      this.context.stderr.write('allowed: --shape ramdin|harborline, --base-port 0 to 65000\n');
      return EXIT_BAD_ARGUMENT;
    }
    const seed = Number(this.seed);
    const deployment = new Deployment({ shape, seed, basePort, latency: true });
    const faults = new FaultServer(deployment);
    const stopped = untilSignal();
    try {
      await deployment.start();
      await faults.listen(ADDRESS, basePort === 0 ? 0 : basePort + FAULT_PORT_OFFSET);
    } catch (error) {
      return this.reportStartFailure(error, deployment);
    }
    this.announce(deployment, faults.port);
    await stopped;
    await faults.close();
    await deployment.stop();
    this.print('stopped', {});
    return 0;
  }

  private async reportStartFailure(error: unknown, deployment: Deployment): Promise<number> {
    const isPortTaken = error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
    if (!isPortTaken) throw error;
    this.context.stderr.write(
      `${error.message}: a port is taken; choose others with --base-port N\n`,
    );
    await deployment.stop();
    return EXIT_CANNOT_LISTEN;
  }

  private announce(deployment: Deployment, faultPort: number): void {
    for (const host of deployment.hosts) {
      const common = { host: host.board.host, az: host.board.az };
      const address = (port: number): string => `${ADDRESS}:${port}`;
      this.print('listening', { role: 'caller', ...common, address: address(host.callers.port) });
      this.print('listening', { role: 'metrics', ...common, address: address(host.status.port) });
    }
    this.print('listening', { role: 'store', address: `${ADDRESS}:${deployment.store.port}` });
    this.print('listening', { role: 'faults', address: `${ADDRESS}:${faultPort}` });
    const [first] = deployment.hosts;
    const [group] = deployment.options.shape.groups;
    const url = `postgresql://${EMBEDDED_USER}:${EMBEDDED_PASSWORD}@${ADDRESS}:${first?.callers.port ?? 0}/${group ?? ''}`;
    this.print('ready', { try: `psql ${url}` });
  }

  private print(event: string, fields: Parameters<typeof formatEvent>[1]): void {
    this.context.stdout.write(`${formatEvent(event, fields)}\n`);
  }
}

const MAX_BASE_PORT = 65_000;
const FAULT_PORT_OFFSET = 200;

function untilSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => {
      resolve();
    });
    process.once('SIGTERM', () => {
      resolve();
    });
  });
}

await runExit(EmbeddedCommand);
