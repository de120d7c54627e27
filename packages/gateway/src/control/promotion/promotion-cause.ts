/**
 * Why a group's primary is changed.
 */

/** Why a primary is changed. */
export enum PromotionCause {
  Suspect = 'suspect',
  Draining = 'draining',
  Evacuated = 'evacuated',
  Unlisted = 'unlisted',
  StalledClaim = 'stalled-claim',
}
