/**
 * Closed-loop load: each caller sends its next request when it has the reply to the previous one.
 */
import type { LatencySummary } from './latency-recorder.js';
import { LatencyRecorder, round } from './latency-recorder.js';

/** Options of a loop. */
export interface ClosedLoopOptions {
  readonly callers: number;
  readonly durationMs: number;
  /** Sends one request of a caller; resolves to false when the request was refused. */
  readonly request: (caller: number, sequence: number) => Promise<boolean>;
}

/** Result of a loop. */
export interface ClosedLoopResult {
  readonly latency: LatencySummary;
  /** Answered requests per second. */
  readonly rate: number;
  readonly refused: number;
  /** CPU time of this process per answered request, milliseconds. */
  readonly cpuMs: number;
}

/** Runs the load and summarizes latency, rate, refusals and CPU time. */
export async function runClosedLoop(options: ClosedLoopOptions): Promise<ClosedLoopResult> {
  const recorder = new LatencyRecorder();
  const startedAt = performance.now();
  const cpuBefore = process.cpuUsage();
  let refused = 0;
  let sequence = 0;
  const work = async (caller: number): Promise<void> => {
    while (performance.now() - startedAt < options.durationMs) {
      sequence += 1;
      const sentAt = performance.now();
      const answered = await options.request(caller, sequence);
      if (answered) recorder.record(performance.now() - sentAt);
      else refused += 1;
    }
  };
  await Promise.all(Array.from({ length: options.callers }, (_, caller) => work(caller)));
  const seconds = (performance.now() - startedAt) / 1000;
  const cpu = process.cpuUsage(cpuBefore);
  const latency = recorder.summary();
  const cpuMs = round((cpu.user + cpu.system) / 1000 / Math.max(1, latency.count));
  return { latency, rate: Math.round(latency.count / seconds), refused, cpuMs };
}
