/**
 * Decides when enough hosts have acknowledged a claim that the others cannot renew a proof without
 * learning of it.
 *
 * A renewal takes more than half of a host list that may be up to `hostListTtlMs` old. Hosts that
 * have joined since are not in that list, and hosts that were retired since still are. A majority
 * of the newest list is therefore not enough: a zone that is partitioned may be a majority of the
 * older one.
 */
import type { StorePosition } from '../model/store-position.js';
import { isLater } from '../model/store-position.js';
import type { AuthorityRules } from './authority.js';
import { isMajority } from './authority.js';

/** Since when a host has been on the host list without interruption. */
export interface HostListing {
  /** Position of the store at which the host joined. */
  readonly since: StorePosition;
  /** Local time since which this is known. */
  readonly knownSince: number;
}

/** Numbers of hosts that have acknowledged a claim or may still renew proofs without it. */
export interface ClaimAcknowledgements {
  /** Hosts on the newest list. */
  readonly listed: number;
  /** Those that have acknowledged the claim. */
  readonly acknowledged: number;
  /** Those of the acknowledging hosts that are on every list that may still be in use. */
  readonly established: number;
  /** Retired hosts that may still use a list on which they are themselves. */
  readonly retired: number;
}

/**
 * Whether a host is on every list that may still be in use at `now`: it joined before `settled`, the
 * position up to which all hosts are known to hold the list, or longer ago than a list is valid.
 */
export function isEstablished(
  { since, knownSince }: HostListing,
  settled: StorePosition,
  now: number,
  { hostListTtlMs, marginMs }: AuthorityRules,
): boolean {
  return !isLater(since, settled) || now - knownSince > hostListTtlMs + marginMs;
}

/** Time after its removal for which a retired host may hold a valid proof, milliseconds. */
export function retiredProofMs({ hostListTtlMs, proofTtlMs, marginMs }: AuthorityRules): number {
  return hostListTtlMs + proofTtlMs + marginMs;
}

/**
 * Whether no group of hosts that have not acknowledged the claim is a majority of any list in use.
 * Such a list contains all established hosts, so the others are at most half of it.
 */
export function isClaimQuorum(acks: ClaimAcknowledgements): boolean {
  const { listed, acknowledged, established, retired } = acks;
  const unaware = listed - acknowledged + retired;
  return isMajority(acknowledged, listed) && unaware <= established;
}
