/**
 * Diagnostics of recently received proofs, for the log: whether a late proof was read late, forwarded late, or not
 * accepted.
 */
import type { LogFields } from '@gladespool/observability';

/** What became of the proof in a reply. */
export enum ProofOutcome {
  Accepted = 'taken',
  /** The reply carried none. */
  None = 'none',
  /** This host does not hold the gateway's own documents up to the proof's position. */
  AheadOfDocuments = 'ahead-of-documents',
}

/** The latest request of one host and the latest reply. */
export class ProofDiagnostics {
  private requestedAt: number | undefined;
  private repliedAt: number | undefined;
  private outcome: ProofOutcome | undefined;
  private ageMs: number | undefined;

  /** Records that a request was sent to the host's parent at `now`. */
  noteRequest(now: number): void {
    this.requestedAt = now;
  }

  /** Records a reply at `now`, with the age of its proof on arrival, milliseconds. */
  noteReply(now: number, outcome: ProofOutcome, ageMs?: number): void {
    this.repliedAt = now;
    this.outcome = outcome;
    this.ageMs = ageMs;
  }

  /** The diagnostics at `now`, as log fields. */
  logFields(now: number): LogFields {
    return {
      asked_ms_ago: msSince(this.requestedAt, now),
      answered_ms_ago: msSince(this.repliedAt, now),
      answer: this.outcome,
      answer_proof_age_ms: this.ageMs === undefined ? undefined : Math.round(this.ageMs),
    };
  }
}

function msSince(at: number | undefined, now: number): number | undefined {
  return at === undefined ? undefined : Math.round(now - at);
}
