/**
 * Stateful wrapper of a retry budget.
 */
import type { RetryBudget, RetryBudgetRules } from './retry-budget.js';
import { afterRequest, afterRetry, fullBudget } from './retry-budget.js';

/** Grants retries within a budget. */
export class RetryLimiter {
  private budget: RetryBudget;

  constructor(private readonly rules: RetryBudgetRules) {
    this.budget = fullBudget(rules);
  }

  /** Adds a request's share of a token. */
  recordRequest(): void {
    this.budget = afterRequest(this.budget, this.rules);
  }

  /** Takes a token for a retry; returns false if none is left. */
  tryAcquire(): boolean {
    const next = afterRetry(this.budget);
    if (next !== undefined) this.budget = next;
    return next !== undefined;
  }
}
