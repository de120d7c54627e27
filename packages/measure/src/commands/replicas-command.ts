/**
 * `npm run measure -- replicas`: measures the share of reads served by replicas at several replication
 * lags, compared with baselines in the same run; no session may miss its own write.
 */
import type { ReadChoice, ReadInput, ReadRouting } from '@gladespool/coordination';
import { CoveringReplicaRouting, PrimaryRouting, SeededRandom } from '@gladespool/coordination';
import type { RandomSource } from '@gladespool/coordination';
import { Command, Option } from 'clipanion';
import { Deployment } from '../embedded/deployment.js';
import { HARBORLINE, RAMDIN } from '../embedded/shape.js';
import { Caller } from '../load/caller.js';
import { LatencyRecorder, round } from '../load/latency-recorder.js';
import { printFields } from './print-fields.js';

/** Baseline: after a write, the session reads from the primary for a fixed time. */
class StickyRouting implements ReadRouting {
  private readonly wroteAt = new Map<number, number>();

  constructor(private readonly stickyMs: number) {}

  choose(input: ReadInput, random: RandomSource): ReadChoice {
    const { offset } = input.requirements.floor;
    const now = performance.now();
    const since = this.wroteAt.get(offset) ?? now;
    this.wroteAt.set(offset, since);
    if (offset > 0 && now - since < this.stickyMs) return new PrimaryRouting().choose(input);
    const requirements = { ...input.requirements, floor: { term: 0, offset: 0 } };
    return new CoveringReplicaRouting().choose({ ...input, requirements }, random);
  }
}

/** Request counts of a run. */
interface Counts {
  reads: number;
  writes: number;
  missed: number;
  refused: number;
}

/** A routing policy combined with a session rule. */
interface ComparedPolicy {
  readonly name: string;
  readonly session: string;
  readonly create: () => ReadRouting;
}

const STICKY_MS = 200;
const SESSIONS = 24;
const READS_PER_WRITE = 19;
/** Maximum pause between reads of a session; 100 ms on average. */
const THINK_MS = 200;

/** Measures the share of reads on replicas. */
export class ReplicasCommand extends Command {
  static override paths = [['replicas']];

  static override usage = Command.Usage({
    description: 'Share of reads that replicas serve, by lag and policy.',
  });

  lags = Option.String('--lags', '1,50,500,5000');
  durationMs = Option.String('--duration-ms', '8000');
  shapeName = Option.String('--shape', HARBORLINE.name);
  seed = Option.String('--seed', '1');

  async execute(): Promise<number> {
    const policies: readonly ComparedPolicy[] = [
      { name: 'covering', session: 'own-writes', create: () => new CoveringReplicaRouting() },
      { name: 'covering', session: 'monotonic', create: () => new CoveringReplicaRouting() },
      { name: 'sticky-200ms', session: 'own-writes', create: () => new StickyRouting(STICKY_MS) },
      { name: 'primary', session: 'own-writes', create: () => new PrimaryRouting() },
    ];
    for (const lag of this.lags.split(',').map(Number)) {
      for (const policy of policies) await this.measure(lag, policy);
    }
    return 0;
  }

  private async measure(lagMs: number, policy: ComparedPolicy): Promise<void> {
    const shape = this.shapeName === RAMDIN.name ? RAMDIN : HARBORLINE;
    const seed = Number(this.seed);
    const { session } = policy;
    const routing = policy.create();
    const deployment = new Deployment({
      shape,
      seed,
      basePort: 0,
      latency: true,
      routing,
      session,
    });
    await deployment.start();
    for (const { server } of deployment.upstreams) server.node.applyLagMs = lagMs;
    const latency = new LatencyRecorder();
    const counts: Counts = { reads: 0, writes: 0, missed: 0, refused: 0 };
    const until = performance.now() + Number(this.durationMs);
    const sessions = Array.from({ length: SESSIONS }, (_, index) =>
      this.runSession(deployment, index, until, latency, counts),
    );
    await Promise.all(sessions);
    const [replica, primary] = await servedCounts(deployment);
    const { p50, p99 } = latency.summary();
    printFields(this.context.stdout, 'replicas', {
      shape: shape.name,
      lag_ms: lagMs,
      policy: policy.name,
      session,
      reads: counts.reads,
      on_replicas_pct: round((100 * replica) / Math.max(1, replica + primary - counts.writes)),
      missed: counts.missed,
      refused: counts.refused,
      read_p50_ms: p50,
      read_p99_ms: p99,
      seed,
    });
    await deployment.stop();
  }

  private async runSession(
    deployment: Deployment,
    index: number,
    until: number,
    latency: LatencyRecorder,
    counts: Counts,
  ): Promise<void> {
    const random = new SeededRandom(Number(this.seed) * 100 + index);
    const { groups } = deployment.options.shape;
    const group = groups[index % groups.length] ?? '';
    const port = deployment.hosts[index % deployment.hosts.length]?.callers.port ?? 0;
    const createSocket = (): ReturnType<Deployment['network']['socketFor']> =>
      deployment.network.socketFor({ name: 'agent', az: 'caller' });
    const caller = await Caller.connect({ port, group, createSocket });
    for (let round = 0; performance.now() < until; round += 1) {
      const id = `${index}-${round}`;
      try {
        await caller.query('INSERT INTO notes (id, state) VALUES ($1, $2)', [id, 'open']);
        counts.writes += 1;
      } catch {
        counts.refused += 1;
        continue;
      }
      for (let i = 0; i < READS_PER_WRITE && performance.now() < until; i += 1) {
        await new Promise((resolve) => setTimeout(resolve, random.integer(0, THINK_MS)));
        const sentAt = performance.now();
        try {
          const rows = await caller.query('SELECT state FROM notes WHERE id = $1', [id]);
          latency.record(performance.now() - sentAt);
          counts.reads += 1;
          if (rows.length === 0) counts.missed += 1;
        } catch {
          counts.refused += 1;
        }
      }
    }
    await caller.end();
  }
}

/** Number of statements served by replicas and by primaries, summed over all hosts. */
async function servedCounts(deployment: Deployment): Promise<readonly [number, number]> {
  let replica = 0;
  let primary = 0;
  for (const host of deployment.hosts) {
    const { values } = await host.metrics.statements.get();
    for (const { labels, value } of values) {
      if (labels.served_by === 'replica') replica += value;
      if (labels.served_by === 'primary') primary += value;
    }
  }
  return [replica, primary];
}
