/**
 * Documents that others keep in the metadata store: operators and upstreams.
 */
import type { AzId } from '@gladespool/coordination';
import type { Catalog, UpstreamEntry } from '../../model/catalog.js';
import type { DocumentReadResult } from './document-read-result.js';

/** A document that others keep in the store: operators and upstreams. */
export type ForeignDocument =
  | { readonly kind: 'catalog'; readonly catalog: Catalog }
  | {
      readonly kind: 'upstream';
      readonly entry: UpstreamEntry;
      /** Grows with each write of the same process; missing where it tells none. */
      readonly sequence?: number;
    }
  /** Upstreams of the zone are to get no work for as long as the document is there. */
  | { readonly kind: 'evacuation'; readonly az: AzId };

/** Reads documents of others; it never throws, whatever the text is. */
export interface ForeignDocumentReader {
  read(key: string, text: string): DocumentReadResult<ForeignDocument>;
}
