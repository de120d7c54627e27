/**
 * Records the outcome of every statement in the metrics, and in the log if it failed.
 */
import type { RefusalReason } from '@gladespool/coordination';
import { REFUSAL_RULES } from '@gladespool/coordination';
import type { HostMetrics, LogFields, Logger } from '@gladespool/observability';
import { ServedBy } from '@gladespool/observability';
import type { GatewayBoard } from '../knowledge/board.js';
import type { Outcome } from '../model/outcome.js';
import { DONE } from '../model/outcome.js';
import type { Statement } from '../model/statement.js';

/** A statement that has been handled, with its outcome. */
export interface FinishedRequest {
  readonly id: string;
  readonly database: string;
  readonly statement: Statement;
  readonly outcome: Outcome;
  readonly arrivedAt: number;
}

const MS_PER_SECOND = 1000;

export class RequestRecorder {
  constructor(
    private readonly board: GatewayBoard,
    private readonly metrics: HostMetrics,
    private readonly log: Logger,
  ) {}

  /** Records the outcome of one statement. */
  recordOutcome(finished: FinishedRequest): void {
    const tookMs = performance.now() - finished.arrivedAt;
    this.metrics.latency.observe(tookMs / MS_PER_SECOND);
    const { outcome } = finished;
    if (outcome.kind === 'completed') {
      if (outcome === DONE) this.metrics.statements.inc({ served_by: ServedBy.Proxy });
      return;
    }
    if (outcome.kind === 'refused') this.metrics.refusals.inc({ reason: outcome.refusal.reason });
    this.log.info('request-failed', {
      ...requestFields(finished),
      ...outcomeFields(outcome),
      ...this.decisionFields(finished.database),
      ms: Math.round(tookMs),
    });
  }

  /** The configuration, record and proof on which this host based its answer, with versions and ages. */
  private decisionFields(database: string): LogFields {
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

  /** Counts a refusal that does not belong to a statement. */
  countRefusal(reason: RefusalReason): void {
    this.metrics.refusals.inc({ reason });
  }

  /** Logs that a transaction was rolled back after it had been idle for `idleMs`; its next statement is refused. */
  recordIdleTimeout(database: string, idleMs: number): void {
    this.log.info('transaction-idle', { database, idle_ms: idleMs });
  }
}

function requestFields(finished: FinishedRequest): {
  request: string;
  database: string;
  statement: string;
} {
  return { request: finished.id, database: finished.database, statement: finished.statement.kind };
}

function outcomeFields(
  outcome: Exclude<Outcome, { kind: 'completed' }>,
): Record<string, string | undefined> {
  if (outcome.kind === 'faulted') {
    return { told_by: 'upstream', reason: outcome.fault, code: outcome.code, text: outcome.text };
  }
  const { reason, detail } = outcome.refusal;
  return { told_by: 'proxy', reason, ran: REFUSAL_RULES[reason].ran, detail: detail || undefined };
}
