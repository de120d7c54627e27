/**
 * Decides which version of each document is in use, of those that reads, watches and other hosts return.
 */
import type { SeenPromotionLease, StorePosition } from '@gladespool/coordination';
import {
  formatStorePosition,
  isLater,
  placeholderPromotionLease,
  STORE_START,
  withKnownStartTime,
} from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { DocumentVerdict } from '@gladespool/observability';
import type { UpstreamEntry } from '../../model/catalog.js';
import type { BoardPublisher } from './board-publisher.js';
import type { CachedDocument, DocumentCache, StoreDocument } from './document-cache.js';
import { isOlderDocument } from './document-order.js';
import type { DocumentReader } from './document-reader.js';
import type { StoreItem } from './metadata-store.js';
import { StaleVersions } from './stale-versions.js';
import type { PromotionLeaseRecord } from './store-documents.js';
import { hostOfKey, PROMOTION_LEASE_KEY } from './store-documents.js';
import type { Tombstone } from './tombstones.js';
import { Tombstones } from './tombstones.js';

/** The promotion lease with the time from which its expiry is counted. */
export interface HeldPromotionLease {
  readonly duty: PromotionLeaseRecord;
  /** Local time at which this version was first seen. */
  readonly seenAt: number;
}

/** Dependencies of the versions. */
export interface DocumentVersionsOptions {
  readonly cache: DocumentCache;
  readonly publisher: BoardPublisher;
  readonly reader: DocumentReader;
  readonly log: Logger;
  /** Local time at which the view starts; removals shortly before it are unknown. */
  readonly startedAt: number;
}

/** The documents in use, the versions that are not used since a newer one is known, and the removed keys. */
export class DocumentVersions {
  duty: HeldPromotionLease | undefined;
  /** Latest local time at which a host may have been removed from the list, as far as is known. */
  lastHostRemovalAt: number;
  readonly stale = new StaleVersions();
  readonly tombstones = new Tombstones();
  private readonly cache: DocumentCache;
  private readonly publisher: BoardPublisher;
  private readonly reader: DocumentReader;
  private readonly log: Logger;

  constructor({ cache, publisher, reader, log, startedAt }: DocumentVersionsOptions) {
    this.cache = cache;
    this.publisher = publisher;
    this.reader = reader;
    this.log = log;
    this.lastHostRemovalAt = startedAt;
  }

  /** The promotion lease as the coordination rules need it. */
  get lease(): SeenPromotionLease | undefined {
    return this.duty && { ...this.duty.duty, seenAt: this.duty.seenAt };
  }

  /** Position of the version that the store was last known to have; undefined if it was known to have none. */
  storedPositionOf(key: string): StorePosition | undefined {
    return this.stale.positionOf(key) ?? this.cache.positionOf(key);
  }

  /** Applies the version of a key that a read, a watch or another host returned at `now`. */
  apply(item: StoreItem, now: number): void {
    if (this.isKnown(item) || this.wasRemovedAfter(item)) return;
    const former = this.cache.get(item.key);
    const reading = this.reader.read(item);
    if (reading.verdict === DocumentVerdict.Used) {
      this.applyIfNewer(this.withStartTime(reading.document, former), former, item, now);
    }
    if (reading.verdict === DocumentVerdict.Unreadable) this.applyUnreadable(item, former, now);
  }

  /** Reads the entry of an upstream without putting it into use; undefined if it is none. */
  readUpstream(item: StoreItem): UpstreamEntry | undefined {
    const reading = this.reader.read(item);
    const isUsed = reading.verdict === DocumentVerdict.Used;
    return isUsed && reading.document.kind === 'upstream' ? reading.document.entry : undefined;
  }

  /** Whether this version of a key, or a later one of the same era, is already known. */
  private isKnown({ key, position }: StoreItem): boolean {
    const seen = [this.stale.positionOf(key), this.cache.positionOf(key)];
    return seen.some((at) => at?.era === position.era && !isLater(position, at));
  }

  /**
   * Applies a version of a key unless a newer one is known. Within an era the position decides; a later era may contain
   * versions that had been overwritten before it started.
   */
  private applyIfNewer(
    document: StoreDocument,
    former: CachedDocument | undefined,
    item: StoreItem,
    now: number,
  ): void {
    const { era } = item.position;
    if (former === undefined) {
      if (this.isRestoredFromCopy(document, item)) this.ignoreStale(document, item);
      else this.use(document, former, item, now);
      return;
    }
    const isOtherEra = era !== former.item.position.era;
    const isRewrittenByOwner =
      document.kind === 'upstream' && this.stale.get(item.key) !== undefined;
    if (isOtherEra && era < former.item.position.era) {
      if (!isOlderDocument(former, document)) return;
      this.use(document, former, item, now);
      this.stale.put(former, former.item);
    } else if (isOtherEra && !isRewrittenByOwner && isOlderDocument(document, former)) {
      this.ignoreStale(document, item);
    } else {
      this.use(document, former, item, now);
    }
  }

  /** Whether a removed key reappears only because the store was restored from a copy that still has it. */
  private isRestoredFromCopy(document: StoreDocument, { key, position }: StoreItem): boolean {
    const removedAt = this.tombstones.positionOf(key);
    if (removedAt === undefined || removedAt.era === position.era) return false;
    if (this.stale.get(key) !== undefined) return false;
    if (document.kind === 'evacuation') return true;
    if (document.kind !== 'upstream') return false;
    const expired = this.publisher.expiredEntry(document.entry.id);
    return expired === undefined || (expired.draining && !document.entry.draining);
  }

  private ignoreStale(document: StoreDocument, item: StoreItem): void {
    const { key, position } = item;
    const held = this.cache.positionOf(key);
    this.stale.put(document, item);
    this.log.info('store-copy-unused', {
      key,
      position: formatStorePosition(position),
      held: held && formatStorePosition(held),
    });
  }

  /** Adds the known start time to the entry of an upstream that does not report one. */
  private withStartTime(
    document: StoreDocument,
    former: CachedDocument | undefined,
  ): StoreDocument {
    if (document.kind !== 'upstream') return document;
    const { entry } = document;
    const known =
      former?.kind === 'upstream' ? former.entry : this.publisher.expiredEntry(entry.id);
    return { ...document, entry: withKnownStartTime(known, entry) };
  }

  /** Puts a version into use. */
  use(
    document: StoreDocument,
    former: CachedDocument | undefined,
    item: StoreItem,
    now: number,
  ): void {
    const { key, position } = item;
    if (this.cache.isUnreadable(key)) this.publisher.clearUnreadable(key);
    this.stale.delete(key);
    // The key alone defines an evacuation; its value may be long, so it is neither kept nor passed on.
    this.cache.put(document, document.kind === 'evacuation' ? { ...item, value: '' } : item);
    if (document.kind === 'era') this.publisher.retryCatalog();
    if (document.kind === 'duty') this.duty = { duty: document.duty, seenAt: now };
    this.publisher.applyDocument(document, former, position, now);
  }

  private applyUnreadable(item: StoreItem, former: CachedDocument | undefined, now: number): void {
    const { key, position } = item;
    this.cache.putUnreadable(item);
    if (former?.kind === 'upstream') this.cache.discard(key);
    if (key === PROMOTION_LEASE_KEY) this.invalidateLease(position, now);
    this.publisher.applyUnreadable(key, former, position, now);
  }

  private invalidateLease(position: StorePosition, now: number): void {
    const { seenAt, ...duty } = placeholderPromotionLease(this.lease, position, now);
    const renewal = this.duty?.duty.renewal ?? 0;
    this.duty = { duty: { ...duty, renewal }, seenAt };
  }

  /** Whether a key was removed after this version of it was written. */
  private wasRemovedAfter(item: StoreItem): boolean {
    const removedAt = this.tombstones.positionOf(item.key);
    return removedAt !== undefined && isLater(removedAt, item.position);
  }

  /** Removes a key unless it was written or removed after `removal`. */
  removeUnlessNewer(removal: Tombstone, now: number): void {
    const { key, position } = removal;
    const removedAt = this.tombstones.positionOf(key) ?? STORE_START;
    const cachedAt = this.cache.positionOf(key) ?? STORE_START;
    if (isLater(position, removedAt) && isLater(position, cachedAt)) this.remove(removal, now);
  }

  /** Removes a key. */
  remove(removal: Tombstone, now: number): void {
    const { key, position } = removal;
    const isHostEntry = hostOfKey(key) !== undefined && this.cache.positionOf(key) !== undefined;
    if (isHostEntry) this.lastHostRemovalAt = now;
    if (this.cache.isUnreadable(key)) this.publisher.clearUnreadable(key);
    const held = this.cache.remove(key, position);
    this.stale.delete(key);
    this.tombstones.add(removal);
    if (held !== undefined) this.publisher.applyRemoval(held, position, now);
  }
}
