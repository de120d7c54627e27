/**
 * Keeps a group from flapping: after a promotion more evidence is needed for a while, and attempts
 * back off with jitter.
 */
import type { RandomSource } from '../model/random.js';

/** Bounds of damping. */
export interface DampingRules {
  /** Delay of the first attempt for each step of rank, milliseconds. */
  readonly rankDelayMs: number;
  /** Base of the backoff between attempts, milliseconds. */
  readonly backoffMs: number;
  /** Longest backoff, milliseconds. */
  readonly maxBackoffMs: number;
  /** Time after a promotion in which suspicion must last longer, milliseconds. */
  readonly stabilizationMs: number;
  /** Factor by which it must last longer. */
  readonly stabilizationFactor: number;
}

/** Damping with default settings. */
export const DEFAULT_DAMPING: DampingRules = {
  rankDelayMs: 150,
  backoffMs: 200,
  maxBackoffMs: 3000,
  stabilizationMs: 30_000,
  stabilizationFactor: 2,
};

/** Suspicion time needed at `now`, milliseconds, given the time of the last promotion. */
export function requiredSuspicionMs(
  suspectAfterMs: number,
  lastPromotionAt: number | undefined,
  now: number,
  rules: DampingRules,
): number {
  if (lastPromotionAt === undefined) return suspectAfterMs;
  const calm = now - lastPromotionAt < rules.stabilizationMs;
  return calm ? suspectAfterMs * rules.stabilizationFactor : suspectAfterMs;
}

/** Wait before attempt number `attempt` (0 for the first) of the home with this rank, milliseconds. */
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
