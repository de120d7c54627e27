/**
 * Estimates from what a host knows when a group without a usable primary will have one again. The
 * estimate decides whether a statement waits or is refused immediately, and which retry delay the
 * refusal carries.
 */

/** What a host knows about a group whose primary it can't use; all times are local milliseconds. */
export interface OutageView {
  /** Time since which this host has had no valid proof; undefined while it has one. */
  readonly unprovedSince: number | undefined;
  /**
   * Time at which the claim in force was first observed; undefined while the record names a serving
   * primary.
   */
  readonly claimedAt: number | undefined;
  /** Time since which the primary has been unreachable for this host; undefined while it answers. */
  readonly failingSince: number | undefined;
}

/** Expected durations of the phases of an outage. */
export interface OutageEstimates {
  /**
   * Time from the claim to the record of the next primary, milliseconds; moving average of observed
   * promotions.
   */
  readonly promotionMs: number;
  /**
   * Time from the first failure until the record is claimed or a host that reaches the primary is
   * found, milliseconds.
   */
  readonly suspicionMs: number;
  /** Time within which a missed proof is renewed if this host is not isolated, milliseconds. */
  readonly renewalMs: number;
}

/**
 * Suspicion, 500 ms: 250 ms until the primary is suspected, the queries to the other hosts, and the
 * claim. Renewal, 250 ms: proofs arrive every 300 ms, and a host without one queries others every
 * 180 ms.
 */
export const DEFAULT_OUTAGE_ESTIMATES: Omit<OutageEstimates, 'promotionMs'> = {
  suspicionMs: 500,
  renewalMs: 250,
};

/**
 * Time without a proof from which the host counts as isolated, milliseconds: several renewals have
 * failed by then.
 */
const ISOLATED_AFTER_MS = 1000;
/** Expected remaining time of an isolation, milliseconds: network partitions last for seconds. */
const ISOLATION_MS = 2000;
/**
 * Expected remaining time of a failure that should have led to a claim by now, milliseconds: the
 * store is unavailable, or too few hosts agree.
 */
const UNCLAIMED_MS = 1000;
/** Time until an outage without a known cause is evaluated again, milliseconds: one write hold. */
const UNKNOWN_CAUSE_MS = 200;

/** Local time at which the primary is expected to be usable again. */
export function expectedOutageEnd(
  view: OutageView,
  estimates: OutageEstimates,
  now: number,
): number {
  const { unprovedSince, claimedAt, failingSince } = view;
  const ends: number[] = [];
  if (unprovedSince !== undefined) {
    const remainingMs = now - unprovedSince < ISOLATED_AFTER_MS ? 0 : ISOLATION_MS;
    ends.push(expectedEnd(unprovedSince + estimates.renewalMs, remainingMs, now));
  }
  if (claimedAt !== undefined) {
    ends.push(expectedEnd(claimedAt + estimates.promotionMs, 0, now));
  } else if (failingSince !== undefined) {
    const end = failingSince + estimates.suspicionMs + estimates.promotionMs;
    ends.push(expectedEnd(end, UNCLAIMED_MS, now));
  }
  return ends.length === 0 ? now + UNKNOWN_CAUSE_MS : Math.max(...ends);
}

/**
 * A phase that should have ended at `end` but has not is expected to last for `remainingMs` more,
 * or for as long again as it is overdue.
 */
function expectedEnd(end: number, remainingMs: number, now: number): number {
  return end > now ? end : now + Math.max(remainingMs, now - end);
}

/**
 * Maximum share of a statement's timeout for which it is held, so that enough time remains to run
 * it. A caller that is held until the primary is available is served sooner than one that has to
 * guess when to retry.
 */
const MAX_HOLD_SHARE = 0.75;

/**
 * Whether a statement that arrived at `arrivedAt` should wait until `expectedAt` instead of being
 * refused immediately.
 */
export function shouldHoldStatement(
  expectedAt: number,
  arrivedAt: number,
  timeoutMs: number,
): boolean {
  return expectedAt <= arrivedAt + timeoutMs * MAX_HOLD_SHARE;
}

/** Weight of the latest promotion in the moving average of promotion times. */
const LATEST_WEIGHT = 0.5;

/** The average promotion time after another promotion took `tookMs`. */
export function updatedPromotionMs(promotionMs: number, tookMs: number): number {
  return promotionMs + (tookMs - promotionMs) * LATEST_WEIGHT;
}
