/**
 * `npm run measure -- control`: measures the slopes used in docs/CAPACITY.md: the cost of control traffic
 * per host as homes and hosts of a zone grow, and the cost of a bundle as its groups grow.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { readBundle, splitBundle } from '@gladespool/protocol';
import type { Bundle } from '@gladespool/protocol';
import { Command, Option } from 'clipanion';
import { stringify } from 'ini';
import { Deployment } from '../embedded/deployment.js';
import { RAMDIN } from '../embedded/shape.js';
import { round } from '../load/latency-recorder.js';
import { printFields } from './print-fields.js';

/** Size of a deployment that is measured without load. */
interface IdleSize {
  readonly zones: number;
  readonly hostsPerZone: number;
  readonly groups: number;
}

const BUNDLE_SIZES = [10, 100, 1000, 3800];
const SETTLE_MS = 6000;
const REPEATS = 5;
const REGIONS = 7;
const ZONES_OF_REGION = 3;

/** Measures CPU time, memory and traffic of control. */
export class ControlCommand extends Command {
  static override paths = [['control']];

  static override usage = Command.Usage({
    description: 'Processor time, memory and bytes of control by homes, hosts and groups.',
  });

  sizes = Option.String('--sizes', '1x6x1,1x6x12,1x6x24,1x12x1,1x24x1,1x48x1,1x96x1', {
    description: 'ZONESxHOSTSxGROUPS, joined by commas.',
  });

  durationMs = Option.String('--duration-ms', '15000');
  bundles = Option.Boolean('--bundles', true);

  async execute(): Promise<number> {
    if (this.bundles) for (const groups of BUNDLE_SIZES) this.measureBundle(groups);
    for (const text of this.sizes.split(',').filter((size) => size !== '')) {
      const [zones = 1, hostsPerZone = 1, groups = 1] = text.split('x').map(Number);
      await this.measureIdle({ zones, hostsPerZone, groups });
    }
    return 0;
  }

  private measureBundle(groups: number): void {
    const text = stringify(createBundleContents(groups));
    const startedAt = performance.now();
    let bundle: Bundle | undefined;
    for (let i = 0; i < REPEATS; i += 1) bundle = readBundle('measure', text)._unsafeUnwrap();
    const readMs = (performance.now() - startedAt) / REPEATS;
    if (bundle === undefined) return;
    const splitAt = performance.now();
    const { parts, manifest } = splitBundle(bundle);
    const splitMs = performance.now() - splitAt;
    const sizes = parts.map((part) => part.text.length);
    printFields(this.context.stdout, 'bundle', {
      groups,
      text_kb: round(text.length / 1024),
      read_ms: round(readMs),
      split_ms: round(splitMs),
      parts: parts.length,
      manifest_kb: round(manifest.length / 1024),
      part_mean_kb: round(sizes.reduce((sum, size) => sum + size, 0) / sizes.length / 1024),
      part_max_kb: round(Math.max(...sizes) / 1024),
    });
  }

  private async measureIdle(size: IdleSize): Promise<void> {
    const zones = Array.from({ length: size.zones }, (_, index) => `az${index + 1}`);
    const groups = Array.from({ length: size.groups }, (_, index) => `g${index}`);
    const shape = { ...RAMDIN, zones, hostsPerZone: size.hostsPerZone, groups };
    const deployment = new Deployment({ shape, seed: 1, basePort: 0, latency: false });
    await deployment.start();
    await pause(SETTLE_MS);
    const before = await this.sample(deployment);
    const startedAt = performance.now();
    await pause(Number(this.durationMs));
    const after = await this.sample(deployment);
    const seconds = (performance.now() - startedAt) / 1000;
    const hosts = deployment.hosts.length;
    const homes = deployment.hosts.reduce((sum, host) => sum + host.homes.held.length, 0);
    const perHost = (value: number): number => round(value / seconds / hosts);
    printFields(this.context.stdout, 'control', {
      zones: size.zones,
      hosts,
      groups: size.groups,
      homes_per_host: round(homes / hosts),
      cpu_pct_per_host: round((100 * (after.cpuMs - before.cpuMs)) / 1000 / seconds / hosts),
      peer_bytes_s: perHost(after.peerBytes - before.peerBytes),
      upstream_bytes_s: perHost(after.upstreamBytes - before.upstreamBytes),
      heap_mb_per_host: round(after.heapMb / hosts),
      store_calls_s: round((after.storeCalls - before.storeCalls) / seconds),
      store_watches: deployment.store.state.watchCount,
    });
    await deployment.stop();
  }

  private async sample(deployment: Deployment): Promise<ControlSample> {
    const { user, system } = process.cpuUsage();
    const { reads, writes } = deployment.store.calls;
    const bytes = { peers: 0, upstreams: 0 };
    for (const host of deployment.hosts) {
      const { values } = await host.metrics.controlBytes.get();
      for (const { labels, value } of values) {
        if (labels.traffic === 'peers') bytes.peers += value;
        if (labels.traffic === 'upstreams') bytes.upstreams += value;
      }
    }
    return {
      cpuMs: (user + system) / 1000,
      peerBytes: bytes.peers,
      upstreamBytes: bytes.upstreams,
      heapMb: process.memoryUsage().heapUsed / 1024 / 1024,
      storeCalls: reads + writes,
    };
  }
}

interface ControlSample {
  readonly cpuMs: number;
  readonly peerBytes: number;
  readonly upstreamBytes: number;
  readonly heapMb: number;
  readonly storeCalls: number;
}

/** Contents of a bundle whose groups are spread over seven regions with three zones each. */
function createBundleContents(groups: number): object {
  const key = Buffer.alloc(32).toString('base64');
  const group: Record<string, object> = {};
  const upstream: Record<string, Record<string, object>> = {};
  for (let i = 0; i < groups; i += 1) {
    const name = `ledger${i}`;
    group[name] = { connections_per_upstream: 25 };
    const region = i % REGIONS;
    upstream[name] = {};
    for (let zone = 0; zone < ZONES_OF_REGION; zone += 1) {
      const az = `r${region}az${zone}`;
      upstream[name][`${name}-u${zone}`] = { az, address: '10.20.30.40', port: 5432 };
    }
  }
  const bundle = { version: 1, base: 0, threshold: 1 };
  return { bundle, operator: { alice: { key } }, group, upstream };
}
