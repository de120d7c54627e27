/**
 * `npm run measure -- overhead`: measures what the proxy costs in latency, throughput and CPU time, by
 * alternating direct and proxied load in one run, and the memory per idle caller.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Worker } from 'node:worker_threads';
import { Command, Option } from 'clipanion';
import { Deployment, EMBEDDED_PASSWORD, EMBEDDED_USER, until } from '../embedded/deployment.js';
import { RAMDIN } from '../embedded/shape.js';
import { Caller } from '../load/caller.js';
import type { ClosedLoopResult } from '../load/closed-loop.js';
import { runClosedLoop } from '../load/closed-loop.js';
import { round } from '../load/latency-recorder.js';
import { printFields } from './print-fields.js';

const GROUP = 'ledger1';
const CALLERS = [1, 16, 256];
const IDLE_CALLERS = [1000, 5000];
const ROWS = 1000;
const READ = "SELECT state FROM deeds WHERE id = $1 /*deadline_ms='60000'*/";
const SETTINGS = { caller: { max_waiting: 1000, max_callers: 20_000 } };
const BYTES_PER_KB = 1024;

/** Connection target of one side of the comparison. */
interface Side {
  readonly name: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
}

/** Measures the overhead of the proxy compared with direct connections. */
export class OverheadCommand extends Command {
  static override paths = [['overhead']];

  static override usage = Command.Usage({
    description: 'Latency, rate and processor time direct and through the proxy; idle memory.',
  });

  durationMs = Option.String('--duration-ms', '4000');
  rounds = Option.String('--rounds', '3');
  seed = Option.String('--seed', '1');
  idle = Option.Boolean('--idle', true);

  async execute(): Promise<number> {
    const shape = { ...RAMDIN, groups: [GROUP], connectionsPerUpstream: 900 };
    const deployment = new Deployment({
      shape,
      seed: Number(this.seed),
      basePort: 0,
      latency: false,
      settings: SETTINGS,
    });
    await deployment.start();
    await this.compare(deployment);
    if (this.idle) await this.measureIdle(deployment);
    await deployment.stop();
    return 0;
  }

  private async compare(deployment: Deployment): Promise<void> {
    const port = deployment.hosts[0]?.callers.port ?? 0;
    const proxy = { name: 'proxy', port, user: EMBEDDED_USER, password: EMBEDDED_PASSWORD };
    const upstream = deployment.upstreamsOf(GROUP)[0]?.port ?? 0;
    const direct = { name: 'direct', port: upstream, user: 'gladespool', password: 'upstream' };
    await this.insertRows(proxy);
    for (const callers of CALLERS) {
      for (let turn = 1; turn <= Number(this.rounds); turn += 1) {
        for (const side of [direct, proxy]) {
          for (const kind of ['read', 'write'] as const) {
            const result = await this.runLoad(side, callers, kind, turn);
            this.print({ side: side.name, kind, callers, turn }, result);
          }
        }
      }
    }
  }

  private async insertRows(side: Side): Promise<void> {
    const caller = await Caller.connect({ ...side, group: GROUP });
    for (let i = 0; i < ROWS; i += 1) {
      await caller.query('INSERT INTO deeds (id, state) VALUES ($1, $2)', [String(i), 'signed']);
    }
    await caller.end();
  }

  private async runLoad(
    side: Side,
    count: number,
    kind: 'read' | 'write',
    turn: number,
  ): Promise<ClosedLoopResult> {
    const opening = Array.from({ length: count }, () => Caller.connect({ ...side, group: GROUP }));
    const callers = await Promise.all(opening);
    const request = async (index: number, sequence: number): Promise<boolean> => {
      const caller = callers[index];
      if (caller === undefined) return false;
      const id = `${side.name}-${count}-${turn}-${sequence}`;
      const write = `INSERT INTO deeds (id, state) VALUES ('${id}', 'x') /*deadline_ms='60000'*/`;
      try {
        await (kind === 'read'
          ? caller.query(READ, [String(sequence % ROWS)])
          : caller.query(write));
        return true;
      } catch {
        return false;
      }
    };
    const result = await runClosedLoop({
      callers: count,
      durationMs: Number(this.durationMs),
      request,
    });
    await Promise.all(callers.map((caller) => caller.end()));
    return result;
  }

  private print(fields: Readonly<Record<string, string | number>>, result: ClosedLoopResult): void {
    const { latency, rate, refused, cpuMs } = result;
    printFields(this.context.stdout, 'overhead', {
      ...fields,
      p50_ms: latency.p50,
      p99_ms: latency.p99,
      rate,
      refused,
      cpu_ms: cpuMs,
    });
  }

  /**
   * Measures the growth of this thread's heap and buffers per idle caller. The callers run in a worker
   * thread, so that their own memory does not count.
   */
  private async measureIdle(deployment: Deployment): Promise<void> {
    const host = deployment.hosts[0];
    if (host === undefined) return;
    for (const count of IDLE_CALLERS) {
      const before = usedBytes();
      const worker = startIdleCallers(host.callers.port, count);
      await until(() => host.callers.callers >= count, IDLE_LOGIN_TIMEOUT_MS);
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
      const perCaller = (usedBytes() - before) / count / BYTES_PER_KB;
      printFields(this.context.stdout, 'idle', { callers: count, kb_each: round(perCaller) });
      await worker.terminate();
      await until(() => host.callers.callers === 0);
    }
  }
}

const IDLE_LOGIN_TIMEOUT_MS = 120_000;
const SETTLE_MS = 1000;

function usedBytes(): number {
  setFlagsFromString('--expose_gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Starts a worker thread that logs in `count` callers in batches of 50 and keeps them idle. */
function startIdleCallers(port: number, count: number): Worker {
  const options = { port, group: GROUP };
  const code = `
    import(${JSON.stringify(new URL('../load/caller.js', import.meta.url).href)}).then(async ({ Caller }) => {
      const held = [];
      for (let i = 0; i < ${count}; i += 50) {
        const batch = Array.from({ length: 50 }, () => Caller.connect(${JSON.stringify(options)}));
        held.push(...(await Promise.all(batch)));
      }
      setInterval(() => held.length, 60000);
    });`;
  return new Worker(code, { eval: true });
}
