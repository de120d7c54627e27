/**
 * Authority: whether a host may use the primary named in the record that it holds. Each host holds
 * a proof: the time at which it, or the peer that passed the proof on, *sent* the read of the store
 * that returned the record. A host that changes the primary first claims the record, then waits
 * until every host has released the former primary, either by acknowledging the claim or because
 * its proof has expired.
 *
 * While the store is unavailable, other hosts can renew a proof: more than half of the listed hosts
 * have to state that they have acknowledged no claim. A change of primary needs so many
 * acknowledgements (`isClaimQuorum`) that at least one host answers both requests, and it answers
 * the renewal before it acknowledges the claim.
 */
import type { StartTime } from '../membership/upstream-identity.js';
import { mayBeSameStartTime } from '../membership/upstream-identity.js';
import type { UpstreamId } from '../model/ids.js';
import type { PrimaryRecord } from './primary-record.js';
import { RecordPhase } from './primary-record.js';

/** Validity periods of proofs. */
export interface AuthorityRules {
  /** Time for which a proof is valid, from the sending of the read, milliseconds. */
  readonly proofTtlMs: number;
  /**
   * Added when waiting for another host's proof to expire, milliseconds; covers differences in
   * clock rate.
   */
  readonly marginMs: number;
  /**
   * Time for which the host list may be used for renewals, milliseconds. Hosts that join in the
   * meantime are not in it, so they cannot outweigh hosts that do not answer before it has passed.
   */
  readonly hostListTtlMs: number;
}

/**
 * 1 s: an unreachable host delays a promotion by this much. Proofs are renewed every 300 ms and
 * passed on immediately (`DEFAULT_PROOF_RULES` and `DEFAULT_SYNC_RULES` of the gateway), so that
 * one failed renewal does no harm. docs/PLATFORM.md compares 1 s with 1.5 s, and 1.5 s with 3 s.
 */
export const DEFAULT_AUTHORITY: AuthorityRules = {
  proofTtlMs: 1000,
  marginMs: 100,
  hostListTtlMs: 20_000,
};

/** What a host knows when it checks whether it may use the primary. */
export interface AuthorityView {
  readonly record: PrimaryRecord | undefined;
  /** Local time at which the read behind the newest proof was sent; -Infinity without a proof. */
  readonly provedAt: number;
  /** Start time that the entry of the record's primary reports; missing if it reports none. */
  readonly primaryStartTime?: StartTime;
}

/**
 * Whether the primary of the view may be used at `now`. A primary that has restarted since the
 * record named it may not: it holds none of the commits.
 */
export function hasAuthority(view: AuthorityView, now: number, rules: AuthorityRules): boolean {
  if (view.record?.phase !== RecordPhase.Serving) return false;
  if (!mayBeSameStartTime(view.record.born, view.primaryStartTime)) return false;
  return !isIsolated(view.provedAt, now, rules);
}

/**
 * Whether a host is isolated at `now`: its proof has expired because neither the store nor more
 * than half of the hosts renewed it, or it never had one. While the store is unavailable to all
 * hosts, the hosts renew each other's proofs.
 */
export function isIsolated(provedAt: number, now: number, rules: AuthorityRules): boolean {
  return now - provedAt >= rules.proofTtlMs;
}

/**
 * Whether an answer that arrived at `now` is valid: it comes from the primary of the record under
 * which the request was sent, that epoch is still in force, and the proof is still valid. A request
 * that waited may be sent under a record that names another upstream than the one it was meant for.
 */
export function isAnswerValid(
  sentUnder: PrimaryRecord,
  answeredBy: UpstreamId,
  view: AuthorityView,
  now: number,
  rules: AuthorityRules,
): boolean {
  if (answeredBy !== sentUnder.primary) return false;
  return view.record?.epoch === sentUnder.epoch && hasAuthority(view, now, rules);
}

/**
 * Local time by which every host that does not answer has certainly released the former primary:
 * its proof dates from before the claim, or was renewed before enough hosts had acknowledged the
 * claim, at `quorumAt`.
 */
export function proofsExpiredAt(quorumAt: number, rules: AuthorityRules): number {
  return quorumAt + rules.proofTtlMs + rules.marginMs;
}

/** Whether `count` hosts are more than half of `listed` hosts. */
export function isMajority(count: number, listed: number): boolean {
  return count * 2 > listed;
}

/** Renewal of a proof by other hosts. */
export interface PeerRenewal {
  /** Number of hosts listed when the store was last read, including this one. */
  readonly listed: number;
  /** Number of hosts that answered, including this one. */
  readonly answered: number;
  /** Local time at which the host list was read. */
  readonly listReadAt: number;
}

/** Whether a renewal by other hosts is valid at `now`. */
export function isRenewalValid(renewal: PeerRenewal, now: number, rules: AuthorityRules): boolean {
  if (now - renewal.listReadAt > rules.hostListTtlMs) return false;
  return isMajority(renewal.answered, renewal.listed);
}
