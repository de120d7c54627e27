/**
 * A promotion as a state machine without input or output: claim the next term in the group's
 * record, fence a majority of the upstreams, promote the highest log among them, publish the
 * result.
 *
 * Every step may be repeated. If the reply to a claim or a publication was lost, reading the record
 * shows whether it took effect. A failed promotion is never retried under the same term, because
 * the upstream may have become the primary of that term although its reply was lost.
 */
import type { GroupRecord } from '../model/group.js';
import { GroupPhase, majorityOf } from '../model/group.js';
import type { HostId, UpstreamId } from '../model/ids.js';
import type { Lineage } from '../reads/position.js';
import { comparePositions } from '../reads/position.js';
import type { UpstreamReport } from '../model/upstream-report.js';

/** Stage of a promotion attempt. */
export enum PromotionStage {
  Claiming = 'claiming',
  Fencing = 'fencing',
  Promoting = 'promoting',
  Publishing = 'publishing',
  Done = 'done',
  /** The attempt has ended without success; another attempt needs a new term. */
  Abandoned = 'abandoned',
}

/** State of one attempt. */
export interface PromotionState {
  readonly stage: PromotionStage;
  /** Record that this attempt has written or is writing. */
  readonly record: GroupRecord;
  /** Store revision that the next compare-and-swap expects. */
  readonly revision: number;
  readonly members: readonly UpstreamId[];
  /** Upstreams that are chosen only if no other can be: the suspected primary and leaving upstreams. */
  readonly avoid: readonly UpstreamId[];
  readonly reports: readonly UpstreamReport[];
}

/** Events that advance an attempt. */
export type PromotionEvent =
  | { readonly kind: 'swapped' }
  | { readonly kind: 'conflict' }
  /** The reply was lost; the swap may or may not have taken effect. */
  | { readonly kind: 'swap-unknown' }
  | {
      readonly kind: 'record-read';
      readonly record: GroupRecord | undefined;
      readonly revision: number;
    }
  | { readonly kind: 'fenced'; readonly report: UpstreamReport }
  | { readonly kind: 'promoted'; readonly report: UpstreamReport }
  | { readonly kind: 'promote-failed' }
  /** The time to wait for upstreams that are not in `avoid` has passed. */
  | { readonly kind: 'grace-over' }
  | { readonly kind: 'expired' };

/** Actions for the caller to carry out. */
export type PromotionAction =
  | { readonly kind: 'swap'; readonly record: GroupRecord; readonly expected: number }
  | { readonly kind: 'read-record' }
  | { readonly kind: 'fence'; readonly upstreams: readonly UpstreamId[]; readonly term: number }
  | {
      readonly kind: 'promote';
      readonly upstream: UpstreamId;
      readonly term: number;
      readonly lineage: Lineage;
    };

/** A state and the actions that follow from it. */
export interface PromotionStep {
  readonly state: PromotionState;
  readonly actions: readonly PromotionAction[];
}

/** Input of a new attempt. */
export interface PromotionStart {
  /** Latest record known to the promoter. */
  readonly record: GroupRecord;
  /** Store revision of the record in the store, which may be an older version. */
  readonly revision: number;
  /** Highest term at which any upstream is known to be fenced. */
  readonly fencedTerm: number;
  readonly members: readonly UpstreamId[];
  readonly avoid: readonly UpstreamId[];
  readonly promoter: HostId;
  /** Unique id of this attempt. */
  readonly attempt: string;
}

/**
 * Starts an attempt under a term higher than all terms known to have been used: a store that was
 * restored from a copy may have lost the records of the latest ones.
 */
export function startPromotion(start: PromotionStart): PromotionStep {
  const record: GroupRecord = {
    ...start.record,
    term: Math.max(start.record.term, start.fencedTerm) + 1,
    phase: GroupPhase.Fencing,
    attempt: start.attempt,
    promoter: start.promoter,
  };
  const state: PromotionState = {
    stage: PromotionStage.Claiming,
    record,
    revision: start.revision,
    members: start.members,
    avoid: start.avoid,
    reports: [],
  };
  return { state, actions: [{ kind: 'swap', record, expected: start.revision }] };
}

/** Advances an attempt by one event. */
export function advancePromotion(state: PromotionState, event: PromotionEvent): PromotionStep {
  if (state.stage === PromotionStage.Done || state.stage === PromotionStage.Abandoned) {
    return unchanged(state);
  }
  switch (event.kind) {
    case 'expired':
    case 'promote-failed':
      return abandon(state);
    case 'swap-unknown':
      return { state, actions: [{ kind: 'read-record' }] };
    case 'conflict':
      return { state, actions: [{ kind: 'read-record' }] };
    case 'swapped':
      return { state, actions: [{ kind: 'read-record' }] };
    case 'record-read':
      return afterRead(state, event.record, event.revision);
    case 'fenced':
      return afterFence(state, event.report);
    case 'grace-over':
      return afterGrace(state);
    case 'promoted':
      return afterPromote(state, event.report);
  }
}

/** Determines from the record read whether the last swap took effect, whatever its reply was. */
function afterRead(
  state: PromotionState,
  record: GroupRecord | undefined,
  revision: number,
): PromotionStep {
  const isOwn = record?.attempt === state.record.attempt && record.phase === state.record.phase;
  if (state.stage === PromotionStage.Claiming) {
    if (!isOwn) return abandon(state);
    const next = { ...state, stage: PromotionStage.Fencing, revision };
    const { term } = state.record;
    return { state: next, actions: [{ kind: 'fence', upstreams: state.members, term }] };
  }
  if (state.stage === PromotionStage.Publishing) {
    return isOwn ? unchanged({ ...state, stage: PromotionStage.Done, revision }) : abandon(state);
  }
  return unchanged(state);
}

function afterFence(state: PromotionState, report: UpstreamReport): PromotionStep {
  if (state.stage !== PromotionStage.Fencing) return unchanged(state);
  if (report.fencedTerm > state.record.term) return abandon(state);
  if (report.fencedTerm < state.record.term) return unchanged(state);
  // Its log already contains this term, under a record that the store has lost; no other log may
  // use the term again.
  if (containsTerm(report, state.record.term)) return abandon(state);
  const others = state.reports.filter((held) => held.upstream !== report.upstream);
  const reports = [...others, report];
  const next = { ...state, reports };
  const preferred = reports.filter((held) => !state.avoid.includes(held.upstream));
  if (isMajority(preferred, state)) return promoteHighest(next, preferred);
  return reports.length === state.members.length ? promoteHighest(next, reports) : unchanged(next);
}

function containsTerm({ received, lineage }: UpstreamReport, term: number): boolean {
  return received.term >= term || lineage.some((entry) => entry.term >= term);
}

/**
 * Any fenced majority is enough to choose from. A suspected primary that still answers has the
 * longest log, so it is left out of the choice as long as the others can form a majority: a
 * promotion that chose it again would change nothing.
 */
function afterGrace(state: PromotionState): PromotionStep {
  const canChoose = state.stage === PromotionStage.Fencing && isMajority(state.reports, state);
  return canChoose ? promoteHighest(state, state.reports) : unchanged(state);
}

function isMajority(reports: readonly UpstreamReport[], state: PromotionState): boolean {
  return reports.length >= majorityOf(state.members.length);
}

function promoteHighest(state: PromotionState, reports: readonly UpstreamReport[]): PromotionStep {
  const chosen = chooseHighest(reports, state.avoid);
  if (chosen === undefined) return abandon(state);
  const { term } = state.record;
  const lineage = lineageFrom(chosen, term);
  const record: GroupRecord = {
    ...state.record,
    phase: GroupPhase.Serving,
    primary: chosen.upstream,
    lineage,
  };
  const next = { ...state, stage: PromotionStage.Promoting, record };
  return { state: next, actions: [{ kind: 'promote', upstream: chosen.upstream, term, lineage }] };
}

/**
 * Lineage of the new term: the terms that the chosen log contains itself. Terms of the record that
 * it never reached are dropped, because none of their entries can have been confirmed.
 */
function lineageFrom(chosen: UpstreamReport, term: number): Lineage {
  const { received } = chosen;
  const reached = chosen.lineage.filter((entry) => entry.term <= received.term);
  return [...reached, { term, start: received.offset }];
}

/**
 * Highest log among the fenced upstreams; among equals one that is not in `avoid`, then the first
 * by name.
 */
export function chooseHighest(
  reports: readonly UpstreamReport[],
  avoid: readonly UpstreamId[],
): UpstreamReport | undefined {
  const ordered = [...reports].sort(
    (a, b) =>
      comparePositions(b.received, a.received) ||
      Number(avoid.includes(a.upstream)) - Number(avoid.includes(b.upstream)) ||
      (a.upstream < b.upstream ? -1 : 1),
  );
  return ordered[0];
}

function afterPromote(state: PromotionState, report: UpstreamReport): PromotionStep {
  if (state.stage !== PromotionStage.Promoting) return unchanged(state);
  if (report.fencedTerm > state.record.term) return abandon(state);
  const next = { ...state, stage: PromotionStage.Publishing };
  const swap: PromotionAction = { kind: 'swap', record: state.record, expected: state.revision };
  return { state: next, actions: [swap] };
}

function unchanged(state: PromotionState): PromotionStep {
  return { state, actions: [] };
}

function abandon(state: PromotionState): PromotionStep {
  return unchanged({ ...state, stage: PromotionStage.Abandoned });
}
