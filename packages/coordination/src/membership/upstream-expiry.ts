/**
 * What to make of an upstream whose entry has vanished from the store. Entries lapse while their
 * upstreams live, when these can't write for a while; and some upstreams leave without saying so
 * first and serve on for a while after their entry has gone.
 */

/** Times of lapsed entries. */
export interface ExpiryRules {
  /** Time without an entry from which an upstream counts as leaving, milliseconds. */
  readonly leavingAfterMs: number;
  /** Time without an entry from which it is not used any more, milliseconds. */
  readonly goneAfterMs: number;
}

/** Entries of upstreams that live are back within 2 s of the store's return; half a second for a watch. */
const LEAVING_AFTER_MS = 2500;
/** A planned change of primary, which begins when its upstream counts as leaving, takes 2 s at most. */
const GONE_AFTER_MS = 5000;
/** Part of the time for which a leaving upstream takes work, after which it counts as leaving: 2.45 s of 7 s. */
const LEAVING_SHARE = 0.35;
/** Part of that time after which it is not used any more: 4.9 s of 7 s, so 2.45 s are left for a change. */
const GONE_SHARE = 0.7;

/** Times for upstreams that take work for `servesOnMs` after they are known to leave. */
export function expiryRules(servesOnMs: number): ExpiryRules {
  return {
    leavingAfterMs: Math.min(LEAVING_AFTER_MS, servesOnMs * LEAVING_SHARE),
    goneAfterMs: Math.min(GONE_AFTER_MS, servesOnMs * GONE_SHARE),
  };
}

/** What an upstream without an entry counts as. */
export enum ExpiryStage {
  /** As its last entry says. */
  Present = 'present',
  /** It gets no new work; a primary is replaced in a planned way. */
  Leaving = 'leaving',
  /** It is not used any more. */
  Gone = 'gone',
}

/** What an upstream counts as whose entry has been missing for `missingMs`, the store answering. */
export function expiryStage(missingMs: number, rules: ExpiryRules): ExpiryStage {
  if (missingMs >= rules.goneAfterMs) return ExpiryStage.Gone;
  return missingMs >= rules.leavingAfterMs ? ExpiryStage.Leaving : ExpiryStage.Present;
}
