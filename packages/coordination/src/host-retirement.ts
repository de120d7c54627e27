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

/** 20 s: longer than restarts (1 to 4 s) and usual cuts (6 to 12 s). A ping each 5 s costs nothing. */
export const DEFAULT_RETIREMENT: RetirementRules = { pingMs: 5000, silentMs: 20_000 };

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
