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
/** Levels of a stored document at most; the deepest that is used has four. */
const MAX_DEPTH = 32;
/** What stands in a text for bytes that are no UTF-8. */
const LOST_BYTES = '\uFFFD';

/** Like `parseJson`, for a text that any writer may have stored: size and depth are checked before it is parsed. */
export function parseUntrustedJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
  maxChars: number,
): Result<z.output<Schema>, string> {
  if (text.length > maxChars) return err('too long');
  if (text.includes(LOST_BYTES)) return err('no UTF-8');
  if (depthOf(text) > MAX_DEPTH) return err('nested too deeply');
  return parseJson(schema, text);
}

/** Codes of the characters that make the depth of a JSON text. */
const CODES = {
  quote: 0x22,
  openingBracket: 0x5b,
  backslash: 0x5c,
  closingBracket: 0x5d,
  openingBrace: 0x7b,
  closingBrace: 0x7d,
} as const;

/**
 * Levels of the objects and arrays in a JSON text, without parsing it: a megabyte of brackets takes the parser
 * 0.2 s (one call on a loaded machine), in which the host would serve nobody.
 */
function depthOf(text: string): number {
  let depth = 0;
  let deepest = 0;
  let isString = false;
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at);
    if (code === CODES.quote) isString = !isString;
    else if (isString) at += code === CODES.backslash ? 1 : 0;
    else if (code === CODES.openingBracket || code === CODES.openingBrace) {
      depth += 1;
      deepest = Math.max(deepest, depth);
    } else if (code === CODES.closingBracket || code === CODES.closingBrace) depth -= 1;
  }
  return deepest;
}
