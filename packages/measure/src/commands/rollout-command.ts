/**
 * `npm run measure -- rollout`: measures the time until a bundle is in force on every reachable host,
 * with a healthy store, a slow store, a store outage, and a partitioned zone.
 */
import { StoreFault } from '@gladespool/standins';
import { Command, Option } from 'clipanion';
import { Deployment, until } from '../embedded/deployment.js';
import { RAMDIN } from '../embedded/shape.js';
import { LatencyRecorder, round } from '../load/latency-recorder.js';
import { printFields } from './print-fields.js';

/** Conditions under which a rollout is measured. */
enum Condition {
  Healthy = 'healthy',
  Slow = 'store-slow-2s',
  /** The store becomes unavailable just after the head is written, before relays can read the parts. */
  OutAfterPublish = 'store-out-after-publish',
  ZoneCut = 'zone-cut',
}

const TIMEOUT_MS = 120_000;
const CUT_ZONE = 'az3';

/** Measures rollout times by condition. */
export class RolloutCommand extends Command {
  static override paths = [['rollout']];

  static override usage = Command.Usage({
    description: 'Time until a bundle is in force everywhere, by condition of store and zones.',
  });

  hostsPerZone = Option.String('--hosts-per-zone', '3');
  rounds = Option.String('--rounds', '10');
  outageMs = Option.String('--outage-ms', '60000');

  async execute(): Promise<number> {
    const shape = { ...RAMDIN, hostsPerZone: Number(this.hostsPerZone) };
    const deployment = new Deployment({ shape, seed: 1, basePort: 0, latency: true });
    await deployment.start();
    for (const condition of Object.values(Condition)) await this.measure(deployment, condition);
    await deployment.stop();
    return 0;
  }

  private async measure(deployment: Deployment, condition: Condition): Promise<void> {
    const times = new LatencyRecorder();
    const isOutage = condition === Condition.OutAfterPublish;
    const rounds = isOutage ? 1 : Number(this.rounds);
    for (let i = 0; i < rounds; i += 1)
      times.record(await this.measureRollout(deployment, condition));
    const { count, p50, p99, max } = times.summary();
    printFields(this.context.stdout, 'rollout', {
      condition,
      hosts: deployment.hosts.length,
      rounds: count,
      p50_ms: p50,
      p99_ms: p99,
      max_ms: max,
      outage_ms: isOutage ? Number(this.outageMs) : undefined,
    });
  }

  private async measureRollout(deployment: Deployment, condition: Condition): Promise<number> {
    const { store, network } = deployment;
    if (condition === Condition.Slow) {
      store.slowMs = 1900;
      store.setFault(StoreFault.Slow);
    }
    if (condition === Condition.ZoneCut) network.isolate(CUT_ZONE, ['az1', 'az2', 'platform']);
    await deployment.publish(deployment.bundleText({}));
    const publishedAt = performance.now();
    if (condition === Condition.OutAfterPublish) {
      store.setFault(StoreFault.Down);
      setTimeout(() => {
        store.setFault(StoreFault.None);
      }, Number(this.outageMs));
    }
    const reachable = deployment.hosts.filter(
      (host) => condition !== Condition.ZoneCut || String(host.board.az) !== CUT_ZONE,
    );
    await this.waitUntilInForce(deployment, reachable);
    const elapsed = performance.now() - publishedAt;
    store.setFault(StoreFault.None);
    if (condition === Condition.ZoneCut) await this.measureRejoin(deployment);
    return elapsed;
  }

  private async measureRejoin(deployment: Deployment): Promise<void> {
    const healedAt = performance.now();
    deployment.network.heal();
    await this.waitUntilInForce(deployment, deployment.hosts);
    const ms = round(performance.now() - healedAt);
    printFields(this.context.stdout, 'rejoin', { zone: CUT_ZONE, ms });
  }

  private waitUntilInForce(deployment: Deployment, hosts: Deployment['hosts']): Promise<void> {
    const version = deployment.publishedVersion;
    return until(() => hosts.every((host) => host.bundle.inForce >= version), TIMEOUT_MS);
  }
}
