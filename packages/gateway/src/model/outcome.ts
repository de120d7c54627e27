/**
 * Outcomes of a statement: rows of an upstream, an error returned by the upstream, or a refusal of the proxy.
 */
import type { Refusal, RefusalReason, SessionPosition } from '@gladespool/coordination';
import { refuse, UpstreamFault } from '@gladespool/coordination';

/** Faults that guarantee that the statement did not run. */
export const NOT_RUN_FAULTS: ReadonlySet<UpstreamFault> = new Set([
  UpstreamFault.Busy,
  UpstreamFault.Lagging,
  UpstreamFault.ReadOnly,
  UpstreamFault.Misrouted,
  UpstreamFault.Overloaded,
  UpstreamFault.UnknownStatement,
]);

/** Success: the answer of the upstream, unchanged. */
export interface Completed {
  readonly kind: 'completed';
  readonly rows: readonly string[];
  readonly signature: string;
  /** Position of a commit, for the session that made it. */
  readonly committed: SessionPosition | undefined;
}

/** An error returned by the upstream; code and text are passed on unchanged. */
export interface Faulted {
  readonly kind: 'faulted';
  readonly fault: UpstreamFault;
  readonly code: string;
  readonly text: string;
}

/** A refusal of the proxy. */
export interface Refused {
  readonly kind: 'refused';
  readonly refusal: Refusal;
}

/** Outcome of one statement. */
export type Outcome = Completed | Faulted | Refused;

/** A refusal as an outcome. */
export function refused(reason: RefusalReason, detail = ''): Refused {
  return { kind: 'refused', refusal: refuse(reason, detail) };
}

/** Signature of answers that do not come from an upstream. */
export const NO_SIGNATURE = '-';

/** Success of a statement that the proxy answers itself. */
export const DONE: Completed = {
  kind: 'completed',
  rows: [],
  signature: NO_SIGNATURE,
  committed: undefined,
};
