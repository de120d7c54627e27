/**
 * Reads JSON texts by a schema.
 */
import type { z } from 'zod';

/** Value of a JSON text; undefined when it is no JSON or not of the schema. */
export function readJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.output<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
