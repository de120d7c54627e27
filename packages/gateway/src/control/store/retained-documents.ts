/**
 * Ends the retention of documents that differ from what the store has after it was restored from a backup. They stay in
 * use for a while, since their owners are expected to write them again.
 */
import type { StorePosition } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { BoardPublisher } from './board-publisher.js';
import type { DocumentCache } from './document-cache.js';
import type { DocumentVersions } from './document-versions.js';
import { ignoreStaleForMs, retainMissingForMs } from './stale-versions.js';

/** Interval between two reviews of the retained documents, milliseconds. */
const REVIEW_MS = 500;
/**
 * Time for which a starting host waits for a configuration that others knew and the store has lost, milliseconds. It is
 * limited because all hosts that knew it may be gone.
 */
const CATALOG_WAIT_MS = 15_000;

/** Dependencies of the retention. */
export interface RetainedDocumentsOptions {
  readonly cache: DocumentCache;
  readonly publisher: BoardPublisher;
  readonly versions: DocumentVersions;
  /** Whether a key is cached that the current era of the store does not contain. */
  readonly isMissing: (key: string) => boolean;
  /** Local time at which the view starts. */
  readonly startedAt: number;
  readonly log: Logger;
}

/** Documents that differ from what the store has. */
export class RetainedDocuments {
  /** Whether this host no longer waits for a newer configuration than the one in the store. */
  acceptsAnyCatalog = false;
  /** Local time from which the retention is counted. */
  private since: number;
  /** Local time of the next review. */
  private nextReviewAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: RetainedDocumentsOptions) {
    this.since = options.startedAt;
  }

  /** Counts the retention from `now`: owners can't write their documents while the store is unavailable. */
  restart(now: number): void {
    this.since = now;
  }

  /**
   * Adopts the state of the store at `now` for documents that were not written again for long enough in the era of
   * `position`.
   */
  review(position: StorePosition, now: number): void {
    const { cache, publisher, versions } = this.options;
    const hasRetained = versions.stale.all.length > 0 || cache.eras.hasBefore(position.era);
    const isDue = hasRetained || publisher.awaitsCatalog;
    if (!isDue || now < this.nextReviewAt) return;
    this.nextReviewAt = now + REVIEW_MS;
    const retainedMs = now - this.since;
    this.adoptStored(retainedMs, now);
    if (retainedMs >= CATALOG_WAIT_MS) {
      this.acceptsAnyCatalog = true;
      publisher.retryCatalog();
    }
    this.dropMissing(retainedMs, position, now);
  }

  /** Puts the stored versions into use that were ignored for long enough. */
  private adoptStored(retainedMs: number, now: number): void {
    const { cache, versions, log } = this.options;
    for (const { document, item } of versions.stale.all) {
      if (retainedMs < ignoreStaleForMs(document)) continue;
      log.info('store-copy-taken', { key: item.key, kept_ms: Math.round(retainedMs) });
      versions.use(document, cache.get(item.key), item, now);
    }
  }

  /** Drops the documents that the store has not had for long enough. */
  private dropMissing(retainedMs: number, position: StorePosition, now: number): void {
    const { cache, versions, isMissing, log } = this.options;
    for (const document of cache.all) {
      const { key } = document.item;
      if (retainedMs < retainMissingForMs(document) || !isMissing(key)) continue;
      log.info('kept-document-dropped', { key, kept_ms: Math.round(retainedMs) });
      versions.remove({ key, position }, now);
    }
  }
}
