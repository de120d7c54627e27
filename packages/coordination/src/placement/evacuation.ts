/**
 * Evacuation of an availability zone: which work its upstreams still take while the operators want
 * them out of use, counted from when the request may have been stored.
 */

/** How far the evacuation of a zone has come on one host. */
export enum EvacuationStage {
  /** The zone is in use. */
  None = 'none',
  /** A primary in it serves until it is replaced; open transactions go on. */
  Leaving = 'leaving',
  /** Nothing is sent to its upstreams any more. */
  Evacuated = 'over',
}

/**
 * Part of the time for an evacuation in which primaries and open transactions of the zone go on. A usual
 * planned change takes well under half of that time; the rest covers hosts that learn of the request
 * late and statements that are on their way.
 */
const EVACUATION_LEAVING_SHARE = 0.5;

/**
 * Stage of a zone's evacuation at `now`.
 *
 * @param lastInUseAt latest local time at which the zone was surely not evacuated; undefined while it is not
 * @param evacuationMs time after the request within which all work has to end, milliseconds
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
 * Whether an upstream takes new work. While its zone is being left, only a primary that another one can replace does.
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
