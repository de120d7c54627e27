/**
 * `npm run measure -- overload`: measures goodput and latency at 0.5 to 10 times capacity, compared with
 * an unbounded queue and a fixed limit in the same run, and the recovery when load drops.
 */
import { Command, Option } from 'clipanion';
import { Deployment } from '../embedded/deployment.js';
import { RAMDIN } from '../embedded/shape.js';
import { Caller } from '../load/caller.js';
import { LatencyRecorder, round } from '../load/latency-recorder.js';
import { printFields } from './print-fields.js';
import { summarizeError } from './error-summary.js';

/** An overload policy. */
interface OverloadPolicy {
  readonly name: string;
  readonly maxWaiting: number;
  /** Deadline in the SQL comment of each request; the baselines do not know the callers' time-out. */
  readonly deadlineMs: number;
}

const CALLER_TIMEOUT_MS = 500;
const SERVICE_MS = 20;
const CALLERS = 600;
const GROUP = 'ledger1';
const FACTORS = [0.5, 1, 2, 5, 10];
const RECOVERY_FACTOR = 0.5;
const POLICIES: readonly OverloadPolicy[] = [
  { name: 'deadline-aware', maxWaiting: 1000, deadlineMs: CALLER_TIMEOUT_MS },
  { name: 'unbounded-queue', maxWaiting: 100_000, deadlineMs: 60_000 },
  { name: 'fixed-limit', maxWaiting: 4, deadlineMs: 60_000 },
];

/** Measures behaviour under overload by policy. */
export class OverloadCommand extends Command {
  static override paths = [['overload']];

  static override usage = Command.Usage({
    description: 'Goodput, p99 and refusals at several times capacity, by policy.',
  });

  durationMs = Option.String('--duration-ms', '5000');
  seed = Option.String('--seed', '1');

  async execute(): Promise<number> {
    for (const policy of POLICIES) await this.measure(policy);
    return 0;
  }

  private async measure(policy: OverloadPolicy): Promise<void> {
    const shape = {
      ...RAMDIN,
      zones: ['az1'],
      hostsPerZone: 1,
      groups: [GROUP],
      connectionsPerUpstream: 25,
    };
    const deployment = new Deployment({
      shape,
      seed: Number(this.seed),
      basePort: 0,
      latency: false,
      settings: { caller: { max_waiting: policy.maxWaiting } },
    });
    await deployment.start();
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    const port = deployment.hosts[0]?.callers.port ?? 0;
    const opening = Array.from({ length: CALLERS }, () => Caller.connect({ port, group: GROUP }));
    const callers = await Promise.all(opening);
    await this.measureCapacity(callers);
    const capacity = await this.measureCapacity(callers);
    for (const factor of [...FACTORS, RECOVERY_FACTOR]) {
      await this.offerLoad(callers, policy, factor, capacity);
    }
    await Promise.all(callers.map((caller) => caller.end()));
    await deployment.stop();
  }

  /** Measures capacity in requests per second: a few callers keep every connection busy. */
  private async measureCapacity(callers: readonly Caller[]): Promise<number> {
    const until = performance.now() + Number(this.durationMs) / 2;
    let count = 0;
    const busy = callers.slice(0, CAPACITY_CALLERS).map(async (caller) => {
      while (performance.now() < until) {
        const sql = `SELECT pg_sleep(${SERVICE_MS / 1000}) /*deadline_ms='60000'*/`;
        const answered = await caller.query(sql).then(
          () => true,
          () => false,
        );
        if (answered) count += 1;
      }
    });
    await Promise.all(busy);
    return count / (Number(this.durationMs) / 2000);
  }

  /**
   * Offers open-loop load: sends at a fixed rate regardless of replies, each request on a caller without
   * one in flight. A request for which no caller is free counts as unsent.
   */
  private async offerLoad(
    callers: readonly Caller[],
    policy: OverloadPolicy,
    factor: number,
    capacity: number,
  ): Promise<void> {
    const free = [...callers];
    const accepted = new LatencyRecorder();
    const refusals = new Map<string, number>();
    const counts = { offered: 0, good: 0, late: 0, unsent: 0 };
    const running: Promise<void>[] = [];
    const startedAt = performance.now();
    const durationMs = Number(this.durationMs);
    const intervalMs = 1000 / (capacity * factor);
    for (let next = startedAt; next < startedAt + durationMs; next += intervalMs) {
      const wait = next - performance.now();
      if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
      counts.offered += 1;
      const caller = free.pop();
      if (caller === undefined) {
        counts.unsent += 1;
        continue;
      }
      const sentAt = performance.now();
      const sql = `SELECT pg_sleep(${SERVICE_MS / 1000}) /*deadline_ms='${policy.deadlineMs}'*/`;
      const request = caller.query(sql).then(
        () => {
          const latency = performance.now() - sentAt;
          accepted.record(latency);
          if (latency <= CALLER_TIMEOUT_MS) counts.good += 1;
          else counts.late += 1;
        },
        (error: unknown) => {
          const summary = summarizeError(error);
          refusals.set(summary, (refusals.get(summary) ?? 0) + 1);
        },
      );
      running.push(request.finally(() => free.push(caller)));
    }
    await Promise.all(running);
    const drainedMs = performance.now() - startedAt - durationMs;
    const { p50, p99, max } = accepted.summary();
    printFields(this.context.stdout, 'overload', {
      policy: policy.name,
      factor,
      capacity: Math.round(capacity),
      offered: counts.offered,
      goodput_s: Math.round(counts.good / (durationMs / 1000)),
      late: counts.late,
      unsent: counts.unsent,
      accepted_p50_ms: p50,
      accepted_p99_ms: p99,
      accepted_max_ms: max,
      refused: JSON.stringify(Object.fromEntries(refusals)),
      drained_ms: round(Math.max(0, drainedMs)),
    });
  }
}

/** Equals the number of connections of the home, so that no policy refuses a request. */
const CAPACITY_CALLERS = 10;
const SETTLE_MS = 6000;
