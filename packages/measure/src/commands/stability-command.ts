/**
 * `npm run measure -- stability`: counts unnecessary promotions at several suspicion times, under delay
 * spikes and pauses too short to count as the loss of a primary.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { SeededRandom } from '@gladespool/coordination';
import { Command, Option } from 'clipanion';
import { Deployment } from '../embedded/deployment.js';
import { RAMDIN } from '../embedded/shape.js';
import { Caller } from '../load/caller.js';
import { LatencyRecorder } from '../load/latency-recorder.js';
import { printFields } from './print-fields.js';

const GROUP = 'ledger1';
const WRITERS = 6;
const SPIKE_PROBABILITY = 0.05;
const SPIKE_MS = [50, 250] as const;
const PAUSE_MS = [50, 200] as const;
const SUSPECT_AFTER_MS = [100, 300, 1000];

/** Measures false promotions by suspicion time. */
export class StabilityCommand extends Command {
  static override paths = [['stability']];

  static override usage = Command.Usage({
    description: 'Promotions under 5 % delay spikes and short pauses, with no primary lost.',
  });

  durationMs = Option.String('--duration-ms', '60000');
  seed = Option.String('--seed', '1');

  async execute(): Promise<number> {
    await Promise.all(SUSPECT_AFTER_MS.map((ms) => this.measure(ms)));
    return 0;
  }

  private async measure(suspectAfterMs: number): Promise<void> {
    const random = new SeededRandom(Number(this.seed));
    const deployment = new Deployment({
      shape: { ...RAMDIN, groups: [GROUP] },
      seed: Number(this.seed),
      basePort: 0,
      latency: true,
      settings: { upstream: { suspect_after_ms: suspectAfterMs, status_interval_ms: 50 } },
    });
    await deployment.start();
    const baseLatency = deployment.network.latency;
    deployment.network.latency = (from, to) => {
      const spike = random.unit() < SPIKE_PROBABILITY ? random.integer(...SPIKE_MS) : 0;
      return baseLatency(from, to) + spike;
    };
    const until = performance.now() + Number(this.durationMs);
    const latency = new LatencyRecorder();
    const writers = Array.from({ length: WRITERS }, (_, index) =>
      this.runWriter(deployment, index, until, latency),
    );
    const pauses = await this.pauseUpstreams(deployment, random, until);
    await Promise.all(writers);
    const { count, p50, p99 } = latency.summary();
    printFields(this.context.stdout, 'stability', {
      suspect_after_ms: suspectAfterMs,
      seconds: Number(this.durationMs) / 1000,
      pauses,
      false_promotions: deployment.primaryOf(GROUP).node.term - 1,
      confirmed: count,
      write_p50_ms: p50,
      write_p99_ms: p99,
      seed: this.seed,
    });
    await deployment.stop();
  }

  private async runWriter(
    deployment: Deployment,
    index: number,
    until: number,
    latency: LatencyRecorder,
  ): Promise<void> {
    const port = deployment.hosts[index]?.callers.port ?? 0;
    const caller = await Caller.connect({ port, group: GROUP });
    for (let i = 0; performance.now() < until; i += 1) {
      const sentAt = performance.now();
      const sql = `INSERT INTO deeds (id, state) VALUES ('${index}-${i}', 'x')`;
      const confirmed = await caller.query(sql).then(
        () => true,
        () => false,
      );
      if (confirmed) latency.record(performance.now() - sentAt);
    }
    await caller.end();
  }

  private async pauseUpstreams(
    deployment: Deployment,
    random: SeededRandom,
    until: number,
  ): Promise<number> {
    let pauses = 0;
    while (performance.now() < until) {
      await pause(random.integer(500, 1500));
      const servers = deployment.upstreamsOf(GROUP);
      const server = servers[random.integer(0, servers.length - 1)];
      server?.setPaused(true);
      await pause(random.integer(...PAUSE_MS));
      server?.setPaused(false);
      pauses += 1;
    }
    return pauses;
  }
}
