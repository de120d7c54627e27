/**
 * `npm run measure -- failover`: measures how long writes are unavailable after the loss of a primary,
 * for each kind of loss, compared with baselines in the same run.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { SeededRandom } from '@gladespool/coordination';
import { Command, Option } from 'clipanion';
import type { SettingsOverride } from '../embedded/deployment.js';
import { Deployment, until } from '../embedded/deployment.js';
import type { DeploymentShape } from '../embedded/shape.js';
import { HARBORLINE, RAMDIN } from '../embedded/shape.js';
import { Caller } from '../load/caller.js';
import { LatencyRecorder } from '../load/latency-recorder.js';
import { outcomeOfError } from '../load/session-workload.js';
import { Told } from '../history/history.js';
import { printFields } from './print-fields.js';

/** Kinds of loss of a primary. */
export enum Loss {
  Stop = 'stop',
  Hang = 'hang',
  CutFromReplicas = 'cut-from-replicas',
  ZoneCut = 'zone-cut',
}

/** Policies under comparison. */
enum Policy {
  Default = 'default',
  Fast = 'fast',
  /** Baseline: a fixed suspicion time of 10 s, as with a static time-out. */
  Static = 'static-10s',
  /** Baseline: confirms a write when the primary alone has committed it. */
  PrimaryCommit = 'primary-commit',
}

const FAST: SettingsOverride = {
  upstream: { suspect_after_ms: 300, status_interval_ms: 50, status_timeout_ms: 200 },
};
const STATIC: SettingsOverride = { upstream: { suspect_after_ms: 10_000 } };
const SETTINGS: Readonly<Record<Policy, SettingsOverride>> = {
  [Policy.Default]: {},
  [Policy.Fast]: FAST,
  [Policy.Static]: STATIC,
  [Policy.PrimaryCommit]: {},
};
const WRITERS = 6;
const WRITE_DEADLINE_MS = 1000;
const MIN_GAP_MS = 20;
const RECOVERY_TIMEOUT_MS = 60_000;

interface WriteLog {
  readonly row: string;
  readonly told: Told;
  readonly endedAt: number;
}

/** Measures the gap in confirmed writes during a failover. */
export class FailoverCommand extends Command {
  static override paths = [['failover']];

  static override usage = Command.Usage({
    description: 'Gap in which no write is confirmed after the loss of a primary.',
  });

  losses = Option.String('--losses', '20', { description: 'Losses of each kind.' });
  shapeName = Option.String('--shape', RAMDIN.name);
  policies = Option.String('--policies', Object.values(Policy).join(','));
  kinds = Option.String('--kinds', Object.values(Loss).join(','));
  seed = Option.String('--seed', '1');

  async execute(): Promise<number> {
    const shape = this.shapeName === HARBORLINE.name ? HARBORLINE : RAMDIN;
    for (const policy of Object.values(Policy)) {
      if (!this.policies.split(',').includes(policy)) continue;
      for (const kind of Object.values(Loss)) {
        if (this.kinds.split(',').includes(kind)) await this.measure(shape, policy, kind);
      }
    }
    return 0;
  }

  private async measure(shape: DeploymentShape, policy: Policy, kind: Loss): Promise<void> {
    const deployment = new Deployment({
      shape: { ...shape, groups: shape.groups.slice(0, 1) },
      seed: Number(this.seed),
      basePort: 0,
      latency: true,
      settings: SETTINGS[policy],
      ...(policy === Policy.PrimaryCommit ? { acknowledgement: 'primary-commit' } : {}),
    });
    await deployment.start();
    const run = new FailoverRun(deployment, new SeededRandom(Number(this.seed)));
    const gaps = new LatencyRecorder();
    for (let i = 0; i < Number(this.losses); i += 1) gaps.record(await run.measureLoss(kind));
    const lost = await run.finish();
    const { p50, p99, max, count } = gaps.summary();
    printFields(this.context.stdout, 'failover', {
      shape: shape.name,
      policy,
      loss: kind,
      losses: count,
      gap_p50_ms: p50,
      gap_p99_ms: p99,
      gap_max_ms: max,
      confirmed: run.confirmed,
      confirmed_lost: lost,
      promotions: run.promotions,
      seed: this.seed,
    });
    await deployment.stop();
  }
}

/** Runs writers on one deployment and injects losses of its primary. */
class FailoverRun {
  private readonly group: string;
  private readonly log: WriteLog[] = [];
  private stopped = false;
  private readonly writers: Promise<void>[];
  private sequence = 0;

  constructor(
    private readonly deployment: Deployment,
    private readonly random: SeededRandom,
  ) {
    this.group = deployment.options.shape.groups[0] ?? '';
    this.writers = Array.from({ length: WRITERS }, (_, index) => this.runWriter(index));
  }

  get confirmed(): number {
    return this.log.filter((entry) => entry.told === Told.Confirmed).length;
  }

  get promotions(): number {
    return this.deployment.primaryOf(this.group).node.term - 1;
  }

  /**
   * Injects the loss of the primary, waits for a promotion and resumed writes, and heals the fault.
   *
   * @returns longest gap between confirmed writes since the loss, milliseconds
   */
  async measureLoss(kind: Loss): Promise<number> {
    await pause(this.random.integer(200, 400));
    const term = this.deployment.primaryOf(this.group).node.term;
    const lostAt = performance.now();
    const heal = await this.injectLoss(kind);
    await until(() => this.deployment.primaryOf(this.group).node.term > term, RECOVERY_TIMEOUT_MS);
    const resumed = (): boolean => this.confirmationTimesSince(lostAt).length > WRITERS * 3;
    await until(() => resumed() && this.longestGapSince(lostAt) > MIN_GAP_MS, RECOVERY_TIMEOUT_MS);
    const gap = this.longestGapSince(lostAt);
    await heal();
    await until(() => this.hasRecovered(), RECOVERY_TIMEOUT_MS);
    return gap;
  }

  /** Stops the writers; returns the number of confirmed writes that the primary's log lacks. */
  async finish(): Promise<number> {
    this.stopped = true;
    await Promise.all(this.writers);
    await until(() => this.hasRecovered(), RECOVERY_TIMEOUT_MS);
    const rows = new Set<string>();
    for (const entry of this.deployment.primaryOf(this.group).node.entries) {
      for (const change of entry.changes) rows.add(change.key);
    }
    return this.log.filter((entry) => entry.told === Told.Confirmed && !rows.has(entry.row)).length;
  }

  private confirmationTimesSince(since: number): readonly number[] {
    const ended = this.log
      .filter((entry) => entry.told === Told.Confirmed && entry.endedAt >= since)
      .map((entry) => entry.endedAt);
    return ended.sort((a, b) => a - b);
  }

  private longestGapSince(since: number): number {
    let last = since;
    let longest = 0;
    for (const at of this.confirmationTimesSince(since)) {
      longest = Math.max(longest, at - last);
      last = at;
    }
    return longest;
  }

  private hasRecovered(): boolean {
    const nodes = this.deployment.upstreamsOf(this.group).map((server) => server.node);
    const terms = new Set(nodes.map((node) => node.report().received.term));
    return terms.size === 1 && nodes.filter((node) => node.canWrite).length === 1;
  }

  private async injectLoss(kind: Loss): Promise<() => Promise<void>> {
    const { network, options } = this.deployment;
    const server = this.deployment.primaryOf(this.group);
    const { id } = server.node;
    switch (kind) {
      case Loss.Stop:
        await server.stop();
        return () => server.listen();
      case Loss.Hang:
        server.setPaused(true);
        return () => {
          server.setPaused(false);
          return Promise.resolve();
        };
      case Loss.CutFromReplicas: {
        const others = this.deployment.upstreamsOf(this.group).map((other) => other.node.id);
        const cuts = others.filter((other) => other !== id).map((to) => ({ from: id, to }));
        for (const cut of cuts) network.cut(cut);
        return () => {
          for (const cut of cuts) network.heal(cut);
          return Promise.resolve();
        };
      }
      case Loss.ZoneCut: {
        const az = this.deployment.upstreams.find((placed) => placed.server === server)?.az ?? '';
        const others = [...options.shape.zones.filter((zone) => zone !== az), 'platform'];
        network.isolate(az, others);
        return () => {
          network.heal();
          return Promise.resolve();
        };
      }
    }
  }

  private async runWriter(index: number): Promise<void> {
    while (!this.stopped) {
      const hosts = this.deployment.hosts;
      const port = hosts[(index + this.sequence) % hosts.length]?.callers.port ?? 0;
      const caller = await this.connect(port);
      if (caller === undefined) continue;
      await this.writeMany(caller);
      await Promise.race([caller.end().catch(() => undefined), pause(RECONNECT_MS)]);
    }
  }

  private async writeMany(caller: Caller): Promise<void> {
    for (let i = 0; i < WRITES_PER_CONNECTION; i += 1) {
      const succeeded = await this.writeOnce(caller);
      if (!succeeded || this.stopped || caller.ended) return;
    }
  }

  private async connect(port: number): Promise<Caller | undefined> {
    try {
      const createSocket = (): ReturnType<Deployment['network']['socketFor']> =>
        this.deployment.network.socketFor({ name: 'writer', az: 'caller' });
      return await Caller.connect({ port, group: this.group, createSocket });
    } catch {
      await pause(RECONNECT_MS);
      return undefined;
    }
  }

  private async writeOnce(caller: Caller): Promise<boolean> {
    this.sequence += 1;
    const row = `f${this.sequence}`;
    const comment = `/*deadline_ms='${WRITE_DEADLINE_MS}'*/`;
    let told = Told.Confirmed;
    try {
      await caller.query(`INSERT INTO rows (id, owner) VALUES ('${row}', 'w') ${comment}`);
    } catch (error) {
      told = outcomeOfError(error);
    }
    this.log.push({ row, told, endedAt: performance.now() });
    if (told === Told.Confirmed) return true;
    await pause(RECONNECT_MS);
    return false;
  }
}

const WRITES_PER_CONNECTION = 50;
const RECONNECT_MS = 10;
