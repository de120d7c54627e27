/**
 * Messages of the platform's key-value store: the JSON mapping of the etcd v3 API, which encodes keys
 * and values in base64 and 64-bit integers as strings. Used by the client and the stand-in.
 */
import * as z from 'zod';

const int64 = z.union([z.string().regex(/^-?\d+$/), z.number()]).transform(Number);

/** Key and value with their revisions. */
export const keyValueSchema = z.object({
  key: z.string(),
  value: z.string().optional(),
  create_revision: int64.optional(),
  mod_revision: int64.optional(),
  version: int64.optional(),
});

/** Response of /v3/kv/range. */
export const rangeResponseSchema = z.object({
  header: z.object({ revision: int64 }),
  kvs: z.array(keyValueSchema).optional(),
});

/** Response of /v3/kv/txn. */
export const txnResponseSchema = z.object({
  header: z.object({ revision: int64 }),
  succeeded: z.boolean().optional(),
});

/** One line of the response stream of /v3/watch. */
export const watchResponseSchema = z.object({
  result: z.object({
    header: z.object({ revision: int64 }).optional(),
    created: z.boolean().optional(),
    canceled: z.boolean().optional(),
    events: z
      .array(z.object({ type: z.enum(['PUT', 'DELETE']).optional(), kv: keyValueSchema }))
      .optional(),
  }),
});

export function toBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}

export function fromBase64(text: string): string {
  return Buffer.from(text, 'base64').toString();
}

/** Returns etcd's exclusive range end for the keys that start with `prefix`. */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
