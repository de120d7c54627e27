/**
 * Decides when a host asks all other hosts to renew its proof.
 *
 * Load pattern: the store is unavailable to a fleet of hundreds of hosts. One renewal round sends a
 * request to every host. If a few hosts of each zone started rounds at the same time, or all hosts
 * of a zone as soon as their proofs are late, the rounds alone would exceed what small hosts can
 * answer, proofs would expire, and more and more hosts would start rounds the longer this lasted.
 * So one host starts first and its proof is passed on to all; the others follow one after the
 * other, only as long as no proof has arrived, and less often the higher their rank number.
 */

/** Place of a host in the order in which updates are passed on. */
export interface RenewalRank {
  /** Place of its zone; hosts of zone 0 read the store. */
  readonly zone: number;
  /** Place of the host within its zone. */
  readonly rank: number;
}

/**
 * Age of a proof at which the first host starts a round, milliseconds: ages of up to 350 ms are
 * usual, and one read may fail.
 */
const FIRST_ROUND_AGE_MS = 650;
/**
 * How much earlier hosts start a round in a deployment of several regions, milliseconds: opening a
 * link to another region takes three round trips, and the request and passing on the proof one and
 * a half more.
 */
const MULTI_REGION_LEAD_MS = 100;
/** Added per preceding zone, milliseconds: a round and passing on its proof take about as long. */
const ZONE_STEP_MS = 60;
/**
 * Maximum number of preceding zones that count, so that the last zone still starts before a proof
 * of 1 s expires.
 */
const MAX_ZONE_STEPS = 4;
/** Added per preceding host in the zone, milliseconds. */
const RANK_STEP_MS = 100;
/** Time between two rounds, milliseconds; doubles after each failed round, up to `MAX_INTERVAL_MS`. */
const INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 800;
/** Number of hosts per zone that use the usual interval; the remaining hosts are many. */
const FREQUENT_RANKS = 3;
/** Time between two rounds of a remaining host, milliseconds, per place after those first hosts. */
const LATE_RANK_INTERVAL_MS = 3000;

/**
 * Age of its proof at which a host starts a round, milliseconds.
 *
 * @param isMultiRegion whether hosts are in several regions
 */
export function renewalDueAge({ zone, rank }: RenewalRank, isMultiRegion = false): number {
  const firstRoundMs = isMultiRegion
    ? FIRST_ROUND_AGE_MS - MULTI_REGION_LEAD_MS
    : FIRST_ROUND_AGE_MS;
  return firstRoundMs + Math.min(zone, MAX_ZONE_STEPS) * ZONE_STEP_MS + rank * RANK_STEP_MS;
}

/**
 * Time between two rounds of a host, milliseconds.
 *
 * @param failed number of consecutive failed rounds
 * @param isIsolated whether its proof has expired; a remaining host starts no round before that
 */
export function renewalIntervalMs(place: RenewalRank, failed: number, isIsolated: boolean): number {
  const lateRank = place.rank - FREQUENT_RANKS + 1;
  if (lateRank <= 0) return Math.min(MAX_INTERVAL_MS, INTERVAL_MS * 2 ** failed);
  return isIsolated ? lateRank * LATE_RANK_INTERVAL_MS : Number.POSITIVE_INFINITY;
}
