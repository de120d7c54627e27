/**
 * Documents in the metadata store that are written by operators and upstreams, not by the gateway.
 */
import type { AzId } from '@gladespool/coordination';
import type { Catalog, UpstreamEntry } from '../../model/catalog.js';
import type { DocumentReadResult } from './document-read-result.js';

/** A document written by operators or upstreams. */
export type ForeignDocument =
  | { readonly kind: 'catalog'; readonly catalog: Catalog }
  | {
      readonly kind: 'upstream';
      readonly entry: UpstreamEntry;
      /** Increases with each write of the same process; missing where the upstream does not report it. */
      readonly sequence?: number;
    }
  /** Upstreams of the zone get no work while the document exists. */
  | { readonly kind: 'evacuation'; readonly az: AzId };

/** Decodes documents of operators and upstreams; must not throw on any text. */
export interface ForeignDocumentReader {
  read(key: string, text: string): DocumentReadResult<ForeignDocument>;
}
