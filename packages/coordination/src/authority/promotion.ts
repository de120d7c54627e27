/**
 * The steps of a promotion as a state machine without input or output: claim the next term in the
 * group's record, fence a majority of the upstreams, promote the highest log among them, publish.
 *
 * Every step may be repeated. A claim or publication whose reply was lost is settled by reading the
 * record back. A failed promotion is never retried under the same term, because the upstream may
 * have become the primary of that term although its reply was lost.
 */
import type { GroupRecord } from '../model/group.js';
import { GroupPhase, majorityOf } from '../model/group.js';
import type { HostId, UpstreamId } from '../model/ids.js';
import type { Lineage } from '../reads/position.js';
import { comparePositions } from '../reads/position.js';
import type { UpstreamReport } from '../model/upstream-report.js';

/** Stage of an attempt. */
export enum PromotionStage {
  Claiming = 'claiming',
  Fencing = 'fencing',
  Promoting = 'promoting',
  Publishing = 'publishing',
  Done = 'done',
  /** Given up; another attempt needs a new term. */
  Abandoned = 'abandoned',
}

/** One attempt. */
export interface PromotionState {
  readonly stage: PromotionStage;
  /** Record that this attempt wrote or is writing. */
  readonly record: GroupRecord;
  /** Store revision of the record that the next swap expects. */
  readonly revision: number;
  readonly members: readonly UpstreamId[];
  /** Upstreams that must not become primary while another can: the suspect, and leaving ones. */
  readonly avoid: readonly UpstreamId[];
  readonly reports: readonly UpstreamReport[];
}

/** Outcomes that move an attempt. */
export type PromotionEvent =
  | { readonly kind: 'swapped' }
  | { readonly kind: 'conflict' }
  /** The reply was lost: the swap may or may not have taken effect. */
  | { readonly kind: 'swap-unknown' }
  | {
      readonly kind: 'record-read';
      readonly record: GroupRecord | undefined;
      readonly revision: number;
    }
  | { readonly kind: 'fenced'; readonly report: UpstreamReport }
  | { readonly kind: 'promoted'; readonly report: UpstreamReport }
  | { readonly kind: 'promote-failed' }
  /** The time to wait for upstreams that need not be avoided is over. */
  | { readonly kind: 'grace-over' }
  | { readonly kind: 'expired' };

/** What has to be carried out next. */
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

/** A state with the actions that lead on. */
export interface PromotionStep {
  readonly state: PromotionState;
  readonly actions: readonly PromotionAction[];
}

/** What starts an attempt. */
export interface PromotionStart {
  /** Newest record that the promoter knows. */
  readonly record: GroupRecord;
  /** Store revision of the record that lies there, be it an older one. */
  readonly revision: number;
  /** Highest term that an upstream is known to be fenced at. */
  readonly fencedTerm: number;
  readonly members: readonly UpstreamId[];
  readonly avoid: readonly UpstreamId[];
  readonly promoter: HostId;
  /** Unique id of this attempt. */
  readonly attempt: string;
}

/**
 * Begins an attempt under the term after all that are known to have been used: a store that came back from a copy may
 * have lost the records of the latest ones.
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

/** Moves an attempt by one event. */
export function advancePromotion(state: PromotionState, event: PromotionEvent): PromotionStep {
  if (state.stage === PromotionStage.Done || state.stage === PromotionStage.Abandoned) {
    return stay(state);
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

/** The record as read tells whether the last swap took effect, whatever its reply said. */
function afterRead(
  state: PromotionState,
  record: GroupRecord | undefined,
  revision: number,
): PromotionStep {
  const mine = record?.attempt === state.record.attempt && record.phase === state.record.phase;
  if (state.stage === PromotionStage.Claiming) {
    if (!mine) return abandon(state);
    const next = { ...state, stage: PromotionStage.Fencing, revision };
    const { term } = state.record;
    return { state: next, actions: [{ kind: 'fence', upstreams: state.members, term }] };
  }
  if (state.stage === PromotionStage.Publishing) {
    return mine ? stay({ ...state, stage: PromotionStage.Done, revision }) : abandon(state);
  }
  return stay(state);
}

function afterFence(state: PromotionState, report: UpstreamReport): PromotionStep {
  if (state.stage !== PromotionStage.Fencing) return stay(state);
  if (report.fencedTerm > state.record.term) return abandon(state);
  if (report.fencedTerm < state.record.term) return stay(state);
  // Its log went through this term under a record that the store has lost; another log must not do so again.
  if (hasReached(report, state.record.term)) return abandon(state);
  const others = state.reports.filter((held) => held.upstream !== report.upstream);
  const reports = [...others, report];
  const next = { ...state, reports };
  const wanted = reports.filter((held) => !state.avoid.includes(held.upstream));
  if (isMajority(wanted, state)) return promoteHighest(next, wanted);
  return reports.length === state.members.length ? promoteHighest(next, reports) : stay(next);
}

function hasReached({ received, lineage }: UpstreamReport, term: number): boolean {
  return received.term >= term || lineage.some((entry) => entry.term >= term);
}

/**
 * Any fenced majority may choose. A suspect primary that still answers has the longest log, so it
 * is left out of the choice while a majority of the others can be had; a promotion that chose it
 * again would change nothing.
 */
function afterGrace(state: PromotionState): PromotionStep {
  const canChoose = state.stage === PromotionStage.Fencing && isMajority(state.reports, state);
  return canChoose ? promoteHighest(state, state.reports) : stay(state);
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
 * Lineage of the new term: what the chosen log went through itself. Terms of the record that it
 * never reached are dropped: nothing of theirs can have been confirmed.
 */
function lineageFrom(chosen: UpstreamReport, term: number): Lineage {
  const { received } = chosen;
  const reached = chosen.lineage.filter((entry) => entry.term <= received.term);
  return [...reached, { term, start: received.offset }];
}

/** Highest log among the fenced; among equals one that need not be avoided, then by name. */
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
  if (state.stage !== PromotionStage.Promoting) return stay(state);
  if (report.fencedTerm > state.record.term) return abandon(state);
  const next = { ...state, stage: PromotionStage.Publishing };
  const swap: PromotionAction = { kind: 'swap', record: state.record, expected: state.revision };
  return { state: next, actions: [swap] };
}

function stay(state: PromotionState): PromotionStep {
  return { state, actions: [] };
}

function abandon(state: PromotionState): PromotionStep {
  return stay({ ...state, stage: PromotionStage.Abandoned });
}
