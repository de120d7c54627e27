/**
 * Why a group's primary is changed.
 */

/** Why a primary is changed. */
export enum PromotionCause {
  Suspect = 'suspect',
  Draining = 'draining',
  /** It has started anew under its id and holds none of the commits. */
  RestartedEmpty = 'born-anew',
  /** It has said itself that it leads no more; no other host need agree. */
  Deposed = 'deposed',
  Evacuated = 'evacuated',
  Unlisted = 'unlisted',
  StalledClaim = 'stalled-claim',
}
