/**
 * SQL of the request ledger, by which a request with an id runs at most once: the id and the outcome
 * are written to a table of the upstream in the same transaction as the request's own changes. They
 * are thus committed or rolled back together, survive the loss of any host, and are present on the
 * new primary after a promotion.
 */
import type { RequestId } from '@gladespool/coordination';
import { BackendType, encodeError } from '@gladespool/protocol';
import type { AnswerSegment } from '@gladespool/upstreams';
import { errorStateOf, firstRowOf } from '@gladespool/upstreams';

/** Table of request ids; docs/INTERFACES.md gives its definition. */
export const LEDGER_TABLE = 'gladespool_requests';

const UNIQUE_VIOLATION = '23505';
/** Largest answer recorded, bytes; of a larger answer only the command tag is recorded. */
const MAX_RECORDED_BYTES = 4096;
const ANSWER_PREFIX = 'answer:';
const TAG_PREFIX = 'tag:';
const CLAIMED_OUTCOME = 'begin:';

/** Returns the statement that claims an id; `at` is the home's clock in milliseconds since the epoch. */
export function claimSql(id: RequestId, at: number): string {
  const values = `${quote(id)}, '${CLAIMED_OUTCOME}', ${at}`;
  return `INSERT INTO ${LEDGER_TABLE} (id, outcome, at) VALUES (${values})`;
}

/** Returns the statement that records the outcome of a claimed id. */
export function recordSql(id: RequestId, segment: AnswerSegment): string {
  const outcome = encodeOutcome(segment);
  return `UPDATE ${LEDGER_TABLE} SET outcome = '${outcome}' WHERE id = ${quote(id)}`;
}

/** Returns the statement that reads the recorded outcome of an id. */
export function lookupSql(id: RequestId): string {
  return `SELECT outcome FROM ${LEDGER_TABLE} WHERE id = ${quote(id)}`;
}

/** Returns the statement that deletes ids claimed before `before`, milliseconds since the epoch. */
export function deleteExpiredSql(before: number): string {
  return `DELETE FROM ${LEDGER_TABLE} WHERE at < ${before}`;
}

/** Whether a claim failed because the id had been claimed already. */
export function isAlreadyClaimed(segment: AnswerSegment | undefined): boolean {
  return segment !== undefined && errorStateOf(segment) === UNIQUE_VIOLATION;
}

/**
 * Builds the answer to a repeated request: the recorded answer, or, if only its command tag was
 * recorded, an error that says that the request has run.
 *
 * @returns undefined when the id is not in the ledger.
 */
export function recordedAnswer(lookup: AnswerSegment | undefined): Buffer | undefined {
  const outcome = lookup === undefined ? undefined : firstRowOf(lookup)?.[0];
  if (outcome === undefined || outcome === null) return undefined;
  if (outcome.startsWith(ANSWER_PREFIX)) {
    return Buffer.from(outcome.slice(ANSWER_PREFIX.length), 'base64');
  }
  const tag = outcome.startsWith(TAG_PREFIX) ? outcome.slice(TAG_PREFIX.length) : 'committed';
  return encodeError({
    severity: 'ERROR',
    code: UNIQUE_VIOLATION,
    message: `request id has run before: ${tag}`,
    detail: 'reason=already-ran ran=yes',
  });
}

function encodeOutcome(segment: AnswerSegment): string {
  const bytes = Buffer.concat(segment.messages);
  if (bytes.length <= MAX_RECORDED_BYTES) return ANSWER_PREFIX + bytes.toString('base64');
  const complete = segment.messages.findLast(
    (message) => message[0] === BackendType.CommandComplete,
  );
  const tag = complete?.toString('utf8', 5, complete.length - 1) ?? '';
  return TAG_PREFIX + tag.replaceAll("'", '');
}

function quote(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
