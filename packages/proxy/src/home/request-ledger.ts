/**
 * Runs a request at most once under its id: the id and the outcome are written to a table of the
 * upstream in the same transaction as the request's own changes, so that they stand or fall
 * together, survive the loss of any host, and move with a promotion.
 */
import type { RequestId } from '@gladespool/coordination';
import { BackendType, encodeError } from '@gladespool/protocol';
import type { AnswerSegment } from '@gladespool/upstreams';
import { errorStateOf, firstRowOf } from '@gladespool/upstreams';

/** Table of request ids; docs/INTERFACES.md gives its definition. */
export const LEDGER_TABLE = 'gladespool_requests';

const UNIQUE_VIOLATION = '23505';
/** Largest answer recorded, bytes; of a larger one only the command tag is kept. */
const MAX_RECORDED_BYTES = 4096;
const ANSWER_PREFIX = 'answer:';
const TAG_PREFIX = 'tag:';
const BEGIN_MARK = 'begin:';

/** Statement that claims an id; `at` is the home's clock in milliseconds since the epoch. */
export function claimSql(id: RequestId, at: number): string {
  const values = `${quote(id)}, '${BEGIN_MARK}', ${at}`;
  return `INSERT INTO ${LEDGER_TABLE} (id, outcome, at) VALUES (${values})`;
}

/** Statement that records the outcome of a claimed id. */
export function recordSql(id: RequestId, segment: AnswerSegment): string {
  const outcome = encodeOutcome(segment);
  return `UPDATE ${LEDGER_TABLE} SET outcome = '${outcome}' WHERE id = ${quote(id)}`;
}

/** Statement that reads the recorded outcome. */
export function lookupSql(id: RequestId): string {
  return `SELECT outcome FROM ${LEDGER_TABLE} WHERE id = ${quote(id)}`;
}

/** Statement that forgets ids claimed before `before`, milliseconds since the epoch. */
export function forgetSql(before: number): string {
  return `DELETE FROM ${LEDGER_TABLE} WHERE at < ${before}`;
}

/** Whether a claim failed because the id was claimed before. */
export function isClaimed(segment: AnswerSegment | undefined): boolean {
  return segment !== undefined && errorStateOf(segment) === UNIQUE_VIOLATION;
}

/**
 * Answer to a repeated request: the recorded one, or an error that tells that it ran.
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
