/**
 * Decides how to treat an upstream whose entry has disappeared from the store. Entries expire
 * although their upstreams are alive, when these can't write to the store for a while; and some
 * upstreams leave without announcing it and continue to serve for a while after their entry has
 * gone.
 */

/** Time limits for missing entries and for upstreams that leave. */
export interface ExpiryRules {
  /** Time without an entry after which an upstream counts as leaving, milliseconds. */
  readonly leavingAfterMs: number;
  /** Time without an entry after which it is no longer used, milliseconds. */
  readonly goneAfterMs: number;
  /** Time after the start of its departure for which an upstream receives new work, milliseconds. */
  readonly newWorkMs: number;
  /**
   * Time for which a draining upstream receives new work after a host has learned of it, whenever its departure
   * started, milliseconds.
   */
  readonly lateNewsMs: number;
  /** Time without an entry for which a replica may still receive and confirm commits, milliseconds. */
  readonly confirmsForMs: number;
}

/**
 * Live upstreams write their entries again within 2 s after the store is available again; half a
 * second is added for the watch.
 */
const LEAVING_AFTER_MS = 2500;
/** A planned change of primary, which starts when the upstream counts as leaving, takes at most 2 s. */
const GONE_AFTER_MS = 5000;
/**
 * Share of the time for which a leaving upstream accepts work, after which it counts as leaving:
 * 2.45 s of 7 s.
 */
const LEAVING_SHARE = 0.35;
/**
 * Share of that time after which it is no longer used: 4.9 s of 7 s, which leaves 2.45 s for the
 * change.
 */
const GONE_SHARE = 0.7;
/**
 * Share of that time for which it receives new work: 5.95 s of 7 s. The rest is for statements on their way and for
 * hosts that run late.
 */
const NEW_WORK_SHARE = 0.85;
/**
 * A host that has just started, or was without the store, can't know when a departure started; meanwhile a planned
 * change of primary, which is tried every 0.5 to 2 s, keeps the group served.
 */
const LATE_NEWS_MS = 1500;
/** Limit of that time as a share of the time for which a leaving upstream accepts work. */
const LATE_NEWS_SHARE = 0.25;

/** Age from which the cached documents may be outdated, milliseconds: two failed renewals of the proof. */
export const OUTDATED_AFTER_MS = 1000;
/**
 * Age of the documents from which entries of live upstreams may have lapsed, milliseconds: an entry lapses after three
 * heartbeats of 1.2 s without a write, of which a shorter outage of the store prevents one.
 */
const LAPSED_AFTER_MS = 2000;

/** Time for which a leaving upstream may serve beyond the announced one, milliseconds: at times many seconds. */
const SERVES_LONGER_MS = 10_000;

/** Limits for upstreams that accept work for `servesOnMs` after they are known to leave. */
export function expiryRules(servesOnMs: number): ExpiryRules {
  return {
    leavingAfterMs: Math.min(LEAVING_AFTER_MS, servesOnMs * LEAVING_SHARE),
    goneAfterMs: Math.min(GONE_AFTER_MS, servesOnMs * GONE_SHARE),
    newWorkMs: servesOnMs * NEW_WORK_SHARE,
    lateNewsMs: Math.min(LATE_NEWS_MS, servesOnMs * LATE_NEWS_SHARE),
    confirmsForMs: servesOnMs + SERVES_LONGER_MS,
  };
}

/** State assumed of an upstream without an entry. */
export enum ExpiryStage {
  /** As described by its last entry. */
  Present = 'present',
  /** It receives no new work; a primary is replaced by a planned change. */
  Leaving = 'leaving',
  /** It is no longer used. */
  Gone = 'gone',
}

/**
 * State assumed of an upstream whose entry has been missing for `missingMs` while the store was
 * available.
 */
export function expiryStage(missingMs: number, rules: ExpiryRules): ExpiryStage {
  if (missingMs >= rules.goneAfterMs) return ExpiryStage.Gone;
  return missingMs >= rules.leavingAfterMs ? ExpiryStage.Leaving : ExpiryStage.Present;
}

/** Whether entries of live upstreams may have lapsed, since the store was unavailable from `confirmedAt` to `now`. */
export function mayHaveLapsed(confirmedAt: number, now: number): boolean {
  return now - confirmedAt >= LAPSED_AFTER_MS;
}

/**
 * Time up to which an entry that the cached documents lack at `now` counts as missing. If they may be outdated, it may
 * have been written again after `confirmedAt`, the latest time at which they were current.
 */
export function missingUntil(confirmedAt: number, now: number): number {
  return now - confirmedAt < OUTDATED_AFTER_MS ? now : confirmedAt;
}

/**
 * Time from which the missing time of an entry counts, if the store is unavailable at `now`: live upstreams need time
 * to write their entries again. An upstream that counted as leaving before is gone after that time.
 *
 * @param since the time from which it counted until now
 */
export function countedSince(
  stage: ExpiryStage,
  since: number,
  now: number,
  rules: ExpiryRules,
): number {
  if (stage === ExpiryStage.Present) return now;
  return Math.max(since, now - (rules.goneAfterMs - rules.leavingAfterMs));
}
