/**
 * Result of reading one key of the metadata store.
 */
import { DocumentVerdict } from '@gladespool/observability';
import type { Result } from 'neverthrow';

/** A key that holds no document of a known kind. */
interface UnrelatedKey {
  readonly verdict: DocumentVerdict.Unrelated;
}

/** A document of a known kind that can't be decoded. */
export interface UnreadableDocument {
  readonly verdict: DocumentVerdict.Unreadable;
  /** Path of the first invalid field and the reason, without the value. */
  readonly place: string;
}

/** Result of reading a key. */
export type DocumentReadResult<Document> =
  | { readonly verdict: DocumentVerdict.Used; readonly document: Document }
  | UnrelatedKey
  | UnreadableDocument;

/** Result for a key of no known kind. */
export const UNRELATED_KEY: UnrelatedKey = { verdict: DocumentVerdict.Unrelated };

/** Result for a document that was decoded. */
export function usedDocument<Document>(document: Document): DocumentReadResult<Document> {
  return { verdict: DocumentVerdict.Used, document };
}

/** Result for a document that is invalid at `place`. */
export function unreadableDocument(place: string): UnreadableDocument {
  return { verdict: DocumentVerdict.Unreadable, place };
}

/** Converts a decoding result, whose error names the invalid place in the document. */
export function toReadResult<Document>(
  decoded: Result<Document, string>,
): DocumentReadResult<Document> {
  return decoded.match<DocumentReadResult<Document>>(usedDocument, unreadableDocument);
}
