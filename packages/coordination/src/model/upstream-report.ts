/**
 * Status reports of upstreams, and the health that a home derives from them.
 */
import type { UpstreamId } from './ids.js';
import type { Lineage, Position } from '../reads/position.js';

/** Role that an upstream assumes for itself. */
export enum UpstreamRole {
  Primary = 'primary',
  Replica = 'replica',
}

/** Answer of an upstream to a status query. */
export interface UpstreamReport {
  readonly upstream: UpstreamId;
  readonly role: UpstreamRole;
  /** Latest position written durably to its log. */
  readonly received: Position;
  /** Latest position visible to its readers. */
  readonly applied: Position;
  /** Highest term at which it has been fenced; it accepts no write of a lower term. */
  readonly fencedTerm: number;
  /** Terms that its log contains, the current one last. */
  readonly lineage: Lineage;
  /** Number of open transactions. */
  readonly openTransactions: number;
}

/** A report with the local times at which it was requested and received. */
export interface TimedReport {
  readonly report: UpstreamReport;
  /** When the query was sent, local milliseconds; the report is not older than this. */
  readonly sentAt: number;
  /** When the answer arrived, local milliseconds. */
  readonly at: number;
}

/** Result of the latest status queries to one upstream. */
export interface UpstreamHealth {
  /** Latest report; undefined before the first answer. */
  readonly last: TimedReport | undefined;
  /** Consecutive failed status queries. */
  readonly failures: number;
  /** When the first of those failures occurred, local milliseconds; 0 if there are none. */
  readonly failingSince: number;
}

/** Health of an upstream that has not been queried yet. */
export const UNKNOWN_HEALTH: UpstreamHealth = { last: undefined, failures: 0, failingSince: 0 };

/** Health after an answer. A report requested earlier than the current one does not replace it. */
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
