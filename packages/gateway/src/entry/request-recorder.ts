/**
 * Tells the outcome of every statement to metrics, and to the log where a caller could ask about it.
 */
import { RefusalReason, REFUSAL_RULES } from '@gladespool/coordination';
import type { HostMetrics, LogFields, Logger } from '@gladespool/observability';
import { ServedBy } from '@gladespool/observability';
import type { GatewayBoard } from '../knowledge/board.js';
import type { Outcome } from '../model/outcome.js';
import { DONE } from '../model/outcome.js';
import type { Statement } from '../model/statement.js';

/** One statement and its end. */
export interface FinishedRequest {
  readonly id: string;
  readonly database: string;
  readonly statement: Statement;
  readonly outcome: Outcome;
  readonly arrivedAt: number;
}

const MS_PER_SECOND = 1000;

/** Records the ends of statements. */
export class RequestRecorder {
  constructor(
    private readonly board: GatewayBoard,
    private readonly metrics: HostMetrics,
    private readonly log: Logger,
  ) {}

  /** Records the end of one statement. */
  recordOutcome(end: FinishedRequest): void {
    const tookMs = performance.now() - end.arrivedAt;
    this.metrics.latency.observe(tookMs / MS_PER_SECOND);
    const { outcome } = end;
    if (outcome.kind === 'completed') {
      if (outcome === DONE) this.metrics.statements.inc({ served_by: ServedBy.Proxy });
      return;
    }
    if (outcome.kind === 'refused') this.metrics.refusals.inc({ reason: outcome.refusal.reason });
    this.log.info('request-failed', {
      ...placeOf(end),
      ...fieldsOf(outcome),
      ...this.beliefsAbout(end.database),
      ms: Math.round(tookMs),
    });
  }

  /** What this host believed when it gave the answer, with versions and ages. */
  private beliefsAbout(database: string): LogFields {
    const { board } = this;
    const group = board.route(database)?.group;
    const record = group && board.record(group);
    return {
      catalog_version: board.catalog?.version,
      group,
      epoch: record?.epoch,
      phase: record?.phase,
      primary: record?.primary,
      proof_age_ms: Math.round(performance.now() - board.latestProofAt),
    };
  }

  /** Counts a refusal that concerns no statement. */
  countRefusal(reason: RefusalReason): void {
    this.metrics.refusals.inc({ reason });
  }

  /** Records that a transaction was ended for having rested `idleMs`. */
  recordIdleTimeout(database: string, idleMs: number): void {
    this.metrics.refusals.inc({ reason: RefusalReason.TransactionIdle });
    this.log.info('transaction-idle', { database, idle_ms: idleMs });
  }
}

function placeOf(end: FinishedRequest): { request: string; database: string; statement: string } {
  return { request: end.id, database: end.database, statement: end.statement.kind };
}

function fieldsOf(
  outcome: Exclude<Outcome, { kind: 'completed' }>,
): Record<string, string | undefined> {
  if (outcome.kind === 'faulted') {
    return { told_by: 'upstream', reason: outcome.fault, code: outcome.code, text: outcome.text };
  }
  const { reason, detail } = outcome.refusal;
  return { told_by: 'proxy', reason, ran: REFUSAL_RULES[reason].ran, detail: detail || undefined };
}
