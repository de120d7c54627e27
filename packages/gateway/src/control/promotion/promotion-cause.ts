/**
 * Causes of a change of a group's primary.
 */

/** Why a primary is changed. */
export enum PromotionCause {
  Suspect = 'suspect',
  Draining = 'draining',
  /** It has restarted under its id and holds none of the commits. */
  RestartedEmpty = 'born-anew',
  /** It has reported itself that it is no longer primary; no other host needs to agree. */
  Deposed = 'deposed',
  Evacuated = 'evacuated',
  Unlisted = 'unlisted',
  StalledClaim = 'stalled-claim',
}
