/**
 * Local view of the store's documents, and the rules by which they are applied to the board.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { ExpiryRules, SeenPromotionLease, StorePosition } from '@gladespool/coordination';
import {
  placeholderPromotionLease,
  isLater,
  laterOf,
  OUTDATED_AFTER_MS,
  STORE_START,
  formatStorePosition,
  withKnownStartTime,
} from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { DocumentVerdict } from '@gladespool/observability';
import type { GatewayBoard } from '../../knowledge/board.js';
import { BoardPublisher } from './board-publisher.js';
import { isOlderDocument } from './document-order.js';
import type { DocumentReader } from './document-reader.js';
import type { CachedDocument, CachedRecord, StoreDocument } from './document-cache.js';
import { DocumentCache, isRecord } from './document-cache.js';
import type { StoreCondition, StoreEvent, StoreItem, StoreRange } from './metadata-store.js';
import { retainMissingForMs, StaleVersions, ignoreStaleForMs } from './stale-versions.js';
import { CurrentEra } from './current-era.js';
import type { Tombstone } from './tombstones.js';
import { Tombstones } from './tombstones.js';
import type { PromotionLeaseRecord } from './store-documents.js';
import {
  PROMOTION_LEASE_KEY,
  eraKey,
  groupOfKey,
  hostKey,
  hostOfKey,
  OWN_PREFIX,
} from './store-documents.js';
import type { OwnChanges, ViewDelta } from './view-delta.js';
import { DeltaBuilder } from './view-delta.js';

/** The promotion lease with the time from which its expiry is counted. */
export interface HeldPromotionLease {
  readonly duty: PromotionLeaseRecord;
  /** Local time at which this version was first seen. */
  readonly seenAt: number;
}

/** Poll interval while waiting for a change to arrive, milliseconds: about a round trip to the store. */
const POLL_MS = 5;
/** Interval between two reviews of documents that differ from what the store has, milliseconds. */
const RETAINED_REVIEW_MS = 500;
/**
 * Time for which a starting host waits for a configuration that others knew and the store has lost, milliseconds. It is
 * limited because all hosts that knew it may be gone.
 */
const CATALOG_WAIT_MS = 15_000;

/** Dependencies of the view. */
export interface StoreViewOptions {
  readonly board: GatewayBoard;
  readonly reader: DocumentReader;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  /** Local time at which the view starts; removals shortly before it are unknown. */
  readonly startedAt: number;
  readonly expiry: ExpiryRules;
}

/**
 * Documents by key, applied to the board. When the store starts a new era, it has lost its latest changes; the view
 * never reverts them: a document stays in use until the store has one that is at least as new.
 */
export class StoreView {
  /** Position of the store up to which this view is complete; the start before the first read. */
  position = STORE_START;
  duty: HeldPromotionLease | undefined;
  readonly currentEra: CurrentEra;
  private currentAt = Number.NEGATIVE_INFINITY;
  private hostRemovedAt: number;
  private ownCompleteTo = STORE_START;
  /** Local time from which the retention of documents that differ from the store is counted. */
  private retainedSince: number;
  /** Local time of the next review of these documents. */
  private nextReviewAt = Number.NEGATIVE_INFINITY;
  /** Whether this host no longer waits for a newer configuration than the one in the store. */
  private acceptsAnyCatalog = false;
  private readonly cache = new DocumentCache();
  private readonly stale = new StaleVersions();
  private readonly tombstones = new Tombstones();
  private readonly deltas = new DeltaBuilder(this.cache, this.stale, this.tombstones);
  private readonly publisher: BoardPublisher;
  private readonly board: GatewayBoard;
  private readonly reader: DocumentReader;
  private readonly log: Logger;

  constructor(options: StoreViewOptions) {
    const { board, reader, metrics, log, startedAt, expiry } = options;
    this.board = board;
    this.reader = reader;
    this.log = log;
    this.publisher = new BoardPublisher(board, this.cache, log, expiry, {
      isMissing: (key) => this.isMissing(key),
      minimumCatalogVersion: (position) => this.minimumCatalogVersion(position),
    });
    this.hostRemovedAt = startedAt;
    this.currentEra = new CurrentEra(board, metrics, log, startedAt);
    this.retainedSince = startedAt;
  }

  /** Whether everything was read once. */
  get hasLoaded(): boolean {
    return this.position.revision > 0;
  }

  /** Latest known era of the store, also if it is known only from a read without results. */
  get era(): number {
    return laterOf(this.newest, this.ownPosition).era;
  }

  /** Whether the current era of the store is marked as one that has every gateway document in use before it. */
  get isEraOpened(): boolean {
    const { era } = this.ownPosition;
    return era === STORE_START.era || this.has(eraKey(era));
  }

  /** Whether the gateway's own documents in the store are complete, so that a read of them is a valid proof. */
  get isEraSettled(): boolean {
    return this.isEraOpened && !this.cache.recordEras.hasBefore(this.ownPosition.era);
  }

  /** The records that are missing from the current era of the store, or are older there. */
  get lostRecords(): readonly CachedRecord[] {
    return this.cache.all.filter(isRecord).filter(({ item }) => this.isLost(item.key));
  }

  /** Whether one of the gateway's own documents is missing from the current era of the store, or is older there. */
  isLost(key: string): boolean {
    const cachedAt = this.cache.positionOf(key);
    return cachedAt !== undefined && cachedAt.era < this.ownPosition.era;
  }

  /** Whether a key is cached. */
  has(key: string): boolean {
    return this.cache.positionOf(key) !== undefined;
  }

  /** Whether this host still waits for a configuration that other hosts knew before the current era. */
  get awaitsCatalog(): boolean {
    return this.publisher.awaitsCatalog;
  }

  /** Position of the latest change that this view knows of. */
  get newest(): StorePosition {
    return this.cache.newest;
  }

  /** Position of the latest change of a document that was not written by the gateway. */
  get documentsPosition(): StorePosition {
    return this.cache.foreignNewest;
  }

  /** Latest local time at which the cached documents were known to match the store; -Infinity before the first one. */
  get lastCurrentAt(): number {
    return this.currentAt;
  }

  /** The promotion lease as the coordination rules need it. */
  get seenPromotionLease(): SeenPromotionLease | undefined {
    return this.duty && { ...this.duty.duty, seenAt: this.duty.seenAt };
  }

  /** Records that the cached documents matched the store at local time `at`. */
  markCurrent(at: number): void {
    this.currentAt = Math.max(this.currentAt, at);
    this.board.catalogConfirmedAt = this.currentAt;
  }

  /** Latest local time at which a host may have been removed from the list, as far as this view knows. */
  get lastHostRemovalAt(): number {
    return this.hostRemovedAt;
  }

  /** Position of the store up to which this view has all of the gateway's own documents. */
  get ownPosition(): StorePosition {
    return laterOf(this.position, this.ownCompleteTo);
  }

  /** Whether a host was listed with this incarnation at `position` of the store, and still is. */
  wasListed(host: string, incarnation: number, position: StorePosition): boolean {
    return this.cache.wasListed(host, incarnation, position);
  }

  /** Waits up to `timeoutMs` until all of the gateway's own documents up to `position` are cached. */
  async waitForOwnDocuments(position: StorePosition, timeoutMs: number): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (isLater(position, this.ownPosition) && performance.now() < until) {
      await pause(POLL_MS);
    }
  }

  /** Whether this view is complete up to a key's latest change. */
  isCompleteUpTo(key: string): boolean {
    return !isLater(this.cache.positionOf(key) ?? STORE_START, this.position);
  }

  /** The condition that one of the gateway's own keys is unchanged in the store since this view last saw it there. */
  conditionOn(key: string): StoreCondition {
    const { era } = this.ownPosition;
    const position = this.stale.positionOf(key) ?? this.cache.positionOf(key);
    return { key, position: position?.era === era ? position : { era, revision: 0 } };
  }

  /** Replaces everything under `prefix` by the result of a read. */
  replace(prefix: string, range: StoreRange, now: number): void {
    this.updateEra(prefix, range.position, now);
    const present = new Set(range.items.map((item) => item.key));
    for (const key of this.cache.keys) {
      if (key.startsWith(prefix) && !present.has(key)) this.handleMissing(key, range.position, now);
    }
    for (const item of sortOwnFirst(range.items)) this.applyItem(item, now);
    if (prefix === '') this.markComplete(range.position);
    if (prefix === OWN_PREFIX) this.markOwnComplete(range.position);
    this.publisher.publish();
    this.currentEra.markLoaded();
  }

  /** The records of primaries and the promotion lease, as stored. */
  recordItems(): readonly StoreItem[] {
    const isRecordKey = (key: string): boolean => groupOfKey(key) !== undefined;
    return this.cache.items.filter(({ key }) => isRecordKey(key) || key === PROMOTION_LEASE_KEY);
  }

  /** Changes of the gateway's own documents after `since`; undefined if they are not all known. */
  ownChangesSince(since: StorePosition): OwnChanges | undefined {
    return this.deltas.ownChanges(since, this.ownPosition);
  }

  /** What a host is missing that is complete up to `since`. */
  deltaSince(since: StorePosition): ViewDelta {
    return this.deltas.delta(since, this.position);
  }

  /** Applies a delta that was received from another host. */
  applyDelta(delta: ViewDelta, now: number): void {
    if (delta.complete) {
      this.replace('', delta, now);
      return;
    }
    const events: StoreEvent[] = [
      ...delta.items.map((item) => ({ kind: 'written' as const, item })),
      ...delta.removed.map((removal) => ({ kind: 'removed' as const, ...removal })),
    ];
    this.applyEvents(events, delta.position, now);
  }

  /** Applies single items received from other hosts; the position stays, since changes in between may be missing. */
  applyItems(items: readonly StoreItem[], now: number): void {
    for (const item of items) this.applyItem(item, now);
    this.publisher.publish();
  }

  /** Applies changes of the gateway's own documents that another host returned for the requested position. */
  applyOwnChanges(changes: OwnChanges, now: number): void {
    this.updateEra(OWN_PREFIX, changes.position, now);
    for (const item of changes.items) this.applyItem(item, now);
    for (const removal of changes.removed) this.removeUnlessNewer(removal, now);
    this.markOwnComplete(changes.position);
    this.publisher.publish();
    this.currentEra.markLoaded();
  }

  /** Records that all of the gateway's own documents up to `position` are cached. */
  markOwnComplete(position: StorePosition): void {
    this.ownCompleteTo = laterOf(this.ownCompleteTo, position);
  }

  /** Records that up to `position` only the gateway's own documents have changed, as far as those are cached. */
  markOnlyOwnChanged(position: StorePosition): void {
    const known = isLater(position, this.ownCompleteTo) ? this.ownCompleteTo : position;
    this.position = laterOf(this.position, known);
  }

  /** Applies changes of the same era that were received from a watch or from another host. */
  applyEvents(events: readonly StoreEvent[], position: StorePosition, now: number): void {
    for (const event of events) {
      if (event.kind === 'written') this.applyItem(event.item, now);
      else this.removeUnlessNewer(event, now);
    }
    this.position = laterOf(this.position, position);
    this.publisher.publish();
  }

  /** Advances the expiry of upstreams without an entry, and reviews documents that differ from the store. */
  expireDocuments(now: number): void {
    const current = now - this.currentAt < OUTDATED_AFTER_MS;
    this.publisher.updateExpiredUpstreams(this.currentAt, now);
    if (current) this.reviewRetained(now);
    else this.retainedSince = now;
    this.publisher.publish();
  }

  /** Adopts the state of the store for documents that were not written again for long enough in this era. */
  private reviewRetained(now: number): void {
    const { era } = this.ownPosition;
    const hasRetained = this.stale.all.length > 0 || this.cache.eras.hasBefore(era);
    const isDue = hasRetained || this.awaitsCatalog;
    if (!isDue || now < this.nextReviewAt) return;
    this.nextReviewAt = now + RETAINED_REVIEW_MS;
    const retainedMs = now - this.retainedSince;
    for (const { document, item } of this.stale.all) {
      if (retainedMs < ignoreStaleForMs(document)) continue;
      this.log.info('store-copy-taken', { key: item.key, kept_ms: Math.round(retainedMs) });
      this.applyDocument(document, this.cache.get(item.key), item, now);
    }
    if (retainedMs >= CATALOG_WAIT_MS) {
      this.acceptsAnyCatalog = true;
      this.publisher.retryCatalog();
    }
    for (const document of this.cache.all) {
      const { key } = document.item;
      if (retainedMs < retainMissingForMs(document) || !this.isMissing(key)) continue;
      this.log.info('kept-document-dropped', { key, kept_ms: Math.round(retainedMs) });
      this.remove({ key, position: this.ownPosition }, now);
    }
  }

  /** Whether a key is cached that the current era of the store does not contain. */
  private isMissing(key: string): boolean {
    const { era } = key.startsWith(OWN_PREFIX) ? this.ownPosition : this.position;
    const cachedAt = this.cache.positionOf(key);
    return cachedAt !== undefined && cachedAt.era < era && this.stale.get(key) === undefined;
  }

  /**
   * Lowest configuration version that may be put in force. An opened era's marker gives it; before that it is unknown,
   * so none may.
   */
  private minimumCatalogVersion(position: StorePosition): number {
    const { era } = laterOf(position, this.ownPosition);
    if (era === STORE_START.era || this.acceptsAnyCatalog) return Number.NEGATIVE_INFINITY;
    const marker = this.cache.get(eraKey(era));
    if (marker?.kind !== 'era') return Number.POSITIVE_INFINITY;
    return marker.catalogVersion ?? Number.NEGATIVE_INFINITY;
  }

  /** Starts a new era if what was read under `prefix` belongs to one; called before it is applied. */
  private updateEra(prefix: string, { era }: StorePosition, now: number): void {
    if (prefix === '' && era > this.position.era) this.retainedSince = now;
    const former = this.ownPosition;
    if (era <= former.era) return;
    this.currentEra.begin(era, former, now);
    this.stale.deleteBefore(era);
  }

  /** Handles a key that is missing from a read: it was removed, unless the current era has lost it. */
  private handleMissing(key: string, position: StorePosition, now: number): void {
    const cachedAt = this.cache.positionOf(key);
    if (cachedAt === undefined || isLater(cachedAt, position)) return;
    const kind = this.cache.get(key)?.kind;
    const needsNoRetention = kind === undefined || kind === 'upstream' || kind === 'era';
    if (cachedAt.era === position.era || needsNoRetention) this.remove({ key, position }, now);
    else if (key === hostKey(this.board.host)) this.publisher.markOwnEntryLost();
  }

  private applyItem(item: StoreItem, now: number): void {
    if (this.isKnown(item) || this.wasRemovedAfter(item)) return;
    const former = this.cache.get(item.key);
    const reading = this.reader.read(item);
    if (reading.verdict === DocumentVerdict.Used) {
      this.applyIfNewer(this.withStartTime(reading.document, former), former, item, now);
    }
    if (reading.verdict === DocumentVerdict.Unreadable) this.applyUnreadable(item, former, now);
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
      else this.applyDocument(document, former, item, now);
      return;
    }
    const isOtherEra = era !== former.item.position.era;
    const isRewrittenByOwner =
      document.kind === 'upstream' && this.stale.get(item.key) !== undefined;
    if (isOtherEra && era < former.item.position.era) {
      if (!isOlderDocument(former, document)) return;
      this.applyDocument(document, former, item, now);
      this.stale.put(former, former.item);
    } else if (isOtherEra && !isRewrittenByOwner && isOlderDocument(document, former)) {
      this.ignoreStale(document, item);
    } else {
      this.applyDocument(document, former, item, now);
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

  private applyDocument(
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
    const { seenAt, ...duty } = placeholderPromotionLease(this.seenPromotionLease, position, now);
    const renewal = this.duty?.duty.renewal ?? 0;
    this.duty = { duty: { ...duty, renewal }, seenAt };
  }

  /** Whether a key was removed after this version of it was written. */
  private wasRemovedAfter(item: StoreItem): boolean {
    const removedAt = this.tombstones.positionOf(item.key);
    return removedAt !== undefined && isLater(removedAt, item.position);
  }

  /** Records a complete read; the single removals before it are then unknown. */
  private markComplete(position: StorePosition): void {
    if (!isLater(position, this.position)) return;
    this.position = position;
    this.cache.markCompleteUpTo(position);
    this.tombstones.markCompleteUpTo(position);
  }

  /** Removes a key unless it was written or removed after `removal`. */
  private removeUnlessNewer(removal: Tombstone, now: number): void {
    const { key, position } = removal;
    const removedAt = this.tombstones.positionOf(key) ?? STORE_START;
    const cachedAt = this.cache.positionOf(key) ?? STORE_START;
    if (isLater(position, removedAt) && isLater(position, cachedAt)) this.remove(removal, now);
  }

  private remove(removal: Tombstone, now: number): void {
    const { key, position } = removal;
    const isHostEntry = hostOfKey(key) !== undefined && this.cache.positionOf(key) !== undefined;
    if (isHostEntry) this.hostRemovedAt = now;
    if (this.cache.isUnreadable(key)) this.publisher.clearUnreadable(key);
    const held = this.cache.remove(key, position);
    this.stale.delete(key);
    this.tombstones.add(removal);
    if (held !== undefined) this.publisher.applyRemoval(held, position, now);
  }
}

/** Sorts the gateway's own documents first: the marker of the era decides whether a configuration is new enough. */
function sortOwnFirst(items: readonly StoreItem[]): readonly StoreItem[] {
  const isOwn = ({ key }: StoreItem): boolean => key.startsWith(OWN_PREFIX);
  return [...items.filter(isOwn), ...items.filter((item) => !isOwn(item))];
}
