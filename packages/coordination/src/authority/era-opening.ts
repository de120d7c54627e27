/**
 * Decides when a new era of the metadata store may be opened. An era begins when the store is
 * restored from a copy that lacks its latest changes; changes that hosts have acted on have to be
 * written back first. A claim is acted on only after more than half of the listed hosts have
 * acknowledged it, so any group of more than half includes a host that knows of it.
 */
import type { AuthorityRules } from './authority.js';
import { isMajority } from './authority.js';
import { MAX_LOST_CHANGES } from './unreadable-documents.js';

/** State of the hosts that were listed in the previous era. */
export interface PreviousEraHosts {
  readonly listed: number;
  /** Hosts that have reported what they know and still run the process that was listed. */
  readonly answered: number;
  /** Hosts that are now listed with another process, which knows nothing of the previous era. */
  readonly replaced: number;
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
  const { listed, answered, replaced } = previous;
  if (listed === 0) return true;
  if (sinceMs < rules.proofTtlMs) return false;
  if (isMajority(answered, listed) || answered + replaced >= listed) return true;
  return sinceMs >= rules.hostListTtlMs + rules.proofTtlMs;
}

/**
 * Fence with which an era begins, given the highest known one. A holder that did not report may
 * have used higher fences, each of which took one change of the store.
 */
export function initialFence(known: number, { listed, answered }: PreviousEraHosts): number {
  return answered === listed ? known : known + MAX_LOST_CHANGES;
}
