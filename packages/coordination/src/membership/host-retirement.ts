/**
 * Decides when a host that does not answer may be removed from the host list. A host that was
 * removed wrongly registers again before it renews any proof.
 */

/** Time limits of retirement. */
export interface RetirementRules {
  /** Interval between pings to the next host in the list, milliseconds. */
  readonly pingMs: number;
  /** Time without an answer after which a host may be removed, milliseconds. */
  readonly silentMs: number;
}

/**
 * 10 s: longer than restarts (1 to 4 s) and most network partitions (4 to 9 s); until then, every
 * change of a primary waits for the proofs of the failed host to expire. One ping every 3 s is
 * negligible load.
 */
export const DEFAULT_RETIREMENT: RetirementRules = { pingMs: 3000, silentMs: 10_000 };

/** Answers of the hosts about a host that does not answer. */
export interface SilenceEvidence {
  /** Number of listed hosts, including the silent one. */
  readonly listed: number;
  /** Number of hosts that tried and got no answer from it, including the asking one. */
  readonly missing: number;
  /** Number of hosts that got an answer from it. */
  readonly reaching: number;
}

/** Whether a host that has not answered for `silentForMs` may be removed from the host list. */
export function mayRetire(
  evidence: SilenceEvidence,
  silentForMs: number,
  rules: RetirementRules,
): boolean {
  const { listed, missing, reaching } = evidence;
  return silentForMs >= rules.silentMs && reaching === 0 && missing * 2 > listed;
}
