/**
 * Enumerates the steps that the model can take from a state, faults included.
 */
import type {
  AcknowledgementRule,
  GroupRecord,
  PromotionEvent,
  PromotionStep,
  UpstreamId,
} from '@gladespool/coordination';
import {
  AckDecision,
  advancePromotion,
  GroupPhase,
  hostId,
  PromotionStage,
  sharedPrefix,
  startPromotion,
  UpstreamRole,
  upstreamsToRepoint,
} from '@gladespool/coordination';
import type { ModelStep } from './breadth-first.js';
import type { ModelPromoter, ModelState, ModelUpstream, PendingAction } from './model-state.js';
import { MEMBERS, reportOf } from './model-state.js';

/** Rules of the model; each can be broken deliberately, to check that the exploration finds the violation. */
export interface ModelRules {
  readonly acknowledgement: AcknowledgementRule;
  /** Whether a fence takes effect on the upstream. */
  readonly fences: boolean;
  /** Whether upstreams report the term that they follow even if their log has not reached its start. */
  readonly reportsFollowedTerm: boolean;
  /** Whether a promoter reads the record back in the same step as its swap, which reduces the number of states. */
  readonly eagerReads: boolean;
  /** Maximum number of attempts of each promoter. */
  readonly attempts: number;
}

export type NamedStep = ModelStep<ModelState>;

/** Returns the steps from a state. */
export function stepsFrom(state: ModelState, rules: ModelRules): readonly NamedStep[] {
  const steps = allSteps(state, rules);
  if (!rules.eagerReads) return steps;
  return steps.map(({ name, next }) => ({ name, next: withReads(next, rules) }));
}

/** Carries out every pending read of the record. */
function withReads(state: ModelState, rules: ModelRules): ModelState {
  for (const [index, promoter] of state.promoters.entries()) {
    const at = promoter.actions.findIndex(({ action }) => action.kind === 'read-record');
    const pending = promoter.actions[at];
    if (pending === undefined) continue;
    const [step] = carryOut(state, promoter, index, at, pending, rules);
    if (step !== undefined) return withReads(step.next, rules);
  }
  return state;
}

function allSteps(state: ModelState, rules: ModelRules): readonly NamedStep[] {
  return [
    ...commits(state, rules),
    ...state.upstreams.flatMap((upstream) => upstreamSteps(state, upstream, rules)),
    ...readsRecord(state, rules),
    ...state.promoters.flatMap((promoter, index) => promoterSteps(state, promoter, index, rules)),
  ];
}

function withUpstream(state: ModelState, changed: ModelUpstream): ModelState {
  const upstreams = state.upstreams.map((entry) => (entry.id === changed.id ? changed : entry));
  return { ...state, upstreams };
}

function upstreamOf(state: ModelState, id: UpstreamId): ModelUpstream {
  const found = state.upstreams.find((upstream) => upstream.id === id);
  if (found === undefined) throw new Error(`unknown upstream ${id}`);
  return found;
}

function canWrite(upstream: ModelUpstream): boolean {
  return upstream.up && upstream.role === UpstreamRole.Primary && upstream.fenced <= upstream.term;
}

/** The home host commits the next write on the primary that it knows. */
function commits(state: ModelState, rules: ModelRules): readonly NamedStep[] {
  const index = state.writes.findIndex((write) => write.position === undefined);
  const primary = upstreamOf(state, state.known.primary);
  const serving = state.known.phase === GroupPhase.Serving;
  if (index < 0 || !serving || !canWrite(primary)) return [];
  const changed = { ...primary, log: [...primary.log, index] };
  const { received } = reportOf(changed, rules.reportsFollowedTerm);
  const writes = state.writes.map((write, at) =>
    at === index ? { ...write, position: received } : write,
  );
  const next = withUpstream({ ...state, writes }, changed);
  return [{ name: `commit ${index} on ${primary.id}`, next: withDecisions(next, rules) }];
}

/** Reports the decision on every commit for which the acknowledgement rule now has one. */
function withDecisions(state: ModelState, rules: ModelRules): ModelState {
  const writes = state.writes.map((write) => {
    if (write.position === undefined || write.told !== undefined) return write;
    const { known: record, reports } = state;
    const input = { position: write.position, record, members: MEMBERS, reports };
    const verdict = rules.acknowledgement.decide(input);
    return verdict === AckDecision.Waiting ? write : { ...write, told: verdict };
  });
  return { ...state, writes };
}

function upstreamSteps(
  state: ModelState,
  upstream: ModelUpstream,
  rules: ModelRules,
): readonly NamedStep[] {
  return [
    ...replicates(state, upstream),
    ...observes(state, upstream, rules),
    ...crashes(state, upstream),
    ...follows(state, upstream, rules),
  ];
}

function replicates(state: ModelState, replica: ModelUpstream): readonly NamedStep[] {
  if (!replica.up || replica.following === undefined) return [];
  const primary = upstreamOf(state, replica.following);
  const agrees = primary.up && primary.role === UpstreamRole.Primary;
  const accepts = agrees && primary.term === replica.term && replica.fenced <= primary.term;
  const entry = primary.log[replica.log.length];
  if (!accepts || entry === undefined) return [];
  const next = withUpstream(state, { ...replica, log: [...replica.log, entry] });
  return [{ name: `replicate to ${replica.id}`, next }];
}

function observes(
  state: ModelState,
  upstream: ModelUpstream,
  rules: ModelRules,
): readonly NamedStep[] {
  if (!upstream.up) return [];
  const report = reportOf(upstream, rules.reportsFollowedTerm);
  const held = state.reports.find((candidate) => candidate.upstream === upstream.id);
  if (JSON.stringify(held) === JSON.stringify(report)) return [];
  const others = state.reports.filter((candidate) => candidate.upstream !== upstream.id);
  const next = withDecisions({ ...state, reports: [...others, report] }, rules);
  return [{ name: `observe ${upstream.id}`, next }];
}

function crashes(state: ModelState, upstream: ModelUpstream): readonly NamedStep[] {
  if (!upstream.up) {
    const next = withUpstream(state, { ...upstream, up: true });
    return [{ name: `restart ${upstream.id}`, next }];
  }
  if (state.budget.crashes === 0) return [];
  const budget = { ...state.budget, crashes: state.budget.crashes - 1 };
  const next = withUpstream({ ...state, budget }, { ...upstream, up: false });
  return [{ name: `crash ${upstream.id}`, next }];
}

function follows(
  state: ModelState,
  upstream: ModelUpstream,
  rules: ModelRules,
): readonly NamedStep[] {
  const { record } = state;
  const report = reportOf(upstream, rules.reportsFollowedTerm);
  const spec = { upstreams: MEMBERS.map((id) => ({ id })) } as unknown as Parameters<
    typeof upstreamsToRepoint
  >[0];
  const wanted = upstream.up && upstreamsToRepoint(spec, record, [report]).length > 0;
  const already = upstream.following === record.primary && upstream.term === record.term;
  if (!wanted || already) return [];
  const keep = Math.min(upstream.log.length, sharedPrefix(upstream.lineage, record.lineage));
  const changed: ModelUpstream = {
    ...upstream,
    role: UpstreamRole.Replica,
    following: record.primary,
    term: record.term,
    fenced: record.term,
    lineage: record.lineage,
    log: upstream.log.slice(0, keep),
  };
  return [{ name: `${upstream.id} follows`, next: withUpstream(state, changed) }];
}

function readsRecord(state: ModelState, rules: ModelRules): readonly NamedStep[] {
  if (state.known === state.record) return [];
  if (JSON.stringify(state.known) === JSON.stringify(state.record)) return [];
  const next = withDecisions({ ...state, known: state.record }, rules);
  return [{ name: 'home reads record', next }];
}

function promoterSteps(
  state: ModelState,
  promoter: ModelPromoter,
  index: number,
  rules: ModelRules,
): readonly NamedStep[] {
  const stage = promoter.state?.stage;
  const idle = stage === undefined || stage === PromotionStage.Abandoned;
  const late = promoter.actions.flatMap((pending, at) =>
    carryOut(state, promoter, index, at, pending, rules),
  );
  if (idle) {
    if (promoter.attempts >= rules.attempts) return late;
    const attempt = `p${index}/${promoter.attempts}`;
    const started = startPromotion({
      record: state.record,
      revision: state.revision,
      fencedTerm: 0,
      members: MEMBERS,
      avoid: [state.record.primary],
      promoter: hostId(`p${index}`),
      attempt,
    });
    const begun = { ...promoter, attempts: promoter.attempts + 1 };
    return [...late, { name: `p${index} starts`, next: withStep(state, index, begun, started) }];
  }
  const steps = [...late, ...endsGracePeriod(state, promoter, index)];
  if (stage === PromotionStage.Done || state.budget.losses === 0) return steps;
  return [...steps, ...expires(state, promoter, index)];
}

/** Ends the wait for candidates that need not be avoided, if that changes the stage of the promotion. */
function endsGracePeriod(
  state: ModelState,
  promoter: ModelPromoter,
  index: number,
): readonly NamedStep[] {
  const attempt = promoter.state?.record.attempt ?? '';
  const next = withOutcome(state, promoter, index, attempt, { kind: 'grace-over' });
  const moves = next.promoters[index]?.state?.stage !== promoter.state?.stage;
  return moves ? [{ name: `p${index} ends its grace period`, next }] : [];
}

/** The promoter crashes, or its attempt times out. */
function expires(state: ModelState, promoter: ModelPromoter, index: number): readonly NamedStep[] {
  const lost = spendLoss(state);
  const attempt = promoter.state?.record.attempt ?? '';
  const next = withOutcome(lost, promoter, index, attempt, { kind: 'expired' });
  return [{ name: `p${index} gives up`, next }];
}

function spendLoss(state: ModelState): ModelState {
  return { ...state, budget: { ...state.budget, losses: state.budget.losses - 1 } };
}

/** Passes an outcome to the attempt that requested the action; it is dropped if that attempt has ended meanwhile. */
function withOutcome(
  state: ModelState,
  promoter: ModelPromoter,
  index: number,
  attempt: string,
  event: PromotionEvent,
): ModelState {
  if (promoter.state?.record.attempt !== attempt) {
    const promoters = state.promoters.map((entry, at) => (at === index ? promoter : entry));
    return { ...state, promoters };
  }
  return withStep(state, index, promoter, advancePromotion(promoter.state, event));
}

function withStep(
  state: ModelState,
  index: number,
  promoter: ModelPromoter,
  step: PromotionStep,
): ModelState {
  const changed = {
    ...promoter,
    state: step.state,
    actions: [
      ...promoter.actions,
      ...step.actions.map((action) => ({ attempt: step.state.record.attempt, action })),
    ],
  };
  const promoters = state.promoters.map((entry, at) => (at === index ? changed : entry));
  return { ...state, promoters };
}

function carryOut(
  state: ModelState,
  promoter: ModelPromoter,
  index: number,
  at: number,
  pending: PendingAction,
  rules: ModelRules,
): readonly NamedStep[] {
  const { attempt, action } = pending;
  const rest = { ...promoter, actions: promoter.actions.filter((_, other) => other !== at) };
  const name = `p${index} ${action.kind}`;
  switch (action.kind) {
    case 'swap': {
      const swapped = action.expected === state.revision;
      const after = swapped ? withRecord(state, action.record) : state;
      const kind = swapped ? 'swapped' : 'conflict';
      const answered = { name, next: withOutcome(after, rest, index, attempt, { kind }) };
      if (state.budget.losses === 0) return [answered];
      const lost = withOutcome(spendLoss(after), rest, index, attempt, { kind: 'swap-unknown' });
      return [answered, { name: `${name}, reply lost`, next: lost }];
    }
    case 'read-record': {
      const { record, revision } = state;
      const read = { kind: 'record-read', record, revision } as const;
      return [{ name, next: withOutcome(state, rest, index, attempt, read) }];
    }
    case 'fence':
      return action.upstreams.flatMap((id) => fence(state, promoter, index, at, id, rules));
    case 'promote':
      return promote(state, rest, index, { attempt, action }, rules);
  }
}

function withRecord(state: ModelState, record: GroupRecord): ModelState {
  return { ...state, record, revision: state.revision + 1 };
}

function fence(
  state: ModelState,
  promoter: ModelPromoter,
  index: number,
  at: number,
  id: UpstreamId,
  rules: ModelRules,
): readonly NamedStep[] {
  const upstream = upstreamOf(state, id);
  const pending = promoter.actions[at];
  if (!upstream.up || pending?.action.kind !== 'fence') return [];
  const { attempt, action } = pending;
  const left = action.upstreams.filter((other) => other !== id);
  const actions = promoter.actions.map((entry, other) =>
    other === at ? { attempt, action: { ...action, upstreams: left } } : entry,
  );
  const kept = { ...promoter, actions: left.length === 0 ? actions.toSpliced(at, 1) : actions };
  const fenced = { ...upstream, fenced: Math.max(upstream.fenced, action.term) };
  const after = withUpstream(state, rules.fences ? fenced : upstream);
  const report = reportOf(fenced, rules.reportsFollowedTerm);
  const name = `p${index} fences ${id}`;
  return [{ name, next: withOutcome(after, kept, index, attempt, { kind: 'fenced', report }) }];
}

interface PendingPromote {
  readonly attempt: string;
  readonly action: Extract<PendingAction['action'], { kind: 'promote' }>;
}

function promote(
  state: ModelState,
  rest: ModelPromoter,
  index: number,
  pending: PendingPromote,
  rules: ModelRules,
): readonly NamedStep[] {
  const { attempt, action } = pending;
  const upstream = upstreamOf(state, action.upstream);
  const name = `p${index} promotes ${action.upstream}`;
  const failed = {
    name: `${name}, failed`,
    next: withOutcome(state, rest, index, attempt, { kind: 'promote-failed' }),
  };
  if (!upstream.up || upstream.fenced > action.term) return [failed];
  const { term, lineage } = action;
  const changed: ModelUpstream = {
    ...upstream,
    role: UpstreamRole.Primary,
    following: undefined,
    term,
    fenced: term,
    lineage,
  };
  const after = withUpstream(state, changed);
  const report = reportOf(changed, rules.reportsFollowedTerm);
  const done = {
    name,
    next: withOutcome(after, rest, index, attempt, { kind: 'promoted', report }),
  };
  if (state.budget.losses === 0) return [done];
  const lost = withOutcome(spendLoss(after), rest, index, attempt, { kind: 'promote-failed' });
  return [done, { name: `${name}, reply lost`, next: lost }];
}
