/**
 * A breadth-first model checker: it visits every reachable state, so the trace to a fault is a shortest one.
 */

/** A named transition of a model to another state. */
export interface ModelStep<State> {
  readonly name: string;
  readonly next: State;
}

/** A state machine to check: its initial state, its transitions and its invariants. */
export interface Model<State> {
  readonly initial: State;
  stepsFrom(state: State): readonly ModelStep<State>[];
  /** Describes the invariant that the state violates; undefined if it violates none. */
  faultOf(state: State): string | undefined;
  /** Returns a key that is the same only for states that are treated as equal. */
  keyOf(state: State): string;
}

/** A state that violates an invariant, with the steps that lead to it. */
export interface ModelFault<State> {
  readonly what: string;
  /** Names of the steps from the initial state, in order. */
  readonly trace: readonly string[];
  readonly state: State;
}

/** Result of visiting the states of a model. */
export interface Visit<State> {
  readonly states: number;
  /** Whether every reachable state was visited. */
  readonly complete: boolean;
  /** First fault found, at which the visit stops. */
  readonly fault: ModelFault<State> | undefined;
}

/** A state with the predecessor and the step by which it was first reached. */
interface Visited<State> {
  readonly state: State;
  readonly from: Visited<State> | undefined;
  readonly step: string;
}

/** Visits the states breadth first until `limit` states are known, and calls `onState` once for each one visited. */
export function visitAll<State>(
  model: Model<State>,
  limit: number,
  onState: (state: State) => void = () => undefined,
): Visit<State> {
  const seen = new Set<string>([model.keyOf(model.initial)]);
  const queue: Visited<State>[] = [{ state: model.initial, from: undefined, step: 'start' }];
  for (const visited of queue) {
    const { state } = visited;
    onState(state);
    const what = model.faultOf(state);
    if (what !== undefined) {
      const fault = { what, trace: traceOf(visited), state };
      return { states: seen.size, complete: false, fault };
    }
    if (seen.size >= limit) return { states: seen.size, complete: false, fault: undefined };
    for (const { name, next } of model.stepsFrom(state)) {
      const key = model.keyOf(next);
      if (seen.has(key)) continue;
      seen.add(key);
      queue.push({ state: next, from: visited, step: name });
    }
  }
  return { states: seen.size, complete: true, fault: undefined };
}

function traceOf<State>(visited: Visited<State>): readonly string[] {
  const steps: string[] = [];
  for (let at: Visited<State> | undefined = visited; at !== undefined; at = at.from) {
    steps.unshift(at.step);
  }
  return steps;
}
