/**
 * `npm run measure -- drain`: measures a planned stop of a host and of an upstream under load, compared
 * with a kill in the same run.
 */
import { Command, Option } from 'clipanion';
import type { Host } from '@gladespool/proxy';
import { Deployment, until } from '../embedded/deployment.js';
import { RAMDIN } from '../embedded/shape.js';
import { Caller } from '../load/caller.js';
import { round } from '../load/latency-recorder.js';
import { summarizeError } from './error-summary.js';
import { printFields } from './print-fields.js';

const GROUP = 'ledger1';
const CALLERS = 18;
const WARM_UP_MS = 1000;

/** Measures errors and duration of planned stops and kills. */
export class DrainCommand extends Command {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    description: 'What callers are told while a host or an upstream stops, planned or killed.',
  });

  rounds = Option.String('--rounds', '5');

  async execute(): Promise<number> {
    for (const kind of ['host-drained', 'host-killed', 'upstream-leaving', 'upstream-killed']) {
      for (let round = 1; round <= Number(this.rounds); round += 1) await this.measure(kind, round);
    }
    return 0;
  }

  private async measure(kind: string, turn: number): Promise<void> {
    const shape = { ...RAMDIN, groups: [GROUP] };
    const deployment = new Deployment({ shape, seed: turn, basePort: 0, latency: true });
    await deployment.start();
    const load = new SteadyLoad(deployment);
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
    const startedAt = performance.now();
    await this.stop(deployment, kind);
    const stoppedMs = performance.now() - startedAt;
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
    await load.end();
    printFields(this.context.stdout, 'drain', {
      kind,
      turn,
      stopped_ms: round(stoppedMs),
      answered: load.answered,
      reconnects: load.reconnects,
      refused: JSON.stringify(Object.fromEntries(load.errors)),
    });
    await deployment.stop();
  }

  private async stop(deployment: Deployment, kind: string): Promise<void> {
    const [host] = deployment.hosts;
    const primary = deployment.primaryOf(GROUP);
    switch (kind) {
      case 'host-drained':
        deployment.hosts.shift();
        await host?.drain();
        return;
      case 'host-killed':
        if (host !== undefined) await deployment.killHost(host);
        return;
      case 'upstream-leaving': {
        const { id } = primary.node;
        await deployment.publish(deployment.bundleText({ [id]: 'leaving' }));
        await until(() => deployment.primaryOf(GROUP).node.id !== id);
        await until(() => primary.node.openTransactions === 0);
        return;
      }
      default:
        await primary.stop();
        await until(() => deployment.primaryOf(GROUP) !== primary);
    }
  }
}

/** Callers that write and read continuously and reconnect like a driver. */
class SteadyLoad {
  answered = 0;
  reconnects = 0;
  readonly errors = new Map<string, number>();
  private stopped = false;
  private readonly callers: Promise<void>[];

  constructor(private readonly deployment: Deployment) {
    this.callers = Array.from({ length: CALLERS }, (_, index) => this.work(index));
  }

  async end(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.callers);
  }

  private async work(index: number): Promise<void> {
    for (let turn = index; !this.stopped; turn += 1) {
      const { hosts } = this.deployment;
      const caller = await this.connect(hosts[turn % hosts.length]);
      if (caller !== undefined) await this.workOn(caller, `${index}-${turn}`);
      this.reconnects += 1;
    }
  }

  private async connect(host: Host | undefined): Promise<Caller | undefined> {
    try {
      return await Caller.connect({ port: host?.callers.port ?? 0, group: GROUP });
    } catch {
      await new Promise((resolve) => setTimeout(resolve, 5));
      return undefined;
    }
  }

  private async workOn(caller: Caller, prefix: string): Promise<void> {
    for (let i = 0; !caller.ended && !this.stopped; i += 1) {
      try {
        await caller.query(`INSERT INTO deeds (id, state) VALUES ('${prefix}-${i}', 'x')`);
        await caller.query('SELECT state FROM deeds WHERE id = $1', [`${prefix}-${i}`]);
        this.answered += 2;
      } catch (error) {
        const summary =
          summarizeError(error) || (error instanceof Error ? error.message : 'unknown');
        this.errors.set(summary, (this.errors.get(summary) ?? 0) + 1);
      }
    }
    await caller.end().catch(() => undefined);
  }
}
