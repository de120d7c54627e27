/**
 * Records the latencies of one run in an HDR histogram with microsecond resolution.
 */
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

const MICROS_PER_MS = 1000;
const HIGHEST_MICROS = 600_000_000;

/** Number of recorded latencies, and percentiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Records latencies from 1 µs to 10 minutes with three significant digits. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROS,
    numberOfSignificantValueDigits: 3,
  });

  /** Records one latency in milliseconds; values out of range are clamped. */
  record(ms: number): void {
    this.histogram.recordValue(
      Math.min(HIGHEST_MICROS, Math.max(1, Math.round(ms * MICROS_PER_MS))),
    );
  }

  summary(): LatencySummary {
    const at = (percentile: number): number =>
      round(this.histogram.getValueAtPercentile(percentile) / MICROS_PER_MS);
    const max = round(this.histogram.maxValue / MICROS_PER_MS);
    return { count: this.histogram.totalCount, p50: at(50), p99: at(99), max };
  }
}

/** Rounds to two decimals. */
export function round(value: number): number {
  return Math.round(value * 100) / 100;
}
