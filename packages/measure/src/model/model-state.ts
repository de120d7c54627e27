/**
 * State of a small model of one group: three upstreams, one home host that confirms writes, promoters that run
 * the library's own promotion state machine, and a store with compare-and-swap.
 */
import type {
  AckDecision,
  GroupRecord,
  Lineage,
  Position,
  PromotionAction,
  PromotionState,
  UpstreamId,
  UpstreamReport,
} from '@gladespool/coordination';
import {
  groupId,
  GroupPhase,
  hostId,
  termAt,
  upstreamId,
  UpstreamRole,
} from '@gladespool/coordination';

/** State of one upstream. */
export interface ModelUpstream {
  readonly id: UpstreamId;
  readonly up: boolean;
  readonly role: UpstreamRole;
  readonly term: number;
  readonly fenced: number;
  readonly lineage: Lineage;
  readonly following: UpstreamId | undefined;
  /** Numbers of the writes that the log holds, in log order. */
  readonly log: readonly number[];
}

/** A write, with its position once it is committed and the decision once it is reported to the caller. */
export interface ModelWrite {
  readonly position: Position | undefined;
  readonly told: AckDecision | undefined;
}

/** An action in progress; it may outlive the promotion attempt that requested it. */
export interface PendingAction {
  readonly attempt: string;
  readonly action: PromotionAction;
}

/** A promoter with the actions that it has yet to carry out. */
export interface ModelPromoter {
  readonly state: PromotionState | undefined;
  readonly actions: readonly PendingAction[];
  readonly attempts: number;
}

/** Numbers of upstream crashes and of lost replies or abandoned attempts that may still happen. */
export interface FaultBudget {
  readonly crashes: number;
  readonly losses: number;
}

/** State of the whole model; `known` is the record as the home host knows it. */
export interface ModelState {
  readonly upstreams: readonly ModelUpstream[];
  readonly record: GroupRecord;
  readonly revision: number;
  readonly known: GroupRecord;
  readonly reports: readonly UpstreamReport[];
  readonly writes: readonly ModelWrite[];
  readonly promoters: readonly ModelPromoter[];
  readonly budget: FaultBudget;
}

/** Ids of the upstreams. */
export const MEMBERS: readonly UpstreamId[] = ['a', 'b', 'c'].map(upstreamId);

/** Bounds of the model: numbers of writes, promoters and faults. */
export interface ModelSize {
  readonly writes: number;
  readonly promoters: number;
  readonly budget: FaultBudget;
}

/** Returns the initial state, in which `a` is the primary of term 1. */
export function initialState(size: ModelSize): ModelState {
  const lineage: Lineage = [{ term: 1, start: 0 }];
  const [primary] = MEMBERS;
  if (primary === undefined) throw new Error('the model has no upstreams');
  const record: GroupRecord = {
    group: groupId('g'),
    term: 1,
    phase: GroupPhase.Serving,
    primary,
    lineage,
    attempt: 'first',
    promoter: hostId('none'),
  };
  const upstreams = MEMBERS.map((id) => ({
    id,
    up: true,
    role: id === primary ? UpstreamRole.Primary : UpstreamRole.Replica,
    term: 1,
    fenced: 1,
    lineage,
    following: id === primary ? undefined : primary,
    log: [],
  }));
  return {
    upstreams,
    record,
    revision: 1,
    known: record,
    reports: [],
    writes: Array.from({ length: size.writes }, () => ({ position: undefined, told: undefined })),
    promoters: Array.from({ length: size.promoters }, () => ({
      state: undefined,
      actions: [],
      attempts: 0,
    })),
    budget: size.budget,
  };
}

/**
 * Returns the report of an upstream. With `followedTerm`, the upstream wrongly reports the term that it follows, even
 * if its log has not reached the start of that term.
 */
export function reportOf(upstream: ModelUpstream, followedTerm = false): UpstreamReport {
  const offset = upstream.log.length;
  const reached = Math.min(upstream.term, termAt(upstream.lineage, offset));
  const position = { term: followedTerm ? upstream.term : reached, offset };
  return {
    upstream: upstream.id,
    role: upstream.role,
    received: position,
    applied: position,
    fencedTerm: upstream.fenced,
    lineage: upstream.lineage.filter((entry) => entry.term <= position.term),
    openTransactions: 0,
  };
}
