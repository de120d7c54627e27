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
