/**
 * What an upstream said about itself, and the board on which a home keeps the latest of each.
 */
import type { UpstreamId } from './ids.js';
import type { Lineage, Position } from '../reads/position.js';

/** Role that an upstream believes it has. */
export enum UpstreamRole {
  Primary = 'primary',
  Replica = 'replica',
}

/** Answer of an upstream to a status query. */
export interface UpstreamReport {
  readonly upstream: UpstreamId;
  readonly role: UpstreamRole;
  /** Last position written durably to its log. */
  readonly received: Position;
  /** Last position visible to its readers. */
  readonly applied: Position;
  /** Highest term to which it has been fenced; it accepts no write of a lower one. */
  readonly fencedTerm: number;
  /** Terms that its log has gone through, its own last. */
  readonly lineage: Lineage;
  /** Transactions open on it. */
  readonly openTransactions: number;
}

/** A report with the local times that bound it. */
export interface TimedReport {
  readonly report: UpstreamReport;
  /** When the query was sent, local milliseconds: the report can't be older than this. */
  readonly sentAt: number;
  /** When the answer arrived, local milliseconds. */
  readonly at: number;
}

/** State of the last exchanges with one upstream. */
export interface UpstreamHealth {
  /** Latest report; undefined until the first answer. */
  readonly last: TimedReport | undefined;
  /** Consecutive failed status queries. */
  readonly failures: number;
  /** When the first of those failures happened, local milliseconds; 0 when there is none. */
  readonly failingSince: number;
}

/** Health of an upstream that has not been asked. */
export const UNKNOWN_HEALTH: UpstreamHealth = { last: undefined, failures: 0, failingSince: 0 };

/** Health after an answer. Reports that were sent before the one held don't replace it. */
export function afterReport(health: UpstreamHealth, next: TimedReport): UpstreamHealth {
  const stale = health.last !== undefined && next.sentAt < health.last.sentAt;
  return { last: stale ? health.last : next, failures: 0, failingSince: 0 };
}

/** Health after a failed query. */
export function afterFailure(health: UpstreamHealth, now: number): UpstreamHealth {
  return {
    last: health.last,
    failures: health.failures + 1,
    failingSince: health.failures === 0 ? now : health.failingSince,
  };
}
