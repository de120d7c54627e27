/**
 * Documents of the metadata store in frames. They are compressed, because the operators' configuration can take
 * hundreds of kilobytes and hosts may have links of a few megabits per second.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import { readJson } from '../json-text.js';

const count = z.int().nonnegative();

/** A position in the history of the metadata store. */
export const storePositionSchema = z.object({ era: count, revision: count }).readonly();

/** A key of the metadata store with its value, in frames. */
export const storeItemSchema = z
  .object({ key: z.string(), value: z.string(), position: storePositionSchema })
  .readonly();

/** A key that was removed from the metadata store. */
export const removedKeySchema = z
  .object({ key: z.string(), position: storePositionSchema })
  .readonly();

const storeDocumentsSchema = z
  .object({
    items: z.array(storeItemSchema).readonly(),
    removed: z.array(removedKeySchema).readonly(),
  })
  .readonly();

/** Documents that were written and keys that were removed. */
export type StoreDocuments = z.infer<typeof storeDocumentsSchema>;

/** Maximum size of unpacked documents, bytes: 32 documents of the maximum value size of the store. */
const MAX_TEXT_BYTES = 32 * 1024 * 1024;

/** Compresses documents. */
export function packDocuments(documents: StoreDocuments): Uint8Array {
  return deflateRawSync(JSON.stringify(documents));
}

/** Decompresses and validates documents sent by `peer`. */
export function unpackDocuments(
  packed: Uint8Array,
  peer: string,
): Result<StoreDocuments, GladespoolError> {
  const place = { step: Step.PeerExchange, peer };
  try {
    const text = inflateRawSync(packed, { maxOutputLength: MAX_TEXT_BYTES }).toString('utf8');
    const documents = readJson(storeDocumentsSchema, text);
    return documents === undefined
      ? err(gladespoolError(place, 'documents are not as expected'))
      : ok(documents);
  } catch (cause) {
    return err(gladespoolError(place, 'documents cannot be inflated', { cause }));
  }
}
