/**
 * Authority: whether a host may use the primary that it believes in. A host holds a proof, the time
 * at which it (or the peer that passed the proof on) *sent* the read of the store that returned the
 * record. Whoever changes the primary claims the record first, then waits until every host has
 * given the former primary up, by message or because its proof has run out.
 *
 * While the store is away a proof may also be renewed by other hosts: more than half of those listed
 * say that they have acknowledged no claim. Whoever changes a primary needs the acknowledgement of
 * more than half as well, so one host at least answers both, and it answers the renewal first.
 */
import type { StartTime } from '../membership/upstream-identity.js';
import { mayBeSameStartTime } from '../membership/upstream-identity.js';
import type { UpstreamId } from '../model/ids.js';
import type { PrimaryRecord } from './primary-record.js';
import { RecordPhase } from './primary-record.js';

/** Times of the proofs. */
export interface AuthorityRules {
  /** Time for which a proof counts, from the sending of the read, milliseconds. */
  readonly proofTtlMs: number;
  /** Added when the end of another host's proof is waited for, milliseconds; covers clock rates. */
  readonly marginMs: number;
  /**
   * Time for which the list of hosts may be used for renewals, milliseconds. Hosts that join meanwhile
   * are not in it; too many of them could outvote it.
   */
  readonly hostListTtlMs: number;
}

/**
 * 1 s: a host that is cut off delays a promotion by this much. Renewed every 300 ms and passed on at
 * once (`DEFAULT_PROOFS` and `DEFAULT_SYNC` of the gateway), so that one failed renewal does no harm. docs/PLATFORM.md compares it with 1.5 s, and that with 3 s.
 */
export const DEFAULT_AUTHORITY: AuthorityRules = {
  proofTtlMs: 1000,
  marginMs: 100,
  hostListTtlMs: 20_000,
};

/** What a host knows when it asks whether it may use the primary. */
export interface AuthorityView {
  readonly record: PrimaryRecord | undefined;
  /** Local time at which the read behind the newest proof was sent; -Infinity without one. */
  readonly provedAt: number;
  /** Birth that the entry of the record's primary tells; missing where it tells none. */
  readonly primaryStartTime?: StartTime;
}

/**
 * Whether the primary of the view may be used at `now`. One that has started anew since it was named
 * leads nothing: it holds none of the commits.
 */
export function hasAuthority(view: AuthorityView, now: number, rules: AuthorityRules): boolean {
  if (view.record?.phase !== RecordPhase.Serving) return false;
  if (!mayBeSameStartTime(view.record.born, view.primaryStartTime)) return false;
  return !isIsolated(view.provedAt, now, rules);
}

/**
 * Whether a host is cut off at `now`: neither the store nor more than half of the hosts renew its
 * proof, or it never had one. While the store is away for everybody, the hosts renew one another.
 */
export function isIsolated(provedAt: number, now: number, rules: AuthorityRules): boolean {
  return now - provedAt >= rules.proofTtlMs;
}

/**
 * Whether an answer that arrived at `now` counts: it comes from the primary of the record under which the question
 * was sent, that epoch is still in force, and the proof still valid. A question may have been meant for an upstream
 * before it waited, and sent under a record that names another one by then.
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
 * When a host that does not answer has surely given the former primary up: its proof is from before
 * the claim, or was renewed before more than half of the hosts had acknowledged the claim.
 */
export function proofsExpiredAt(majorityAckedAt: number, rules: AuthorityRules): number {
  return majorityAckedAt + rules.proofTtlMs + rules.marginMs;
}

/** Whether `count` hosts are more than half of `listed`. */
export function isMajority(count: number, listed: number): boolean {
  return count * 2 > listed;
}

/** A renewal of a proof by other hosts. */
export interface PeerRenewal {
  /** Hosts listed when the store was last read, this one included. */
  readonly listed: number;
  /** Hosts that answered, this one included. */
  readonly answered: number;
  /** Local time of the read of the list. */
  readonly listReadAt: number;
}

/** Whether a renewal by other hosts counts at `now`. */
export function isRenewalValid(renewal: PeerRenewal, now: number, rules: AuthorityRules): boolean {
  if (now - renewal.listReadAt > rules.hostListTtlMs) return false;
  return isMajority(renewal.answered, renewal.listed);
}
