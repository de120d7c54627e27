/**
 * Evacuation of an availability zone: which work its upstreams still accept after the operators
 * have requested to take them out of use, counted from the earliest time at which the request may
 * have been stored.
 */

/** Stage of the evacuation of a zone on one host. */
export enum EvacuationStage {
  /** The zone is in use. */
  None = 'none',
  /** A primary in the zone serves until it is replaced; open transactions continue. */
  Leaving = 'leaving',
  /** Nothing is sent to its upstreams. */
  Evacuated = 'over',
}

/**
 * Share of the evacuation time during which primaries and open transactions of the zone continue. A
 * usual planned change takes well under half of that time; the rest covers hosts that learn of the
 * request late and statements in flight.
 */
const EVACUATION_LEAVING_SHARE = 0.5;

/**
 * Stage of a zone's evacuation at `now`.
 *
 * @param lastInUseAt latest local time at which the zone was certainly not evacuated; undefined
 * while it is in use
 * @param evacuationMs time after the request by which all work has to end, milliseconds
 */
export function evacuationStage(
  lastInUseAt: number | undefined,
  now: number,
  evacuationMs: number,
): EvacuationStage {
  if (lastInUseAt === undefined) return EvacuationStage.None;
  const isLeaving = now - lastInUseAt < evacuationMs * EVACUATION_LEAVING_SHARE;
  return isLeaving ? EvacuationStage.Leaving : EvacuationStage.Evacuated;
}

/**
 * Whether an upstream accepts new work. While its zone is in stage Leaving, only a primary that
 * another upstream can replace does.
 *
 * @param isReplaceablePrimary whether it is the primary of a group with upstreams in other zones
 */
export function acceptsNewWork(stage: EvacuationStage, isReplaceablePrimary: boolean): boolean {
  switch (stage) {
    case EvacuationStage.None:
      return true;
    case EvacuationStage.Leaving:
      return isReplaceablePrimary;
    case EvacuationStage.Evacuated:
      return false;
  }
}
