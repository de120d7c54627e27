/**
 * Limits retries to a share of the traffic, so that a fault does not multiply the load.
 */

/** Remaining tokens; each retry takes one. */
export interface RetryBudget {
  readonly tokens: number;
}

/** Parameters of a budget. */
export interface RetryBudgetRules {
  /** Retries allowed per request, on average. */
  readonly share: number;
  /** Maximum number of tokens: retries allowed in a burst. */
  readonly burst: number;
}

/** One retry per five requests, bursts of fifty. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetRules = { share: 0.2, burst: 50 };

/** A full budget. */
export function fullBudget(rules: RetryBudgetRules): RetryBudget {
  return { tokens: rules.burst };
}

/** Budget after another request. */
export function afterRequest(budget: RetryBudget, rules: RetryBudgetRules): RetryBudget {
  return { tokens: Math.min(rules.burst, budget.tokens + rules.share) };
}

/** Budget after a retry; undefined if no token is left. */
export function afterRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens < 1 ? undefined : { tokens: budget.tokens - 1 };
}
