/**
 * The allowance of a workspace: how many operations may begin now, over all hosts together. One host
 * at a time keeps it: a token bucket that holds the workspace's burst and is filled at its rate.
 *
 * Load pattern: one workspace sends many times its usual for seconds, from all zones at once, while
 * hosts come and go. What it sends beyond its limit is refused at once; what lies below is not refused
 * for want of exact knowledge, so the bucket is filled and holds more, by parts of the tolerance.
 */
import type { WorkspaceLimit } from '../model/workspace.js';

/** By how much a limit may be overrun, as the operators allow it. */
export interface LimitTolerance {
  /** Length of every span in which operations are counted, seconds. */
  readonly windowS: number;
  /** Part of a window's operations that may be run on top. */
  readonly overrun: number;
  /** Operations that may be run on top of that. */
  readonly slack: number;
}

/** Assumed where the settings tell nothing: the limit is exact. */
export const NO_TOLERANCE: LimitTolerance = { windowS: 5, overrun: 0, slack: 0 };

/** Part of a window's tolerance by which the bucket is filled faster. */
const RATE_SHARE = 0.5;
/** Part of the tolerance that the bucket holds on top of the burst. */
const BUCKET_SHARE = 0.15;
/**
 * Part of the tolerance with which another keeper begins, so that two changes of the keeper in one window
 * stay within it. The rest is for operations that hosts admit on their own while they reach no keeper.
 */
const BEGIN_SHARE = 0.15;
const MS_PER_SECOND = 1000;

/** A bucket at some time. */
export interface Allowance {
  /** Operations that may begin; below one, none. */
  readonly level: number;
  /** Local time of the level. */
  readonly at: number;
}

/** What became of a question for operations. */
export interface AllowanceGrant {
  readonly allowance: Allowance;
  /** Operations granted. */
  readonly granted: number;
  /** When the next operation will be granted, milliseconds from now; 0 when one would be now. */
  readonly retryAfterMs: number;
}

/** Operations that may be run in a window beyond rate and burst. */
export function tolerancePerWindow(limit: WorkspaceLimit, tolerance: LimitTolerance): number {
  const { windowS, overrun, slack } = tolerance;
  return (limit.ratePerS * windowS + limit.burst) * overrun + slack;
}

/** Operations a second by which the bucket is filled. */
function rateOf(limit: WorkspaceLimit, tolerance: LimitTolerance): number {
  return limit.ratePerS + (tolerancePerWindow(limit, tolerance) * RATE_SHARE) / tolerance.windowS;
}

function capacityOf(limit: WorkspaceLimit, tolerance: LimitTolerance): number {
  return limit.burst + tolerancePerWindow(limit, tolerance) * BUCKET_SHARE;
}

/**
 * Allowance with which a host begins whose rate counts from `since`, which may lie ahead. What was granted
 * before is not known, so the burst is not granted once more.
 */
export function initialAllowance(
  limit: WorkspaceLimit,
  tolerance: LimitTolerance,
  since: number,
): Allowance {
  return { level: tolerancePerWindow(limit, tolerance) * BEGIN_SHARE, at: since };
}

/** Grants up to `wanted` operations at `now`; a limit that was lowered counts at once. */
export function grantOperations(
  allowance: Allowance,
  limit: WorkspaceLimit,
  tolerance: LimitTolerance,
  wanted: number,
  now: number,
): AllowanceGrant {
  const ratePerS = rateOf(limit, tolerance);
  const gained = ((now - allowance.at) / MS_PER_SECOND) * ratePerS;
  const level = Math.min(allowance.level + Math.max(0, gained), capacityOf(limit, tolerance));
  const granted = Math.min(wanted, Math.max(0, Math.floor(level)));
  const left = level - granted;
  const retryAfterMs = left >= 1 ? 0 : waitForOne(left, ratePerS);
  return { allowance: { level: left, at: Math.max(now, allowance.at) }, granted, retryAfterMs };
}

/** Longest wait that is told to callers, milliseconds; a rate of nothing never grants anything. */
const MAX_WAIT_MS = 10_000;

function waitForOne(level: number, ratePerS: number): number {
  if (ratePerS <= 0) return MAX_WAIT_MS;
  const waitMs = ((1 - level) / ratePerS) * MS_PER_SECOND;
  return Math.max(1, Math.round(Math.min(waitMs, MAX_WAIT_MS)));
}
