/**
 * Decisions on a change of a group's primary: when to suspect the primary, which host acts, which
 * upstream succeeds it, and when a host may request promotions.
 */
import type { StartTime } from '../membership/upstream-identity.js';
import type { HostId, UpstreamId } from '../model/ids.js';
import type { Position } from '../reads/position.js';
import type { NamedSuccessor, PrimaryRecord } from './primary-record.js';
import { comparePositions } from '../reads/position.js';

/** Time limits of failover. */
export interface FailoverRules {
  /** Time for which a primary must be unreachable for this host before it is suspected, milliseconds. */
  readonly suspectAfterMs: number;
  /** Delay per rank, during which hosts of lower rank numbers act first, milliseconds. */
  readonly rankDelayMs: number;
  /** Time after which another host may take over an unfinished claim, milliseconds. */
  readonly stalledAfterMs: number;
  /** Time from acquiring the promotion lease in which its holder may request promotions, milliseconds. */
  readonly leaseWindowMs: number;
  /** Minimum time between the windows of two lease holders, milliseconds. */
  readonly leaseGapMs: number;
}

/**
 * Suspicion, 250 ms: twice a tick plus a probe; the other hosts still have to agree. Rank delay, 50
 * ms: a claim reaches the other hosts sooner, and since only some hosts notice a failure, the first
 * of them may have a high rank number. Stalled claim, 3.5 s: a claim that waits for hosts that do
 * not answer takes 3 s. Lease window, 4 s: the promotion of such a claim is requested by then; the
 * successor of a holder that failed has to wait for the rest of the window. Lease gap: see
 * docs/PLATFORM.md.
 */
export const DEFAULT_FAILOVER: FailoverRules = {
  suspectAfterMs: 250,
  rankDelayMs: 50,
  stalledAfterMs: 3500,
  leaseWindowMs: 4000,
  leaseGapMs: 2000,
};

/** Reachability of a suspected primary as reported by the queried hosts. */
export interface ReachEvidence {
  /** Number of hosts that reach it. */
  readonly reaching: number;
  /** Number of hosts that answered and do not reach it, including the querying one. */
  readonly failing: number;
  /** Number of hosts that did not answer. A refused connection counts as no answer: it proves no more. */
  readonly silent: number;
}

/** Decision on a suspected primary. */
export enum FailoverDecision {
  Promote = 'promote',
  Wait = 'wait',
}

/**
 * Decides on a primary that has been unreachable for the querying host for `failedMs`. More than
 * half of the queried hosts, which are picked from every zone, must not reach it: hosts that are
 * isolated themselves never make up that many, and must not act on what only they observe.
 */
export function decideFailover(
  evidence: ReachEvidence,
  failedMs: number,
  rules: FailoverRules,
): FailoverDecision {
  const { reaching, failing, silent } = evidence;
  const asked = reaching + failing + silent;
  if (failing * 2 <= asked) return FailoverDecision.Wait;
  return failedMs >= rules.suspectAfterMs ? FailoverDecision.Promote : FailoverDecision.Wait;
}

/** Report of an upstream for the choice of a successor. */
export interface SuccessorReport {
  readonly id: UpstreamId;
  /** Start time in its entry when it reported; missing if the entry has none. */
  readonly born?: StartTime;
  readonly isPrimary: boolean;
  readonly term: number;
  readonly received: Position;
  /** Whether it is about to leave. */
  readonly draining: boolean;
  /** Whether its zone is evacuated; missing means false. */
  readonly evacuated?: boolean;
  /** Whether it has no entry any more, though it may still confirm commits; missing means false. */
  readonly departed?: boolean;
  /** Whether it is in the region of the former primary. */
  readonly isInFormerRegion: boolean;
}

/**
 * Chooses the upstream that becomes primary: one that is primary already, under a term that no
 * report exceeds, else the one that has received the most, and among equals one in the region of
 * the former primary. Draining upstreams are chosen only if there is no other; upstreams of
 * evacuated zones and departed ones never.
 */
export function chooseSuccessor(
  reports: readonly SuccessorReport[],
  former: UpstreamId,
  formerTerm?: number,
): SuccessorReport | undefined {
  const others = candidatesOf(reports, former);
  const staying = others.filter((report) => !report.draining);
  const newestTerm = newestTermOf(reports, formerTerm);
  return bestCandidate(staying.length > 0 ? staying : others, newestTerm);
}

/**
 * Newest term known of the upstreams of a group. A former primary may still report that it leads,
 * in the term that it had, until it learns of its successor.
 *
 * @param formerTerm term in which the primary of the record led; undefined if it isn't known
 */
export function newestTermOf(
  reports: readonly SuccessorReport[],
  formerTerm: number | undefined,
): number {
  return Math.max(formerTerm ?? 0, ...reports.map(({ term }) => term));
}

/**
 * Whether enough upstreams have reported for one of them to hold every confirmed commit. A commit
 * is confirmed once `syncReplicas` replicas have received it, so at most `syncReplicas - 1` of the
 * `replicas` may be missing. If replicas take no part in confirmation, one report is enough.
 */
export function hasEnoughReports(
  reports: readonly SuccessorReport[],
  former: UpstreamId,
  replicas: number,
  syncReplicas: number,
): boolean {
  const reported = reports.filter((report) => report.id !== former).length;
  if (syncReplicas === 0) return reported > 0;
  return reported >= Math.max(1, replicas - syncReplicas + 1);
}

/**
 * Chooses the successor if enough upstreams have reported for it to hold every confirmed commit. A
 * draining upstream may have confirmed commits that the staying ones lack: it is chosen unless
 * enough of those have reported. Reports from evacuated zones and of departed upstreams show what
 * was confirmed, but these can't become primary: if the other reports alone are too few, the
 * successor must have received at least as much as every upstream that reported.
 */
export function chooseCoveringSuccessor(
  reports: readonly SuccessorReport[],
  former: UpstreamId,
  replicas: number,
  syncReplicas: number,
  formerTerm?: number,
): SuccessorReport | undefined {
  const isEnough = (some: readonly SuccessorReport[]): boolean =>
    hasEnoughReports(some, former, replicas, syncReplicas);
  if (!isEnough(reports)) return undefined;
  if (syncReplicas === 0) return chooseSuccessor(reports, former, formerTerm);
  const inUse = candidatesOf(reports, former);
  const staying = inUse.filter((report) => !report.draining);
  const newestTerm = newestTermOf(reports, formerTerm);
  if (isEnough(staying)) return bestCandidate(staying, newestTerm);
  const chosen = bestCandidate(inUse, newestTerm);
  if (chosen === undefined || isEnough(inUse)) return chosen;
  const others = reports.filter((report) => report.id !== former);
  const holdsAll = others.every(
    (report) => comparePositions(report.received, chosen.received) <= 0,
  );
  return holdsAll ? chosen : undefined;
}

/** The upstreams that may become primary. */
function candidatesOf(
  reports: readonly SuccessorReport[],
  former: UpstreamId,
): readonly SuccessorReport[] {
  return reports.filter(
    ({ id, evacuated, departed }) => id !== former && evacuated !== true && departed !== true,
  );
}

/**
 * The best of `candidates`; only those that are primary already in the newest term, if there are any. A candidate
 * that leads in an older term is returned as one that is not primary.
 */
function bestCandidate(
  candidates: readonly SuccessorReport[],
  newestTerm: number,
): SuccessorReport | undefined {
  const primaries = candidates.filter(({ isPrimary, term }) => isPrimary && term >= newestTerm);
  const isPrimary = primaries.length > 0;
  const [best] = [...(isPrimary ? primaries : candidates)].sort(compareCandidates);
  return best && { ...best, isPrimary };
}

/**
 * Whether a planned change should keep the former primary: it has reported, and no possible
 * successor holds all of its commits. An upstream that is primary already succeeds it regardless of
 * what it lacks.
 */
export function shouldKeepFormerPrimary(
  chosen: SuccessorReport | undefined,
  former: SuccessorReport | undefined,
): boolean {
  if (former === undefined || chosen?.isPrimary === true) return false;
  return chosen === undefined || comparePositions(chosen.received, former.received) < 0;
}

/** What a host knows about the successor named by a claim. */
export interface SuccessorStatus {
  /** Whether it has an entry and has not restarted since it was named. */
  readonly isThere: boolean;
  readonly isEvacuated: boolean;
  /** Whether the platform has refused to promote it. */
  readonly isRefused: boolean;
}

/**
 * The successor that the claim after `claim` has to retain. A promotion request for it may take
 * effect at any time, no matter how long ago it was sent or abandoned, so no other upstream may be
 * promoted as long as that is possible.
 */
export function retainedSuccessor(
  claim: PrimaryRecord,
  status: SuccessorStatus,
): NamedSuccessor | undefined {
  const { isThere, isEvacuated, isRefused } = status;
  return isThere && !isEvacuated && !isRefused ? claim.successor : undefined;
}

function compareCandidates(a: SuccessorReport, b: SuccessorReport): number {
  const byPosition = comparePositions(b.received, a.received);
  if (byPosition !== 0) return byPosition;
  if (a.draining !== b.draining) return a.draining ? 1 : -1;
  if (a.isInFormerRegion !== b.isInFormerRegion) return a.isInFormerRegion ? -1 : 1;
  return a.id < b.id ? -1 : 1;
}

/** The promotion lease as observed by a host. */
export interface SeenPromotionLease {
  readonly holder: HostId;
  readonly incarnation: number;
  readonly fence: number;
  /** Local time at which this version was first observed. */
  readonly seenAt: number;
}

/** Whether and with which fence a host may acquire the promotion lease. */
export type PromotionLeaseClaim =
  | { readonly kind: 'take'; readonly fence: number }
  /** Another host may still request promotions; its window ends at that local time. */
  | { readonly kind: 'wait'; readonly until: number };

/**
 * How a host may acquire the promotion lease at `now`. It has to wait until another holder's window
 * has ended, counted from when that holder's record was observed, which is later than the start of
 * the window.
 */
export function claimPromotionLease(
  seen: SeenPromotionLease | undefined,
  self: { readonly host: HostId; readonly incarnation: number },
  now: number,
  rules: FailoverRules,
): PromotionLeaseClaim {
  if (seen === undefined) return { kind: 'take', fence: 1 };
  if (seen.holder === self.host) {
    const same = seen.incarnation === self.incarnation;
    return { kind: 'take', fence: same ? seen.fence : seen.fence + 1 };
  }
  const until = promotionLeaseFreeAt(seen, rules);
  if (now < until) return { kind: 'wait', until };
  return { kind: 'take', fence: seen.fence + 1 };
}

/**
 * The order in which hosts act on suspected primaries. The holder of the promotion lease goes first
 * as long as no other host may request promotions, so that one change of primary does not delay the
 * next.
 */
export function failoverOrder(
  ranked: readonly HostId[],
  seen: SeenPromotionLease | undefined,
  now: number,
  rules: FailoverRules,
): readonly HostId[] {
  if (seen === undefined || now >= promotionLeaseFreeAt(seen, rules)) return ranked;
  if (!ranked.includes(seen.holder)) return ranked;
  return [seen.holder, ...ranked.filter((host) => host !== seen.holder)];
}

/** Local time at which a host that does not hold the promotion lease may acquire it. */
function promotionLeaseFreeAt(seen: SeenPromotionLease, rules: FailoverRules): number {
  return seen.seenAt + rules.leaseWindowMs + rules.leaseGapMs;
}
