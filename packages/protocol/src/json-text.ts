/**
 * Parses and validates JSON texts.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';

/** Parses a JSON text; undefined if it is not JSON or does not match the schema. */
export function readJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.output<Schema> | undefined {
  return parseJson(schema, text).unwrapOr(undefined);
}

/** Parses a JSON text; the error names the path of the invalid field and the reason, without values of the text. */
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
 * Maximum length of a host's or upstream's document, characters. It is two hundred times what the fields take, and
 * parsing it takes a millisecond, so that a document of another writer cannot block a host.
 */
export const MAX_ENTRY_CHARS = 65_536;
/** Maximum nesting depth of a stored document; the deepest one in use has four levels. */
const MAX_DEPTH = 32;
/** Replacement character that decoding puts in place of bytes that are not UTF-8. */
const REPLACEMENT_CHARACTER = '\uFFFD';

/** Like `parseJson`, for a text that any writer may have stored: checks length and depth before parsing. */
export function parseUntrustedJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
  maxChars: number,
): Result<z.output<Schema>, string> {
  if (text.length > maxChars) return err('too long');
  if (text.includes(REPLACEMENT_CHARACTER)) return err('no UTF-8');
  if (nestingDepth(text) > MAX_DEPTH) return err('nested too deeply');
  return parseJson(schema, text);
}

/** Character codes that matter for the nesting depth of a JSON text. */
const CHARACTER_CODES = {
  quote: 0x22,
  openingBracket: 0x5b,
  backslash: 0x5c,
  closingBracket: 0x5d,
  openingBrace: 0x7b,
  closingBrace: 0x7d,
} as const;

/**
 * Nesting depth of objects and arrays in a JSON text, without parsing it. Parsing a megabyte of brackets takes 0.2 s
 * (one call on a loaded machine), which would block the host.
 */
function nestingDepth(text: string): number {
  let depth = 0;
  let deepest = 0;
  let isString = false;
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at);
    if (code === CHARACTER_CODES.quote) isString = !isString;
    else if (isString) at += code === CHARACTER_CODES.backslash ? 1 : 0;
    else if (code === CHARACTER_CODES.openingBracket || code === CHARACTER_CODES.openingBrace) {
      depth += 1;
      deepest = Math.max(deepest, depth);
    } else if (code === CHARACTER_CODES.closingBracket || code === CHARACTER_CODES.closingBrace)
      depth -= 1;
  }
  return deepest;
}
