/**
 * How proofs came to a host of late, for its log: whether a late one was read late, passed on late, or not taken.
 */
import type { LogFields } from '@gladespool/observability';

/** What became of the proof in an answer. */
export enum ProofOutcome {
  Taken = 'taken',
  /** The answer held none. */
  None = 'none',
  /** The gateway's own documents are not held up to its position. */
  AheadOfDocuments = 'ahead-of-documents',
}

/** The latest question of one host and the latest answer. */
export class ProofDiagnostics {
  private askedAt: number | undefined;
  private answeredAt: number | undefined;
  private end: ProofOutcome | undefined;
  private ageMs: number | undefined;

  /** Notes that the host's parent was asked at `now`. */
  noteRequest(now: number): void {
    this.askedAt = now;
  }

  /** Notes an answer at `now`, with the age of its proof as it arrived, milliseconds. */
  noteReply(now: number, end: ProofOutcome, ageMs?: number): void {
    this.answeredAt = now;
    this.end = end;
    this.ageMs = ageMs;
  }

  /** What is known at `now`. */
  logFields(now: number): LogFields {
    return {
      asked_ms_ago: rounded(this.askedAt, now),
      answered_ms_ago: rounded(this.answeredAt, now),
      answer: this.end,
      answer_proof_age_ms: this.ageMs === undefined ? undefined : Math.round(this.ageMs),
    };
  }
}

function rounded(at: number | undefined, now: number): number | undefined {
  return at === undefined ? undefined : Math.round(now - at);
}
