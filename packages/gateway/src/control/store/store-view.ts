/**
 * The store's documents as this host has seen them, and their effect on the board.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { ExpiryRules, SeenPromotionLease, StorePosition } from '@gladespool/coordination';
import {
  placeholderPromotionLease,
  isLater,
  laterOf,
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

/** The duty record with what is needed to replace it and to wait it out. */
export interface HeldPromotionLease {
  readonly duty: PromotionLeaseRecord;
  /** Local time at which this version was first seen. */
  readonly seenAt: number;
}

/** Time between two looks at whether a change has arrived, milliseconds: about a round trip of the store. */
const WAIT_STEP_MS = 5;
/** Age from which the documents held may no longer be those of the store, milliseconds: two failed renewals. */
const OUTDATED_AFTER_MS = 1000;
/** Time between two looks at documents that are kept against what the store shows, milliseconds. */
const KEPT_REVIEW_MS = 500;
/**
 * Time for which a host that starts waits for a configuration that others knew and the store has lost, milliseconds. All
 * hosts that knew it may be gone.
 */
const CATALOG_MS = 15_000;

/** What a view works with. */
export interface StoreViewOptions {
  readonly board: GatewayBoard;
  readonly reader: DocumentReader;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  /** Local time at which the view begins; what was removed shortly before is not known. */
  readonly startedAt: number;
  readonly lapse: ExpiryRules;
}

/**
 * Documents by key, applied to the board. In a new era of the store, which has lost its last changes, nothing that was
 * known goes back: a document stays in use until the store shows one that is at least as new.
 */
export class StoreView {
  /** Position of the store up to which this view is complete; the start before the first read. */
  position = STORE_START;
  duty: HeldPromotionLease | undefined;
  readonly currentEra: CurrentEra;
  private currentAt = Number.NEGATIVE_INFINITY;
  private hostGoneAt: number;
  private ownKnown = STORE_START;
  /** Local time from which documents count that are kept against what the store shows. */
  private keptSince: number;
  /** Local time before which these are not looked at once more. */
  private reviewNotBefore = Number.NEGATIVE_INFINITY;
  /** Whether no newer configuration than what the store shows is waited for any more. */
  private takesAnyCatalog = false;
  private readonly held = new DocumentCache();
  private readonly copies = new StaleVersions();
  private readonly removed = new Tombstones();
  private readonly deltas = new DeltaBuilder(this.held, this.copies, this.removed);
  private readonly publisher: BoardPublisher;
  private readonly board: GatewayBoard;
  private readonly reader: DocumentReader;
  private readonly log: Logger;

  constructor(options: StoreViewOptions) {
    const { board, reader, metrics, log, startedAt, lapse } = options;
    this.board = board;
    this.reader = reader;
    this.log = log;
    this.publisher = new BoardPublisher(board, this.held, log, lapse, {
      isMissing: (key) => this.isMissing(key),
      minimumCatalogVersion: (position) => this.oldestCatalog(position),
    });
    this.hostGoneAt = startedAt;
    this.currentEra = new CurrentEra(board, metrics, log, startedAt);
    this.keptSince = startedAt;
  }

  /** Whether everything was read once. */
  get hasLoaded(): boolean {
    return this.position.revision > 0;
  }

  /** Latest era of the store that this view has heard of, be it by a read that showed nothing. */
  get era(): number {
    return laterOf(this.newest, this.ownPosition).era;
  }

  /** Whether the present era of the store is marked as one that holds all that was acted on before it. */
  get isEraOpened(): boolean {
    const { era } = this.ownPosition;
    return era === STORE_START.era || this.has(eraKey(era));
  }

  /** Whether what the store shows of the gateway's own documents can be relied on. */
  get isEraSettled(): boolean {
    return this.isEraOpened && !this.held.recordEras.hasBefore(this.ownPosition.era);
  }

  /** The records that the present era of the store lacks, or has older versions of. */
  get lostRecords(): readonly CachedRecord[] {
    return this.held.all.filter(isRecord).filter(({ item }) => this.isLost(item.key));
  }

  /** Whether the present era of the store lacks one of the gateway's own documents, or has an older version. */
  isLost(key: string): boolean {
    const heldAt = this.held.positionOf(key);
    return heldAt !== undefined && heldAt.era < this.ownPosition.era;
  }

  /** Whether a key is there. */
  has(key: string): boolean {
    return this.held.positionOf(key) !== undefined;
  }

  /** Whether this host has still to learn of a configuration that hosts knew before the present era. */
  get awaitsCatalog(): boolean {
    return this.publisher.awaitsCatalog;
  }

  /** Position of the store of the latest change that this view has heard of. */
  get newest(): StorePosition {
    return this.held.newest;
  }

  /** Position of the latest change of a document that is none of the gateway's own. */
  get documentsPosition(): StorePosition {
    return this.held.foreignNewest;
  }

  /** Latest local time at which the documents held were surely those of the store; -Infinity before. */
  get lastCurrentAt(): number {
    return this.currentAt;
  }

  /** Who may call for promotions, for the decisions about it. */
  get seenDuty(): SeenPromotionLease | undefined {
    return this.duty && { ...this.duty.duty, seenAt: this.duty.seenAt };
  }

  /** Notes that the documents held were those of the store at local time `at`. */
  markCurrent(at: number): void {
    this.currentAt = Math.max(this.currentAt, at);
    this.board.catalogConfirmedAt = this.currentAt;
  }

  /** Latest local time at which a host may have been taken off the list, as far as this view knows. */
  get lastHostRemovalAt(): number {
    return this.hostGoneAt;
  }

  /** Position of the store up to which this view has all of the gateway's own documents. */
  get ownPosition(): StorePosition {
    return laterOf(this.position, this.ownKnown);
  }

  /** Whether a host was listed with this incarnation at `position` of the store, and still is. */
  wasListed(host: string, incarnation: number, position: StorePosition): boolean {
    return this.held.wasListed(host, incarnation, position);
  }

  /** Waits until all of the gateway's own documents up to `position` are held, `timeoutMs` at most. */
  async waitForOwnDocuments(position: StorePosition, timeoutMs: number): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (isLater(position, this.ownPosition) && performance.now() < until) {
      await pause(WAIT_STEP_MS);
    }
  }

  /** Whether this view is complete up to a key's latest change. */
  isCompleteUpTo(key: string): boolean {
    return !isLater(this.held.positionOf(key) ?? STORE_START, this.position);
  }

  /** The condition that one of the gateway's own keys is in the store as this view last saw it there. */
  conditionOn(key: string): StoreCondition {
    const { era } = this.ownPosition;
    const position = this.copies.positionOf(key) ?? this.held.positionOf(key);
    return { key, position: position?.era === era ? position : { era, revision: 0 } };
  }

  /** Replaces everything under `prefix` by what a read returned. */
  replace(prefix: string, range: StoreRange, now: number): void {
    this.noteEra(prefix, range.position, now);
    const present = new Set(range.items.map((item) => item.key));
    for (const key of this.held.keys) {
      if (key.startsWith(prefix) && !present.has(key)) this.noteMissing(key, range.position, now);
    }
    for (const item of ownFirst(range.items)) this.write(item, now);
    if (prefix === '') this.noteComplete(range.position);
    if (prefix === OWN_PREFIX) this.markOwnComplete(range.position);
    this.publisher.publish();
    this.currentEra.markLoaded();
  }

  /** The records of primaries and the duty, as stored. */
  recordItems(): readonly StoreItem[] {
    const isRecordKey = (key: string): boolean => groupOfKey(key) !== undefined;
    return this.held.items.filter(({ key }) => isRecordKey(key) || key === PROMOTION_LEASE_KEY);
  }

  /** What has changed of the gateway's own documents since `since`; undefined if that is not known. */
  ownChangesSince(since: StorePosition): OwnChanges | undefined {
    return this.deltas.ownChanges(since, this.ownPosition);
  }

  /** What a host lacks that is complete up to `since`. */
  deltaSince(since: StorePosition): ViewDelta {
    return this.deltas.delta(since, this.position);
  }

  /** Takes what another host passed on. */
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

  /** Applies single items that others pushed, without knowing what lies between. */
  applyItems(items: readonly StoreItem[], now: number): void {
    for (const item of items) this.write(item, now);
    this.publisher.publish();
  }

  /** Takes what another host told of the gateway's own documents, for the position that was asked about. */
  applyOwnChanges(changes: OwnChanges, now: number): void {
    this.noteEra(OWN_PREFIX, changes.position, now);
    for (const item of changes.items) this.write(item, now);
    for (const removal of changes.removed) this.removeOlder(removal, now);
    this.markOwnComplete(changes.position);
    this.publisher.publish();
    this.currentEra.markLoaded();
  }

  /** Notes that the gateway's own documents held are all that there were at `position`. */
  markOwnComplete(position: StorePosition): void {
    this.ownKnown = laterOf(this.ownKnown, position);
  }

  /** Notes that nothing but own documents, which are held, has changed up to `position`. */
  markOnlyOwnChanged(position: StorePosition): void {
    const known = isLater(position, this.ownKnown) ? this.ownKnown : position;
    this.position = laterOf(this.position, known);
  }

  /** Applies what a watch brought, or what another host told of the same era. */
  applyEvents(events: readonly StoreEvent[], position: StorePosition, now: number): void {
    for (const event of events) {
      if (event.kind === 'written') this.write(event.item, now);
      else this.removeOlder(event, now);
    }
    this.position = laterOf(this.position, position);
    this.publisher.publish();
  }

  /** Looks at the upstreams whose entries are missing, and at what is kept against the store's word. */
  expireDocuments(now: number): void {
    const current = now - this.currentAt < OUTDATED_AFTER_MS;
    this.publisher.updateExpiredUpstreams(current, now);
    if (current) this.reviewKept(now);
    else this.keptSince = now;
    this.publisher.publish();
  }

  /** Takes the store's word on what others have not changed in this era for long enough. */
  private reviewKept(now: number): void {
    const { era } = this.ownPosition;
    const isKept = this.copies.all.length > 0 || this.held.eras.hasBefore(era);
    const isDue = isKept || this.awaitsCatalog;
    if (!isDue || now < this.reviewNotBefore) return;
    this.reviewNotBefore = now + KEPT_REVIEW_MS;
    const keptMs = now - this.keptSince;
    for (const { document, item } of this.copies.all) {
      if (keptMs < ignoreStaleForMs(document)) continue;
      this.log.info('store-copy-taken', { key: item.key, kept_ms: Math.round(keptMs) });
      this.take(document, this.held.get(item.key), item, now);
    }
    if (keptMs >= CATALOG_MS) {
      this.takesAnyCatalog = true;
      this.publisher.retryCatalog();
    }
    for (const document of this.held.all) {
      const { key } = document.item;
      if (keptMs < retainMissingForMs(document) || !this.isMissing(key)) continue;
      this.log.info('kept-document-dropped', { key, kept_ms: Math.round(keptMs) });
      this.remove({ key, position: this.ownPosition }, now);
    }
  }

  /** Whether a key is held that the present era of the store does not have. */
  private isMissing(key: string): boolean {
    const { era } = key.startsWith(OWN_PREFIX) ? this.ownPosition : this.position;
    const heldAt = this.held.positionOf(key);
    return heldAt !== undefined && heldAt.era < era && this.copies.get(key) === undefined;
  }

  /** Before an era is opened, nobody tells which configurations were known; after that, its marker does. */
  private oldestCatalog(position: StorePosition): number {
    const { era } = laterOf(position, this.ownPosition);
    if (era === STORE_START.era || this.takesAnyCatalog) return Number.NEGATIVE_INFINITY;
    const marker = this.held.get(eraKey(era));
    if (marker?.kind !== 'era') return Number.POSITIVE_INFINITY;
    return marker.catalogVersion ?? Number.NEGATIVE_INFINITY;
  }

  /** Notes the era of what was read under `prefix`, before it is applied. */
  private noteEra(prefix: string, { era }: StorePosition, now: number): void {
    if (prefix === '' && era > this.position.era) this.keptSince = now;
    const former = this.ownPosition;
    if (era <= former.era) return;
    this.currentEra.begin(era, former, now);
    this.copies.deleteBefore(era);
  }

  /** A key that a read did not show: it is gone, unless only the present era has lost it. */
  private noteMissing(key: string, position: StorePosition, now: number): void {
    const heldAt = this.held.positionOf(key);
    if (heldAt === undefined || isLater(heldAt, position)) return;
    const kind = this.held.get(key)?.kind;
    const endsByItself = kind === undefined || kind === 'upstream' || kind === 'era';
    if (heldAt.era === position.era || endsByItself) this.remove({ key, position }, now);
    else if (key === hostKey(this.board.host)) this.publisher.markOwnEntryLost();
  }

  private write(item: StoreItem, now: number): void {
    if (this.isKnown(item) || this.wasRemovedAfter(item)) return;
    const former = this.held.get(item.key);
    const reading = this.reader.read(item);
    if (reading.verdict === DocumentVerdict.Used) {
      this.weigh(this.withBirth(reading.document, former), former, item, now);
    }
    if (reading.verdict === DocumentVerdict.Unreadable) this.takeUnreadable(item, former, now);
  }

  /** Whether this version of a key, or a later one of its era, was seen before. */
  private isKnown({ key, position }: StoreItem): boolean {
    const seen = [this.copies.positionOf(key), this.held.positionOf(key)];
    return seen.some((at) => at?.era === position.era && !isLater(position, at));
  }

  /**
   * Takes a version of a key unless another one that is known is newer. Within an era the position decides; a later
   * era may show what was overwritten before it began.
   */
  private weigh(
    document: StoreDocument,
    former: CachedDocument | undefined,
    item: StoreItem,
    now: number,
  ): void {
    const { era } = item.position;
    if (former === undefined) {
      if (this.isBackFromCopy(document, item)) this.leaveUnused(document, item);
      else this.take(document, former, item, now);
      return;
    }
    const isOther = era !== former.item.position.era;
    const isOwnersWord = document.kind === 'upstream' && this.copies.get(item.key) !== undefined;
    if (isOther && era < former.item.position.era) {
      if (!isOlderDocument(former, document)) return;
      this.take(document, former, item, now);
      this.copies.put(former, former.item);
    } else if (isOther && !isOwnersWord && isOlderDocument(document, former)) {
      this.leaveUnused(document, item);
    } else {
      this.take(document, former, item, now);
    }
  }

  /** Whether a key that others had taken away is back only because a copy has it. */
  private isBackFromCopy(document: StoreDocument, { key, position }: StoreItem): boolean {
    const removedAt = this.removed.positionOf(key);
    if (removedAt === undefined || removedAt.era === position.era) return false;
    if (this.copies.get(key) !== undefined) return false;
    if (document.kind === 'evacuation') return true;
    if (document.kind !== 'upstream') return false;
    const lapsed = this.publisher.lapsedEntry(document.entry.id);
    return lapsed === undefined || (lapsed.draining && !document.entry.draining);
  }

  private leaveUnused(document: StoreDocument, item: StoreItem): void {
    const { key, position } = item;
    const held = this.held.positionOf(key);
    this.copies.put(document, item);
    this.log.info('store-copy-unused', {
      key,
      position: formatStorePosition(position),
      held: held && formatStorePosition(held),
    });
  }

  /** An upstream that tells no birth has the one known of it. */
  private withBirth(document: StoreDocument, former: CachedDocument | undefined): StoreDocument {
    if (document.kind !== 'upstream') return document;
    const { entry } = document;
    const known = former?.kind === 'upstream' ? former.entry : this.publisher.lapsedEntry(entry.id);
    return { ...document, entry: withKnownStartTime(known, entry) };
  }

  private take(
    document: StoreDocument,
    former: CachedDocument | undefined,
    item: StoreItem,
    now: number,
  ): void {
    const { key, position } = item;
    if (this.held.isUnreadable(key)) this.publisher.clearUnreadable(key);
    this.copies.delete(key);
    // An evacuation is told by its key alone; its value may be long, and is neither kept nor passed on.
    this.held.put(document, document.kind === 'evacuation' ? { ...item, value: '' } : item);
    if (document.kind === 'era') this.publisher.retryCatalog();
    if (document.kind === 'duty') this.duty = { duty: document.duty, seenAt: now };
    this.publisher.applyDocument(document, former, position, now);
  }

  private takeUnreadable(item: StoreItem, former: CachedDocument | undefined, now: number): void {
    const { key, position } = item;
    this.held.putUnreadable(item);
    if (former?.kind === 'upstream') this.held.discard(key);
    if (key === PROMOTION_LEASE_KEY) this.doubtDuty(position, now);
    this.publisher.applyUnreadable(key, former, position, now);
  }

  private doubtDuty(position: StorePosition, now: number): void {
    const { seenAt, ...duty } = placeholderPromotionLease(this.seenDuty, position, now);
    const renewal = this.duty?.duty.renewal ?? 0;
    this.duty = { duty: { ...duty, renewal }, seenAt };
  }

  /** Whether a key was removed later than this version of it was written. */
  private wasRemovedAfter(item: StoreItem): boolean {
    const removedAt = this.removed.positionOf(item.key);
    return removedAt !== undefined && isLater(removedAt, item.position);
  }

  /** After a complete read, removals before it are not known one by one. */
  private noteComplete(position: StorePosition): void {
    if (!isLater(position, this.position)) return;
    this.position = position;
    this.held.markCompleteUpTo(position);
    this.removed.markCompleteUpTo(position);
  }

  /** Removes a key unless it was written again after `removal`. */
  private removeOlder(removal: Tombstone, now: number): void {
    const { key, position } = removal;
    const removedAt = this.removed.positionOf(key) ?? STORE_START;
    const heldAt = this.held.positionOf(key) ?? STORE_START;
    if (isLater(position, removedAt) && isLater(position, heldAt)) this.remove(removal, now);
  }

  private remove(removal: Tombstone, now: number): void {
    const { key, position } = removal;
    const isListing = hostOfKey(key) !== undefined && this.held.positionOf(key) !== undefined;
    if (isListing) this.hostGoneAt = now;
    if (this.held.isUnreadable(key)) this.publisher.clearUnreadable(key);
    const held = this.held.remove(key, position);
    this.copies.delete(key);
    this.removed.add(removal);
    if (held !== undefined) this.publisher.applyRemoval(held, position, now);
  }
}

/** The gateway's own documents first: they tell what others have to be waited for. */
function ownFirst(items: readonly StoreItem[]): readonly StoreItem[] {
  const isOwn = ({ key }: StoreItem): boolean => key.startsWith(OWN_PREFIX);
  return [...items.filter(isOwn), ...items.filter((item) => !isOwn(item))];
}
