/**
 * What comes of reading one key of the metadata store.
 */
import { DocumentVerdict } from '@gladespool/observability';
import type { Result } from 'neverthrow';

/** A key that holds no document of a known kind. */
interface UnrelatedKey {
  readonly verdict: DocumentVerdict.Unrelated;
}

/** A document of a known kind that can't be used. */
export interface UnreadableDocument {
  readonly verdict: DocumentVerdict.Unreadable;
  /** Path of the first field that is wrong and why; values are not told. */
  readonly place: string;
}

/** Outcome of reading a key. */
export type DocumentReadResult<Document> =
  | { readonly verdict: DocumentVerdict.Used; readonly document: Document }
  | UnrelatedKey
  | UnreadableDocument;

/** Outcome for a key of no known kind. */
export const UNRELATED_KEY: UnrelatedKey = { verdict: DocumentVerdict.Unrelated };

/** Outcome for a document that was decoded. */
export function usedDocument<Document>(document: Document): DocumentReadResult<Document> {
  return { verdict: DocumentVerdict.Used, document };
}

/** Outcome for a document that is wrong at `place`. */
export function unreadableDocument(place: string): UnreadableDocument {
  return { verdict: DocumentVerdict.Unreadable, place };
}

/** Outcome of decoding a document; an error names the place in it. */
export function toReadResult<Document>(
  decoded: Result<Document, string>,
): DocumentReadResult<Document> {
  return decoded.match<DocumentReadResult<Document>>(usedDocument, unreadableDocument);
}
