/**
 * Decodes the documents of the metadata store, counts the outcomes, and logs documents that can't be used.
 */
import { formatStorePosition } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { DocumentVerdict } from '@gladespool/observability';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { DocumentReadResult } from './document-read-result.js';
import type { ForeignDocumentReader } from './foreign-documents.js';
import type { StoreDocument } from './document-cache.js';
import type { StoreItem } from './metadata-store.js';
import { OWN_PREFIX, readOwnDocument } from './store-documents.js';

/** Maximum characters of a key or place in a log line; keys are chosen by other writers and can be of any length. */
const MAX_LOGGED_CHARS = 200;

/** Document reader of one host. */
export class DocumentReader {
  constructor(
    private readonly board: GatewayBoard,
    private readonly foreign: ForeignDocumentReader,
    private readonly metrics: HostMetrics,
    private readonly log: Logger,
  ) {}

  /** Reads a version of a key that this host has not read before; each call is counted and may be logged. */
  read(item: StoreItem): DocumentReadResult<StoreDocument> {
    const reading = this.decode(item);
    const verdict = this.verdictOf(reading);
    this.metrics.storeDocuments.inc({ verdict });
    this.logResult(item, verdict, reading);
    return reading;
  }

  private decode({ key, value }: StoreItem): DocumentReadResult<StoreDocument> {
    return key.startsWith(OWN_PREFIX) ? readOwnDocument(key, value) : this.foreign.read(key, value);
  }

  private verdictOf(reading: DocumentReadResult<StoreDocument>): DocumentVerdict {
    if (reading.verdict !== DocumentVerdict.Used) return reading.verdict;
    const { document } = reading;
    const isUnconfigured =
      document.kind === 'upstream' && !this.board.isConfigured(document.entry.group);
    return isUnconfigured ? DocumentVerdict.Unconfigured : DocumentVerdict.Used;
  }

  private logResult(
    { key, position }: StoreItem,
    verdict: DocumentVerdict,
    reading: DocumentReadResult<StoreDocument>,
  ): void {
    const fields = { key: key.slice(0, MAX_LOGGED_CHARS), position: formatStorePosition(position) };
    if (reading.verdict === DocumentVerdict.Unreadable) {
      const place = reading.place.slice(0, MAX_LOGGED_CHARS);
      this.log.warn('store-document-unreadable', { ...fields, place });
    }
    if (verdict === DocumentVerdict.Unrelated) this.log.trace('store-key-ignored', fields);
    if (verdict === DocumentVerdict.Unconfigured) this.log.info('upstream-unconfigured', fields);
  }
}
