/**
 * Field types of settings and bundles; error messages say what is allowed.
 */
import { isIP } from 'node:net';
import * as z from 'zod';
import { MAX_PORT } from '../port.js';

const NAME = /^[A-Za-z0-9_-]{1,63}$/;

/** Integer in a range, bounds included. */
export function integerBetween(low: number, high: number): z.ZodType<number, string | number> {
  const message = `whole number from ${low} to ${high}`;
  return z.coerce
    .number({ error: message })
    .int({ error: message })
    .min(low, { error: message })
    .max(high, { error: message }) as unknown as z.ZodType<number, string | number>;
}

/** Port to listen on; 0 selects a free one. */
export const port = integerBetween(0, MAX_PORT);

/** IP address. */
export const ipAddress = z
  .string({ error: 'IP address' })
  .refine((text) => isIP(text) !== 0, { error: 'IP address' });

/** Name of a host, zone, group or upstream. */
export const name = z
  .string({ error: 'name of letters, digits, _ and -, at most 63' })
  .regex(NAME, { error: 'name of letters, digits, _ and -, at most 63' });

/** One of a fixed set of values. */
export function oneOf<Value extends string>(
  values: readonly [Value, ...Value[]],
): z.ZodType<Value, string> {
  return z.enum(values, { error: `one of ${values.join(', ')}` });
}

/** Base64-encoded bytes of a minimum length. */
export function base64Bytes(leastBytes: number): z.ZodType<Buffer, string> {
  const message = `base64 of at least ${leastBytes} bytes`;
  return z
    .string({ error: message })
    .transform((text) => Buffer.from(text, 'base64'))
    .refine((bytes) => bytes.length >= leastBytes, { error: message });
}

/** Boolean in an INI text. */
export const yesNo = z
  .union([z.boolean(), z.enum(['yes', 'no', 'true', 'false'])], { error: 'yes or no' })
  .transform((value) => value === true || value === 'yes' || value === 'true');
