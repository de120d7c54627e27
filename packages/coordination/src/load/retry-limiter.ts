/**
 * A retry budget in use: counts requests and grants retries.
 */
import type { RetryBudget, RetryBudgetRules } from './retry-budget.js';
import { afterRequest, afterRetry, fullBudget } from './retry-budget.js';

/** Grants retries within a budget. */
export class RetryLimiter {
  private budget: RetryBudget;

  constructor(private readonly rules: RetryBudgetRules) {
    this.budget = fullBudget(rules);
  }

  /** Notes a request. */
  recordRequest(): void {
    this.budget = afterRequest(this.budget, this.rules);
  }

  /** Whether one more retry is allowed; counts it if so. */
  tryAcquire(): boolean {
    const next = afterRetry(this.budget);
    if (next !== undefined) this.budget = next;
    return next !== undefined;
  }
}
