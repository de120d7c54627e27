/**
 * Decisions about changing a group's primary: when to suspect it, who acts, which upstream follows
 * it, and when a host may call for promotions.
 */
import type { StartTime } from '../membership/upstream-identity.js';
import type { HostId, UpstreamId } from '../model/ids.js';
import type { Position } from '../reads/position.js';
import type { NamedSuccessor, PrimaryRecord } from './primary-record.js';
import { comparePositions } from '../reads/position.js';

/** Times of failover. */
export interface FailoverRules {
  /** Time for which a primary must have failed this host before it is suspected, milliseconds. */
  readonly suspectAfterMs: number;
  /** Time that each host leaves to those before it in rank, milliseconds. */
  readonly rankDelayMs: number;
  /** Time after which a claim that has not ended may be taken over, milliseconds. */
  readonly stalledAfterMs: number;
  /** Time from a claim of the duty in which its holder may call, milliseconds. */
  readonly leaseWindowMs: number;
  /** Time that must lie between the windows of two holders, milliseconds. */
  readonly leaseGapMs: number;
}

/**
 * 250 ms: twice a tick and a probe; the others still have to agree. 50 ms: a claim travels in less,
 * and only some hosts notice a failure, so the first of them may stand far back in the order. 3.5 s: a
 * claim that waits for silent hosts takes 3 s. 4 s: the call of such a claim is made by then; the
 * successor of a holder that died has to wait the rest out. Gap: docs/PLATFORM.md.
 */
export const DEFAULT_FAILOVER: FailoverRules = {
  suspectAfterMs: 250,
  rankDelayMs: 50,
  stalledAfterMs: 3500,
  leaseWindowMs: 4000,
  leaseGapMs: 2000,
};

/** What the hosts that were asked say about a suspected primary. */
export interface ReachEvidence {
  /** Hosts that reach it. */
  readonly reaching: number;
  /** Hosts that answered and don't reach it, the asking one included. */
  readonly failing: number;
  /** Hosts that did not answer; a refused connection tells no more than silence. */
  readonly silent: number;
}

/** What to do about a suspected primary. */
export enum FailoverDecision {
  Promote = 'promote',
  Wait = 'wait',
}

/**
 * Judges a primary that has failed the asking host for `failedMs`. More than half of the hosts asked,
 * some of each zone, have to miss it: hosts that are cut off themselves are never that many, and must
 * not act on what only they see.
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

/** What an upstream reported, for the choice of a successor. */
export interface SuccessorReport {
  readonly id: UpstreamId;
  /** Birth that its entry told when it reported; missing where it told none. */
  readonly born?: StartTime;
  readonly isPrimary: boolean;
  readonly term: number;
  readonly received: Position;
  /** Whether it is about to leave. */
  readonly draining: boolean;
  /** Whether its zone is evacuated; missing counts as not. */
  readonly evacuated?: boolean;
  /** Whether it stands in the region of the former primary. */
  readonly isInFormerRegion: boolean;
}

/**
 * The upstream that becomes primary: one that already leads, under a term that nobody is ahead of,
 * else the one that has received most, among equals one of the region where the primary was. Leaving
 * ones only if there is no other, those of evacuated zones never.
 */
export function chooseSuccessor(
  reports: readonly SuccessorReport[],
  former: UpstreamId,
): SuccessorReport | undefined {
  const others = reports.filter((report) => report.id !== former && report.evacuated !== true);
  const staying = others.filter((report) => !report.draining);
  const candidates = staying.length > 0 ? staying : others;
  const newestTerm = Math.max(...reports.map(({ term }) => term));
  const leading = candidates.filter(({ isPrimary, term }) => isPrimary && term >= newestTerm);
  return [...(leading.length > 0 ? leading : candidates)].sort(byReceived)[0];
}

/**
 * Whether enough upstreams have reported for one of them to hold every confirmed commit. A commit is
 * confirmed once `syncReplicas` replicas have received it, so at most `syncReplicas - 1` of the
 * `replicas` may be missing. Where replicas confirm nothing, any report is enough.
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
 * The successor if enough upstreams have reported for it to hold every confirmed commit. Reports from
 * evacuated zones show what was confirmed, but their upstreams can't follow: where the others alone are
 * too few, the successor must have received as much as they all.
 */
export function chooseCoveringSuccessor(
  reports: readonly SuccessorReport[],
  former: UpstreamId,
  replicas: number,
  syncReplicas: number,
): SuccessorReport | undefined {
  if (!hasEnoughReports(reports, former, replicas, syncReplicas)) return undefined;
  const chosen = chooseSuccessor(reports, former);
  if (chosen === undefined || syncReplicas === 0) return chosen;
  const inUse = reports.filter((report) => report.evacuated !== true);
  if (hasEnoughReports(inUse, former, replicas, syncReplicas)) return chosen;
  const others = reports.filter((report) => report.id !== former);
  const holdsAll = others.every(
    (report) => comparePositions(report.received, chosen.received) <= 0,
  );
  return holdsAll ? chosen : undefined;
}

/**
 * Whether a planned change had better end with the former primary: it reports, and nobody who could
 * follow holds all of its commits. An upstream that leads already is followed whatever it lacks.
 */
export function shouldKeepFormerPrimary(
  chosen: SuccessorReport | undefined,
  former: SuccessorReport | undefined,
): boolean {
  if (former === undefined || chosen?.isPrimary === true) return false;
  return chosen === undefined || chosen.received.offset < former.received.offset;
}

/** What a host knows of the upstream that a claim has named. */
export interface SuccessorStatus {
  /** Whether it has an entry, and has not started anew since it was named. */
  readonly isThere: boolean;
  readonly isEvacuated: boolean;
  /** Whether the platform has refused to promote it. */
  readonly isRefused: boolean;
}

/**
 * The upstream that the claim after `claim` has to name as well. A call for it may take effect at any time, however
 * long ago it was made or given up, so no other one is called for while it could.
 */
export function retainedSuccessor(
  claim: PrimaryRecord,
  standing: SuccessorStatus,
): NamedSuccessor | undefined {
  const { isThere, isEvacuated, isRefused } = standing;
  return isThere && !isEvacuated && !isRefused ? claim.successor : undefined;
}

function byReceived(a: SuccessorReport, b: SuccessorReport): number {
  const byPosition = comparePositions(b.received, a.received);
  if (byPosition !== 0) return byPosition;
  if (a.isInFormerRegion !== b.isInFormerRegion) return a.isInFormerRegion ? -1 : 1;
  return a.id < b.id ? -1 : 1;
}

/** The duty record as seen by a host. */
export interface SeenPromotionLease {
  readonly holder: HostId;
  readonly incarnation: number;
  readonly fence: number;
  /** Local time at which this version was first seen. */
  readonly seenAt: number;
}

/** Whether and with which fence a host may take the duty. */
export type PromotionLeaseClaim =
  | { readonly kind: 'take'; readonly fence: number }
  /** Another host may still be calling; its window is over at that local time. */
  | { readonly kind: 'wait'; readonly until: number };

/**
 * How a host may take the duty at `now`. Another holder's window is waited out, counted from when
 * its record was seen, which is later than its begin.
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
 * The order in which hosts act on suspected primaries: the holder of the duty goes first for as long
 * as nobody else may call, so that one change of primary does not hold the next one up.
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

/** When a host that does not hold the duty may take it. */
function promotionLeaseFreeAt(seen: SeenPromotionLease, rules: FailoverRules): number {
  return seen.seenAt + rules.leaseWindowMs + rules.leaseGapMs;
}
