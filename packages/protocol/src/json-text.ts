/**
 * Reads JSON texts by a schema.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';

/** Value of a JSON text; undefined when it is no JSON or not of the schema. */
export function readJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.output<Schema> | undefined {
  return parseJson(schema, text).unwrapOr(undefined);
}

/** Value of a JSON text, or which place of it is wrong and why; values of the text are not told. */
export function parseJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): Result<z.output<Schema>, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err('no JSON');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  return err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not as expected'}`);
}

/**
 * Characters of one host's or upstream's document at most: two hundred times what its fields take, and parsed
 * in a millisecond, so that no document of another writer holds a host up.
 */
export const MAX_ENTRY_CHARS = 65_536;
/** What stands in a text for bytes that are no UTF-8. */
const LOST_BYTES = '\uFFFD';

/** Like `parseJson`, for a text that any writer may have stored: its size is checked before it is parsed. */
export function parseStored<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
  maxChars: number,
): Result<z.output<Schema>, string> {
  if (text.length > maxChars) return err('too long');
  if (text.includes(LOST_BYTES)) return err('no UTF-8');
  return parseJson(schema, text);
}
