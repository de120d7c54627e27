/**
 * SQL control statements of upstreams. The platform's database groups carry terms and log positions;
 * SQL functions read and set them. docs/INTERFACES.md describes how a PostgreSQL server provides
 * these functions.
 */
import type { Lineage, UpstreamId, UpstreamReport } from '@gladespool/coordination';
import { UpstreamRole } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import * as z from 'zod';

/** Statement that returns one row with the single column {@link STATUS_COLUMN}. */
export const STATUS_SQL = 'SELECT * FROM gladespool_status()';

/**
 * Only column of a status row: role, received term and offset, applied term and offset, fenced
 * term, open transactions and lineage, separated by spaces. A single column keeps the reply small,
 * because a home queries each upstream of each of its groups every status interval.
 */
export const STATUS_COLUMN = 's';

const number = z.coerce.number().int().nonnegative();
const statusFields = z.tuple([
  z.enum(UpstreamRole),
  number,
  number,
  number,
  number,
  number,
  number,
  z.string(),
]);

/** Primary that a replica replicates from. */
export interface FollowTarget {
  readonly upstream: UpstreamId;
  readonly address: string;
  readonly port: number;
}

/** Returns the statement that makes an upstream reject all writes of terms below `term`. */
export function fenceSql(term: number): string {
  return `SELECT * FROM gladespool_fence(${term})`;
}

/** Returns the statement that makes an upstream the primary of `term`; it is idempotent. */
export function promoteSql(term: number, lineage: Lineage): string {
  return `SELECT * FROM gladespool_promote(${term}, '${encodeLineage(lineage)}')`;
}

/** Returns the statement that makes an upstream a replica of `target` and truncates its log to `lineage`. */
export function followSql(term: number, target: FollowTarget, lineage: Lineage): string {
  const targetArguments = `'${target.upstream}', '${target.address}', ${target.port}`;
  return `SELECT * FROM gladespool_follow(${term}, ${targetArguments}, '${encodeLineage(lineage)}')`;
}

/** Encodes a lineage as `term:start` pairs, separated by commas. */
export function encodeLineage(lineage: Lineage): string {
  return lineage.map((entry) => `${entry.term}:${entry.start}`).join(',');
}

/** Decodes a lineage; undefined if the text is malformed. */
export function decodeLineage(text: string): Lineage | undefined {
  if (text === '') return [];
  const entries = text.split(',').map((pair) => {
    const match = /^(\d+):(\d+)$/.exec(pair);
    return match === null ? undefined : { term: Number(match[1]), start: Number(match[2]) };
  });
  const complete = entries.filter((entry) => entry !== undefined);
  return complete.length === entries.length ? complete : undefined;
}

/** Encodes a report as the value of {@link STATUS_COLUMN}. */
export function encodeStatus(report: UpstreamReport): string {
  const { role, received, applied, fencedTerm, openTransactions, lineage } = report;
  const positions = [received.term, received.offset, applied.term, applied.offset];
  return [role, ...positions, fencedTerm, openTransactions, encodeLineage(lineage)].join(' ');
}

/** Decodes a value of {@link STATUS_COLUMN}; the error says which part is invalid. */
export function decodeStatus(upstream: UpstreamId, text: string): Result<UpstreamReport, string> {
  const parsed = statusFields.safeParse(text.split(' '));
  if (!parsed.success) return err(z.prettifyError(parsed.error));
  const [
    role,
    receivedTerm,
    receivedOffset,
    appliedTerm,
    appliedOffset,
    fencedTerm,
    openTransactions,
    lineageText,
  ] = parsed.data;
  const lineage = decodeLineage(lineageText);
  if (lineage === undefined) return err(`lineage is not valid: ${lineageText}`);
  return ok({
    upstream,
    role,
    received: { term: receivedTerm, offset: receivedOffset },
    applied: { term: appliedTerm, offset: appliedOffset },
    fencedTerm,
    lineage,
    openTransactions,
  });
}
