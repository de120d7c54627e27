/**
 * Flap damping: after a promotion, a suspicion has to last longer for a while before it leads to
 * another one, and attempts back off with jitter.
 */
import type { RandomSource } from '../model/random.js';

/** Parameters of flap damping. */
export interface DampingRules {
  /** Delay of the first attempt per rank, milliseconds. */
  readonly rankDelayMs: number;
  /** Base of the backoff between attempts, milliseconds. */
  readonly backoffMs: number;
  /** Longest backoff, milliseconds. */
  readonly maxBackoffMs: number;
  /** Time after a promotion during which a suspicion must last longer, milliseconds. */
  readonly stabilizationMs: number;
  /** Factor by which it must last longer in that time. */
  readonly stabilizationFactor: number;
}

/** Default parameters. */
export const DEFAULT_DAMPING: DampingRules = {
  rankDelayMs: 150,
  backoffMs: 200,
  maxBackoffMs: 3000,
  stabilizationMs: 30_000,
  stabilizationFactor: 2,
};

/** Time for which a suspicion has to last at `now`, milliseconds, given the time of the last promotion. */
export function requiredSuspicionMs(
  suspectAfterMs: number,
  lastPromotionAt: number | undefined,
  now: number,
  rules: DampingRules,
): number {
  if (lastPromotionAt === undefined) return suspectAfterMs;
  const isStabilizing = now - lastPromotionAt < rules.stabilizationMs;
  return isStabilizing ? suspectAfterMs * rules.stabilizationFactor : suspectAfterMs;
}

/** Delay before attempt number `attempt` (from 0) of the home with this rank, milliseconds. */
export function attemptDelayMs(
  attempt: number,
  rank: number,
  rules: DampingRules,
  random: RandomSource,
): number {
  const byRank = rank * rules.rankDelayMs;
  if (attempt === 0) return byRank;
  const cap = Math.min(rules.maxBackoffMs, rules.backoffMs * 2 ** (attempt - 1));
  return byRank + cap / 2 + random.unit() * (cap / 2);
}
