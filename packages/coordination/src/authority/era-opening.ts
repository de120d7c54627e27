/**
 * Decides when a new era of the metadata store may be opened. An era begins when the store is
 * restored from a copy that lacks its latest changes; changes that hosts have acted on have to be
 * written back first. A claim is acted on only once the hosts that do not know of it are a majority
 * of no list in use (`isClaimQuorum`), so more than half of the hosts on such a list include one
 * that knows of it. The list that the restored store returns, or one that the opener last read
 * longer ago than a list is valid, is not in use.
 */
import type { AuthorityRules } from './authority.js';
import { isMajority } from './authority.js';
import { MAX_LOST_CHANGES } from './unreadable-documents.js';

/** The hosts of the list that the opener held before it observed the era. */
export interface HeldListReplies {
  readonly listed: number;
  readonly answered: number;
}

/** State of the hosts that may have been listed in the previous era. */
export interface PreviousEraHosts {
  readonly listed: number;
  /** Hosts that have reported what they know and still run the process that was listed. */
  readonly answered: number;
  /** Hosts that are now listed with another process, which knows nothing of the previous era. */
  readonly replaced: number;
  /** Undefined if the opener held no list, or one that was no longer valid. */
  readonly held: HeldListReplies | undefined;
}

/**
 * Whether an era that was first observed `sinceMs` ago may be opened. Until the validity of a proof
 * has passed, proofs read in the previous era may still be in use; once the validity of a host list
 * and of a proof have passed, hosts that do not answer can no longer hold one.
 */
export function mayOpenEra(
  previous: PreviousEraHosts,
  sinceMs: number,
  rules: AuthorityRules,
): boolean {
  const { listed, answered, replaced, held } = previous;
  if (listed === 0) return true;
  if (sinceMs < rules.proofTtlMs) return false;
  if (held !== undefined && isMajority(held.answered, held.listed)) return true;
  if (answered + replaced >= listed) return true;
  return sinceMs >= rules.hostListTtlMs + rules.proofTtlMs;
}

/**
 * Fence with which an era begins, given the highest known one. A holder that did not report may
 * have used higher fences, each of which took one change of the store.
 */
export function initialFence(known: number, { listed, answered }: PreviousEraHosts): number {
  return answered === listed ? known : known + MAX_LOST_CHANGES;
}
