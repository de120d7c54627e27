/**
 * Seeded random numbers. Every random choice takes a source, so that a run is reproducible.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UNIT_STEPS = 1 << 24;

/** A source of random numbers. */
export interface RandomSource {
  /** Uniform in [0, 1). */
  unit(): number;
  /** Uniform integer from `low` to `high`, both included. */
  integer(low: number, high: number): number;
}

/** Reproducible source of random numbers. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(readonly seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  unit(): number {
    return this.integer(0, UNIT_STEPS - 1) / UNIT_STEPS;
  }

  integer(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }
}
