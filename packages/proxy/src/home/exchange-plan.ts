/**
 * Builds what a home sends to an upstream for one request: the caller's messages between status
 * queries on the same connection. The first proves, before the caller's statement runs, what the
 * upstream holds; the last tells the position after it. Neither costs a round trip.
 */
import type { UpstreamId, UpstreamReport } from '@gladespool/coordination';
import type { AnswerSegment } from '@gladespool/upstreams';
import { decodeStatus, errorStateOf, firstRowOf, STATUS_SQL } from '@gladespool/upstreams';
import { serialize } from 'pg-protocol';

const STATUS_QUERY = serialize.query(STATUS_SQL);

/** Messages with the number of ReadyForQuery messages that answer them. */
export interface ExchangePlan {
  readonly payload: Buffer;
  readonly segments: number;
}

/** Which status queries surround the caller's messages. */
export interface PlanShape {
  readonly before: boolean;
  readonly after: boolean;
}

/** Surrounds the caller's messages. */
export function planExchange(messages: Buffer, shape: PlanShape): ExchangePlan {
  const parts = [messages];
  if (shape.before) parts.unshift(STATUS_QUERY);
  if (shape.after) parts.push(STATUS_QUERY);
  return { payload: parts.length === 1 ? messages : Buffer.concat(parts), segments: parts.length };
}

/** Plan of simple queries, one segment each. */
export function planQueries(queries: readonly string[]): ExchangePlan {
  const payload = Buffer.concat(queries.map((sql) => serialize.query(sql)));
  return { payload, segments: queries.length };
}

/** Reads the report of a status segment; undefined when the query failed, as in a transaction. */
export function reportOf(
  upstream: UpstreamId,
  segment: AnswerSegment | undefined,
): UpstreamReport | undefined {
  if (segment === undefined || errorStateOf(segment) !== undefined) return undefined;
  const text = firstRowOf(segment)?.[0];
  if (text === undefined || text === null) return undefined;
  const report = decodeStatus(upstream, text);
  return report.isOk() ? report.value : undefined;
}
