/**
 * When a host asks all others to renew its proof.
 *
 * Load pattern: the store is away for a fleet of hundreds. One round is a question to every host, so if
 * a few hosts of each zone ask at once, or all of a zone once they are late, the rounds alone take more
 * than small hosts can answer, proofs run out, and the more hosts ask the longer it lasts. So one host
 * asks first, and its proof is passed on to all; the others ask one after the other, only as long as no
 * proof has come, and the rarer the later their place.
 */

/** Where a host stands in the order in which news are passed on. */
export interface RenewalRank {
  /** Place of its zone; the store is read in that of place 0. */
  readonly zone: number;
  /** Place of the host in its zone. */
  readonly rank: number;
}

/** Age of a proof from which the first host asks, milliseconds: usual ages reach 350, and a read may fail. */
const FIRST_AT_MS = 650;
/**
 * By how much earlier hosts of several regions ask, milliseconds: a link to another region takes three round
 * trips to open, and the question and the passing on one and a half more.
 */
const FAR_LEAD_MS = 100;
/** Added for each zone before, milliseconds: a round and its passing on take about as long. */
const ZONE_STEP_MS = 60;
/** Zones after which all are late alike: the last one still asks before a proof of 1 s runs out. */
const LAST_ZONE_STEP = 4;
/** Added for each host before in the zone, milliseconds. */
const RANK_STEP_MS = 100;
/** Time between two rounds, milliseconds; doubles after each that did not count, up to the last. */
const PAUSE_MS = 100;
const MAX_PAUSE_MS = 800;
/** Places in a zone that ask at the usual pace; those after them are many. */
const FIRST_RANKS = 3;
/** Time between two rounds of a later host, milliseconds, for each place that it stands after the first. */
const LATE_PAUSE_MS = 3000;

/**
 * Age of its proof from which a host asks, milliseconds.
 *
 * @param isMultiRegion whether hosts stand in several regions
 */
export function renewalDueAge({ zone, rank }: RenewalRank, isMultiRegion = false): number {
  const firstAtMs = isMultiRegion ? FIRST_AT_MS - FAR_LEAD_MS : FIRST_AT_MS;
  return firstAtMs + Math.min(zone, LAST_ZONE_STEP) * ZONE_STEP_MS + rank * RANK_STEP_MS;
}

/**
 * Time between two rounds of a host, milliseconds.
 *
 * @param failed rounds in a row that did not count
 * @param isIsolated whether its proof has run out; a later host does not ask before
 */
export function renewalIntervalMs(place: RenewalRank, failed: number, isIsolated: boolean): number {
  const later = place.rank - FIRST_RANKS + 1;
  if (later <= 0) return Math.min(MAX_PAUSE_MS, PAUSE_MS * 2 ** failed);
  return isIsolated ? later * LATE_PAUSE_MS : Number.POSITIVE_INFINITY;
}
