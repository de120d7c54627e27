/**
 * Explores the promotion model: every interleaving of a small one, or random walks through a larger one.
 */
import type { RandomSource } from '@gladespool/coordination';
import { AckDecision, GroupPhase, UpstreamRole } from '@gladespool/coordination';
import type { ModelFault } from './breadth-first.js';
import { visitAll } from './breadth-first.js';
import type { ModelState } from './model-state.js';
import type { ModelRules } from './model-steps.js';
import { stepsFrom } from './model-steps.js';

/** Result of an exploration, with the numbers of states visited. */
export interface Exploration {
  readonly states: number;
  readonly confirmed: number;
  readonly superseded: number;
  /** Whether every reachable state was visited. */
  readonly complete: boolean;
  /** First violation found, with the steps that lead to it. */
  readonly violation: Violation | undefined;
}

/** A state that violates an invariant, with the steps that lead to it. */
export type Violation = ModelFault<ModelState>;

/**
 * Describes the invariant that the state violates; undefined if it violates none. No two primaries may share a term,
 * and the log of the serving primary must hold every confirmed write and no write that was reported as superseded.
 */
export function faultOf(state: ModelState): string | undefined {
  const terms = state.upstreams
    .filter((upstream) => upstream.role === UpstreamRole.Primary)
    .map((upstream) => upstream.term);
  if (new Set(terms).size < terms.length) return 'two primaries of one term';
  if (state.record.phase !== GroupPhase.Serving) return undefined;
  const primary = state.upstreams.find((upstream) => upstream.id === state.record.primary);
  if (primary?.term !== state.record.term) return undefined;
  for (const [index, write] of state.writes.entries()) {
    const stands = primary.log.includes(index);
    if (write.told === AckDecision.Confirmed && !stands) return `confirmed write ${index} is lost`;
    if (write.told === AckDecision.Superseded && stands) return `refused write ${index} stands`;
  }
  return undefined;
}

/** Visits every reachable state, up to `limit` states. */
export function exploreAll(initial: ModelState, rules: ModelRules, limit: number): Exploration {
  let confirmed = 0;
  let superseded = 0;
  const model = {
    initial,
    stepsFrom: (state: ModelState) => stepsFrom(state, rules),
    faultOf,
    keyOf,
  };
  const visit = visitAll(model, limit, (state) => {
    const told = state.writes.map((write) => write.told);
    if (told.includes(AckDecision.Confirmed)) confirmed += 1;
    if (told.includes(AckDecision.Superseded)) superseded += 1;
  });
  const { states, complete, fault } = visit;
  return { states, confirmed, superseded, complete, violation: fault };
}

/** Makes `walks` random walks from the initial state, each of at most `length` steps. */
export function walkAtRandom(
  initial: ModelState,
  rules: ModelRules,
  walks: number,
  length: number,
  random: RandomSource,
): Exploration {
  let states = 0;
  let confirmed = 0;
  let superseded = 0;
  for (let walk = 0; walk < walks; walk += 1) {
    let state = initial;
    const trace: string[] = [];
    for (let i = 0; i < length; i += 1) {
      const steps = stepsFrom(state, rules);
      const step = steps[random.integer(0, Math.max(0, steps.length - 1))];
      if (step === undefined) break;
      state = step.next;
      states += 1;
      trace.push(step.name);
      const what = faultOf(state);
      const violation = what === undefined ? undefined : { what, trace, state };
      if (violation !== undefined) {
        return { states, confirmed, superseded, complete: false, violation };
      }
    }
    const told = state.writes.map((write) => write.told);
    if (told.includes(AckDecision.Confirmed)) confirmed += 1;
    if (told.includes(AckDecision.Superseded)) superseded += 1;
  }
  return { states, confirmed, superseded, complete: false, violation: undefined };
}

function keyOf(state: ModelState): string {
  const upstreams = state.upstreams.map((upstream) => [
    upstream.up ? 1 : 0,
    upstream.role === UpstreamRole.Primary ? 1 : 0,
    upstream.term,
    upstream.fenced,
    upstream.following,
    upstream.lineage.map((entry) => [entry.term, entry.start]),
    upstream.log,
  ]);
  const reports = [...state.reports]
    .sort((a, b) => (a.upstream < b.upstream ? -1 : 1))
    .map((report) => [report.upstream, report.received, report.fencedTerm]);
  const promoters = state.promoters.map(({ state: attempt, actions, attempts }) => [
    attempts,
    attempt?.stage,
    attempt?.record,
    attempt?.revision,
    attempt?.reports.map((report) => [report.upstream, report.received]),
    actions,
  ]);
  const { record, revision, known, writes, budget } = state;
  return JSON.stringify([upstreams, record, revision, known, reports, writes, promoters, budget]);
}
