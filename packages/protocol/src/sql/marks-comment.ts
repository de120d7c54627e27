/**
 * Reads request marks from the trailing comment of a statement, in the sqlcommenter format:
 * `/*key='url-encoded value',key='value'* /`. Other keys, such as `traceparent`, are ignored.
 */
import type { Refusal, RequestMarks } from '@gladespool/coordination';
import { NO_MARKS, Priority, RefusalReason, refuse, requestId } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import * as z from 'zod';

const COMMENT = /\/\*((?:(?!\*\/)[\s\S])*)\*\/\s*;?\s*$/;
const PAIR = /\s*([A-Za-z_.%0-9-]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*(?:,|$)/y;
const MAX_REQUEST_ID_LENGTH = 128;
const MAX_DEADLINE_MS = 300_000;
const MAX_AGE_MS = 86_400_000;

const MarkTexts = z.object({
  request_id: z.string().min(1).max(MAX_REQUEST_ID_LENGTH).optional(),
  repeatable: z.enum(['yes', 'no']).optional(),
  max_age_ms: z.coerce.number().int().min(0).max(MAX_AGE_MS).optional(),
  deadline_ms: z.coerce.number().int().min(1).max(MAX_DEADLINE_MS).optional(),
  priority: z.enum(Priority).optional(),
});

/** A statement text without its marks, and the marks. */
export interface MarkedStatement {
  readonly sql: string;
  readonly marks: RequestMarks;
}

/** Splits a statement into text and marks; refuses invalid values of known keys. */
export function readMarks(sql: string): Result<MarkedStatement, Refusal> {
  const match = COMMENT.exec(sql);
  const body = match?.[1];
  if (match === null || body === undefined) return ok({ sql, marks: NO_MARKS });
  const texts = readPairs(body);
  if (texts === undefined) return ok({ sql, marks: NO_MARKS });
  const parsed = MarkTexts.safeParse(texts);
  if (!parsed.success) return err(refuse(RefusalReason.BadMarks, z.prettifyError(parsed.error)));
  const mark = parsed.data;
  const repeatable = mark.repeatable !== 'no';
  if (!repeatable && mark.request_id === undefined) {
    return err(refuse(RefusalReason.BadMarks, "repeatable='no' needs a request_id"));
  }
  const marks: RequestMarks = {
    requestId: mark.request_id === undefined ? undefined : requestId(mark.request_id),
    repeatable,
    maxAgeMs: mark.max_age_ms,
    deadlineMs: mark.deadline_ms,
    priority: mark.priority,
  };
  return ok({ sql: sql.slice(0, match.index), marks });
}

/** Key-value pairs of a comment body; undefined if it is an ordinary comment rather than sqlcommenter format. */
function readPairs(body: string): Record<string, string> | undefined {
  const texts: Record<string, string> = {};
  let offset = 0;
  while (offset < body.length) {
    PAIR.lastIndex = offset;
    const pair = PAIR.exec(body);
    const key = pair?.[1];
    const value = pair?.[2];
    if (pair === null || key === undefined || value === undefined) return undefined;
    texts[decode(key)] = decode(value.replaceAll("\\'", "'"));
    offset = PAIR.lastIndex;
  }
  return offset === 0 ? undefined : texts;
}

function decode(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
