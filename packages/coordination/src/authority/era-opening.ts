/**
 * When a new era of the metadata store may be relied on. The store has come back from a copy and lacks its last
 * changes; what was acted on of them has to be written back first. A claim is acted on only after more than half of the
 * listed hosts have acknowledged it, so one of any such number of hosts has heard of it.
 */
import type { AuthorityRules } from './authority.js';
import { isMajority } from './authority.js';
import { MAX_LOST_CHANGES } from './unreadable-documents.js';

/** What became of the hosts that were listed in the era before. */
export interface PreviousEraHosts {
  readonly listed: number;
  /** Those that have told, as the very processes that were listed, what they know. */
  readonly answered: number;
  /** Those in whose place another process is listed by now; it knows nothing of before. */
  readonly replaced: number;
}

/**
 * Whether an era that was first seen `sinceMs` ago may be opened. Before a proof's life is over, proofs read in the
 * former era may be in use; after the life of a list and of a proof together, silent hosts can't have any.
 */
export function mayOpenEra(
  former: PreviousEraHosts,
  sinceMs: number,
  rules: AuthorityRules,
): boolean {
  const { listed, answered, replaced } = former;
  if (listed === 0) return true;
  if (sinceMs < rules.proofTtlMs) return false;
  if (isMajority(answered, listed) || answered + replaced >= listed) return true;
  return sinceMs >= rules.hostListTtlMs + rules.proofTtlMs;
}

/**
 * The fence from which an era goes on, where the newest one known is `known`. A holder that was not heard may have used
 * higher ones, each of which took a change of the store.
 */
export function initialFence(known: number, { listed, answered }: PreviousEraHosts): number {
  return answered === listed ? known : known + MAX_LOST_CHANGES;
}
