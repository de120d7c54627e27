/**
 * Bounds retries to a share of traffic, so that a fault is not answered by a multiple of the load.
 */

/** Tokens left; each retry takes one. */
export interface RetryBudget {
  readonly tokens: number;
}

/** Bounds of a budget. */
export interface RetryBudgetRules {
  /** Retries allowed for each request, on average. */
  readonly share: number;
  /** Tokens held at most: retries allowed in a burst. */
  readonly burst: number;
}

/** One retry for five requests, bursts of fifty. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetRules = { share: 0.2, burst: 50 };

/** A full budget. */
export function fullBudget(rules: RetryBudgetRules): RetryBudget {
  return { tokens: rules.burst };
}

/** Budget after one more request arrived. */
export function afterRequest(budget: RetryBudget, rules: RetryBudgetRules): RetryBudget {
  return { tokens: Math.min(rules.burst, budget.tokens + rules.share) };
}

/** Budget after a retry; undefined when none is left. */
export function afterRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens < 1 ? undefined : { tokens: budget.tokens - 1 };
}
