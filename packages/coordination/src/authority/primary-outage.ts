/**
 * When a group that has no usable primary is expected to have one again, from what a host knows. The
 * expectation decides whether a statement waits or is refused at once, and what the refusal says of
 * coming back.
 */

/** What a host knows of a group that it can't use the primary of; all times are local milliseconds. */
export interface OutageView {
  /** Since when this host has had no valid proof; undefined while it has one. */
  readonly unprovedSince: number | undefined;
  /** When the claim in force was first seen; undefined while the record says that a primary serves. */
  readonly claimedAt: number | undefined;
  /** Since when the primary has failed this host; undefined while it answers. */
  readonly failingSince: number | undefined;
}

/** How long the parts of a gap take. */
export interface OutageEstimates {
  /** Usual time from the claim to the record of the next primary, milliseconds; observed. */
  readonly promotionMs: number;
  /** Time from the first failure until the primary is claimed, or a host is found that reaches it, milliseconds. */
  readonly suspicionMs: number;
  /** Time within which a proof that was missed is renewed if this host is not cut off, milliseconds. */
  readonly renewalMs: number;
}

/**
 * 500 ms: 250 ms of suspicion, the question to the other hosts, and the claim. 250 ms: proofs come
 * every 300 ms, and a host without one asks others every 180 ms.
 */
export const DEFAULT_OUTAGE_ESTIMATES: Omit<OutageEstimates, 'promotionMs'> = {
  suspicionMs: 500,
  renewalMs: 250,
};

/** Age from which a lost proof is known to be no passing matter, milliseconds: several renewals failed. */
const CUT_OFF_MS = 1000;
/** Expected rest of such a cut, milliseconds: cuts last for seconds. */
const CUT_MS = 2000;
/**
 * Expected rest of a failure that should have led to a claim by now, milliseconds: the store is away, or
 * too few hosts agree.
 */
const UNCLAIMED_MS = 1000;
/** Time until a gap without a visible cause is looked at again, milliseconds: one write hold. */
const UNKNOWN_CAUSE_MS = 200;

/** Local time at which the primary is expected to be usable again. */
export function expectedOutageEnd(view: OutageView, pace: OutageEstimates, now: number): number {
  const { unprovedSince, claimedAt, failingSince } = view;
  const ends: number[] = [];
  if (unprovedSince !== undefined) {
    const restMs = now - unprovedSince < CUT_OFF_MS ? 0 : CUT_MS;
    ends.push(unlessOverdue(unprovedSince + pace.renewalMs, restMs, now));
  }
  if (claimedAt !== undefined) {
    ends.push(unlessOverdue(claimedAt + pace.promotionMs, 0, now));
  } else if (failingSince !== undefined) {
    const end = failingSince + pace.suspicionMs + pace.promotionMs;
    ends.push(unlessOverdue(end, UNCLAIMED_MS, now));
  }
  return ends.length === 0 ? now + UNKNOWN_CAUSE_MS : Math.max(...ends);
}

/** What should be over at `end` but is not lasts for `restMs`, or as long again as it is overdue. */
function unlessOverdue(end: number, restMs: number, now: number): number {
  return end > now ? end : now + Math.max(restMs, now - end);
}

/**
 * Part of a statement's time for which it is held at most, so that there is time to run it. A caller
 * that is held until the primary is there is served sooner than one that has to guess when to ask again.
 */
const HOLD_SHARE = 0.75;

/** Whether a statement that arrived at `arrivedAt` should wait until `expectedAt`, or be refused at once. */
export function shouldHoldStatement(
  expectedAt: number,
  arrivedAt: number,
  timeoutMs: number,
): boolean {
  return expectedAt <= arrivedAt + timeoutMs * HOLD_SHARE;
}

/** Weight of the newest promotion in the moving average of their times. */
const PACE_WEIGHT = 0.5;

/** The usual time of a promotion after one more took `tookMs`. */
export function updatedPromotionMs(promotionMs: number, tookMs: number): number {
  return promotionMs + (tookMs - promotionMs) * PACE_WEIGHT;
}
