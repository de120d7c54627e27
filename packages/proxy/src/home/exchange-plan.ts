/**
 * Builds what a home sends to an upstream for one request: the caller's messages between status
 * queries on the same connection. The first query proves the position of the upstream before the
 * caller's statement runs; the last returns the position after it. Both are sent together with the
 * caller's messages, so neither costs a round trip.
 */
import type { UpstreamId, UpstreamReport } from '@gladespool/coordination';
import type { AnswerSegment } from '@gladespool/upstreams';
import { decodeStatus, errorStateOf, firstRowOf, STATUS_SQL } from '@gladespool/upstreams';
import { serialize } from 'pg-protocol';

const STATUS_QUERY = serialize.query(STATUS_SQL);

/** Messages with the number of segments of the answer, each closed by a ReadyForQuery message. */
export interface ExchangePlan {
  readonly payload: Buffer;
  readonly segments: number;
}

/** Which status queries surround the caller's messages. */
export interface StatusQueries {
  readonly before: boolean;
  readonly after: boolean;
}

/** Adds the status queries to the caller's messages. */
export function planExchange(messages: Buffer, statusQueries: StatusQueries): ExchangePlan {
  const parts = [messages];
  if (statusQueries.before) parts.unshift(STATUS_QUERY);
  if (statusQueries.after) parts.push(STATUS_QUERY);
  return { payload: parts.length === 1 ? messages : Buffer.concat(parts), segments: parts.length };
}

/** Builds a plan of simple queries, one segment each. */
export function planQueries(queries: readonly string[]): ExchangePlan {
  const payload = Buffer.concat(queries.map((sql) => serialize.query(sql)));
  return { payload, segments: queries.length };
}

/** Decodes the report of a status segment; undefined if the query failed, as in a failed transaction. */
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
