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

/** Causes for which the former primary still serves. */
const PLANNED: ReadonlySet<PromotionCause> = new Set([
  PromotionCause.Draining,
  PromotionCause.Evacuated,
]);

/** Whether the former primary still serves, so that the change can be deferred. */
export function isPlanned(cause: PromotionCause): boolean {
  return PLANNED.has(cause);
}
