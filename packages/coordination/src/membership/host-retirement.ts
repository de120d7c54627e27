/**
 * When a host that does not answer may be taken off the list of hosts. A host that is wrongly taken
 * off lists itself again before it proves anything.
 */

/** Times of retirement. */
export interface RetirementRules {
  /** Time between two pings of the host that follows in the list, milliseconds. */
  readonly pingMs: number;
  /** Time for which a host must have been silent, milliseconds. */
  readonly silentMs: number;
}

/**
 * 10 s: longer than restarts (1 to 4 s) and most cuts (4 to 9 s); until then every change of a primary
 * waits for the proofs of a host that is gone. A ping each 3 s costs nothing.
 */
export const DEFAULT_RETIREMENT: RetirementRules = { pingMs: 3000, silentMs: 10_000 };

/** What the hosts say about a silent one. */
export interface SilenceEvidence {
  /** Hosts listed, the silent one included. */
  readonly listed: number;
  /** Hosts that tried and got no answer from it either, the asking one included. */
  readonly missing: number;
  /** Hosts that got an answer from it. */
  readonly reaching: number;
}

/** Whether a host that has been silent for `silentForMs` may be taken off the list. */
export function mayRetire(
  evidence: SilenceEvidence,
  silentForMs: number,
  rules: RetirementRules,
): boolean {
  const { listed, missing, reaching } = evidence;
  return silentForMs >= rules.silentMs && reaching === 0 && missing * 2 > listed;
}
