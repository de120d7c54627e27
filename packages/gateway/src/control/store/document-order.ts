/**
 * Compares two versions of a document by their content, for versions of different eras of the store, whose positions
 * can't be compared.
 */
import { isDeepStrictEqual } from 'node:util';
import { recordRank } from '@gladespool/coordination';
import type { StoreDocument } from './document-cache.js';

type DocumentOf<Kind extends StoreDocument['kind']> = Extract<
  StoreDocument,
  { readonly kind: Kind }
>;

/** Whether `document` is, or may be, older than `known`, judged by versions and counters in their content. */
export function isOlderDocument(document: StoreDocument, known: StoreDocument): boolean {
  if (document.kind === 'catalog' && known.kind === 'catalog') {
    return document.catalog.version < known.catalog.version;
  }
  if (document.kind === 'primary' && known.kind === 'primary') {
    return recordRank(document.record) < recordRank(known.record);
  }
  if (document.kind === 'duty' && known.kind === 'duty')
    return isOlderPromotionLease(document, known);
  if (document.kind === 'host' && known.kind === 'host') {
    return document.entry.incarnation < known.entry.incarnation;
  }
  if (document.kind === 'upstream' && known.kind === 'upstream') {
    return isOlderUpstream(document, known);
  }
  return false;
}

function isOlderPromotionLease({ duty }: DocumentOf<'duty'>, known: DocumentOf<'duty'>): boolean {
  if (duty.fence !== known.duty.fence) return duty.fence < known.duty.fence;
  return duty.renewal < known.duty.renewal;
}

/**
 * Entries with different start times can't be ordered, nor can different entries without a write sequence; the given
 * one then counts as possibly older.
 */
function isOlderUpstream(
  { entry, sequence }: DocumentOf<'upstream'>,
  known: DocumentOf<'upstream'>,
): boolean {
  if (entry.born !== known.entry.born) return true;
  if (sequence === undefined || known.sequence === undefined) {
    return !isDeepStrictEqual(entry, known.entry);
  }
  return sequence < known.sequence;
}
