/**
 * The allowance of a workspace: how many operations may start now on all hosts together. One host
 * at a time owns it, as a token bucket that holds the workspace's burst and is refilled at its
 * rate.
 *
 * Load pattern: one workspace sends many times its usual load for seconds, from all zones at once,
 * while hosts join and leave. Operations beyond its limit are refused immediately. Operations
 * within the limit must not be refused because the exact count is unknown, so the refill rate and
 * the capacity of the bucket are raised by shares of the tolerance.
 */
import type { WorkspaceLimit } from '../model/workspace.js';

/** By how much the operators allow a limit to be exceeded. */
export interface LimitTolerance {
  /** Length of each window in which operations are counted, seconds. */
  readonly windowS: number;
  /** Additional operations allowed per window, as a share of the limit of the window. */
  readonly overrun: number;
  /** Additional operations allowed per window beyond that share. */
  readonly slack: number;
}

/** Default: the limit is exact. */
export const NO_TOLERANCE: LimitTolerance = { windowS: 5, overrun: 0, slack: 0 };

/** Share of a window's tolerance that is added to the refill rate. */
const RATE_SHARE = 0.5;
/** Share of the tolerance that is added to the capacity of the bucket. */
const CAPACITY_SHARE = 0.15;
/**
 * Share of the tolerance with which a new owner starts, so that two changes of owner within one
 * window stay within the tolerance. The rest covers operations that hosts admit on their own while
 * they reach no owner.
 */
const INITIAL_SHARE = 0.15;
const MS_PER_SECOND = 1000;

/** State of a bucket at a point in time. */
export interface Allowance {
  /** Operations that may start; none if below one. */
  readonly level: number;
  /** Local time for which the level was computed. */
  readonly at: number;
}

/** Result of a request for operations. */
export interface AllowanceGrant {
  readonly allowance: Allowance;
  /** Operations granted. */
  readonly granted: number;
  /** Time until the next operation will be granted, milliseconds; 0 if one would be granted now. */
  readonly retryAfterMs: number;
}

/** Operations allowed per window beyond rate and burst. */
export function tolerancePerWindow(limit: WorkspaceLimit, tolerance: LimitTolerance): number {
  const { windowS, overrun, slack } = tolerance;
  return (limit.ratePerS * windowS + limit.burst) * overrun + slack;
}

/** Refill rate of the bucket, operations per second. */
function refillRate(limit: WorkspaceLimit, tolerance: LimitTolerance): number {
  return limit.ratePerS + (tolerancePerWindow(limit, tolerance) * RATE_SHARE) / tolerance.windowS;
}

function bucketCapacity(limit: WorkspaceLimit, tolerance: LimitTolerance): number {
  return limit.burst + tolerancePerWindow(limit, tolerance) * CAPACITY_SHARE;
}

/**
 * Initial allowance of a host that becomes the owner; refilled from `since`, which may be in the
 * future. What was granted before is unknown, so the burst is not granted again.
 */
export function initialAllowance(
  limit: WorkspaceLimit,
  tolerance: LimitTolerance,
  since: number,
): Allowance {
  return { level: tolerancePerWindow(limit, tolerance) * INITIAL_SHARE, at: since };
}

/** Grants up to `wanted` operations at `now`; a lowered limit takes effect immediately. */
export function grantOperations(
  allowance: Allowance,
  limit: WorkspaceLimit,
  tolerance: LimitTolerance,
  wanted: number,
  now: number,
): AllowanceGrant {
  const ratePerS = refillRate(limit, tolerance);
  const refilled = ((now - allowance.at) / MS_PER_SECOND) * ratePerS;
  const level = Math.min(allowance.level + Math.max(0, refilled), bucketCapacity(limit, tolerance));
  const granted = Math.min(wanted, Math.max(0, Math.floor(level)));
  const remaining = level - granted;
  const retryAfterMs = remaining >= 1 ? 0 : msUntilNext(remaining, ratePerS);
  return {
    allowance: { level: remaining, at: Math.max(now, allowance.at) },
    granted,
    retryAfterMs,
  };
}

/** Longest retry delay returned to callers, milliseconds; a rate of 0 never grants anything. */
const MAX_RETRY_AFTER_MS = 10_000;

function msUntilNext(level: number, ratePerS: number): number {
  if (ratePerS <= 0) return MAX_RETRY_AFTER_MS;
  const waitMs = ((1 - level) / ratePerS) * MS_PER_SECOND;
  return Math.max(1, Math.round(Math.min(waitMs, MAX_RETRY_AFTER_MS)));
}
