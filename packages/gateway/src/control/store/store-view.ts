/**
 * Local view of the store's documents, and the rules by which they are applied to the board.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  ExpiryRules,
  GroupId,
  HostId,
  SeenPromotionLease,
  StorePosition,
} from '@gladespool/coordination';
import { isLater, laterOf, OUTDATED_AFTER_MS, STORE_START } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { UpstreamEntry } from '../../model/catalog.js';
import { BoardPublisher } from './board-publisher.js';
import { CurrentEra } from './current-era.js';
import type { CachedRecord } from './document-cache.js';
import { DocumentCache, isRecord } from './document-cache.js';
import type { DocumentReader } from './document-reader.js';
import type { HeldPromotionLease } from './document-versions.js';
import type { DepartedUpstream } from './departed-upstreams.js';
import { DocumentVersions } from './document-versions.js';
import type { StoreCondition, StoreEvent, StoreItem, StoreRange } from './metadata-store.js';
import { RetainedDocuments } from './retained-documents.js';
import { eraKey, groupOfKey, hostKey, OWN_PREFIX, PROMOTION_LEASE_KEY } from './store-documents.js';
import type { OwnChanges, ViewDelta } from './view-delta.js';
import { DeltaBuilder } from './view-delta.js';

/** Poll interval while waiting for a change to arrive, milliseconds: about a round trip to the store. */
const POLL_MS = 5;
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
  readonly currentEra: CurrentEra;
  private currentAt = Number.NEGATIVE_INFINITY;
  private ownCompleteTo = STORE_START;
  private readonly cache = new DocumentCache();
  private readonly versions: DocumentVersions;
  private readonly retained: RetainedDocuments;
  private readonly deltas: DeltaBuilder;
  private readonly publisher: BoardPublisher;
  private readonly board: GatewayBoard;

  constructor(options: StoreViewOptions) {
    const { board, reader, metrics, log, startedAt, expiry } = options;
    this.board = board;
    this.publisher = new BoardPublisher(board, this.cache, log, expiry, {
      isMissing: (key) => this.isMissing(key),
      minimumCatalogVersion: (position) => this.minimumCatalogVersion(position),
    });
    const { cache, publisher } = this;
    this.versions = new DocumentVersions({ cache, publisher, reader, log, startedAt });
    this.retained = new RetainedDocuments({
      cache,
      publisher,
      versions: this.versions,
      isMissing: (key) => this.isMissing(key),
      startedAt,
      log,
    });
    this.deltas = new DeltaBuilder(cache, this.versions.stale, this.versions.tombstones);
    this.currentEra = new CurrentEra(board, metrics, log, startedAt);
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
    return this.versions.lease;
  }

  /** The promotion lease as stored, with the time from which its expiry is counted. */
  get duty(): HeldPromotionLease | undefined {
    return this.versions.duty;
  }

  /** Records that the cached documents matched the store at local time `at`. */
  markCurrent(at: number): void {
    this.currentAt = Math.max(this.currentAt, at);
    this.board.catalogConfirmedAt = this.currentAt;
  }

  /** Latest local time at which a host may have been removed from the list, as far as this view knows. */
  get lastHostRemovalAt(): number {
    return this.versions.lastHostRemovalAt;
  }

  /** Position at which a listed host joined the host list, as its entry tells it; undefined if there is no entry. */
  listedSince(host: HostId): StorePosition | undefined {
    const held = this.cache.get(hostKey(host));
    if (held?.kind !== 'host') return undefined;
    const { position } = held.item;
    const { listedSince } = held.entry;
    // Positions of another era say nothing about when the host joined the list of this one.
    return listedSince?.era === position.era ? listedSince : position;
  }

  /** Hosts that others have removed from the list, with the positions of the notes about it. */
  get retirements(): ReadonlyMap<HostId, StorePosition> {
    return this.cache.retirements;
  }

  /** Upstreams of a group that have no entry any more and may still confirm commits. */
  departedUpstreams(group: GroupId): readonly DepartedUpstream[] {
    return this.publisher.departed.of(group);
  }

  /** The upstream of an entry that another host has sent; undefined if this host has an entry or cannot read it. */
  readDeparted(item: StoreItem): UpstreamEntry | undefined {
    return this.has(item.key) ? undefined : this.versions.readUpstream(item);
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
    const position = this.versions.storedPositionOf(key);
    return { key, position: position?.era === era ? position : { era, revision: 0 } };
  }

  /** Replaces everything under `prefix` by the result of a read. */
  replace(prefix: string, range: StoreRange, now: number): void {
    this.updateEra(prefix, range.position, now);
    const present = new Set(range.items.map((item) => item.key));
    for (const key of this.cache.keys) {
      if (key.startsWith(prefix) && !present.has(key)) this.handleMissing(key, range.position, now);
    }
    for (const item of sortOwnFirst(range.items)) this.versions.apply(item, now);
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
    for (const item of items) this.versions.apply(item, now);
    this.publisher.publish();
  }

  /** Applies changes of the gateway's own documents that another host returned for the requested position. */
  applyOwnChanges(changes: OwnChanges, now: number): void {
    this.updateEra(OWN_PREFIX, changes.position, now);
    for (const item of changes.items) this.versions.apply(item, now);
    for (const removal of changes.removed) this.versions.removeUnlessNewer(removal, now);
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
      if (event.kind === 'written') this.versions.apply(event.item, now);
      else this.versions.removeUnlessNewer(event, now);
    }
    this.position = laterOf(this.position, position);
    this.publisher.publish();
  }

  /** Advances the expiry of upstreams without an entry, and reviews documents that differ from the store. */
  expireDocuments(now: number): void {
    const current = now - this.currentAt < OUTDATED_AFTER_MS;
    this.publisher.updateExpiredUpstreams(this.currentAt, now);
    if (current) this.retained.review(this.ownPosition, now);
    else this.retained.restart(now);
    this.publisher.publish();
  }

  /** Whether a key is cached that the current era of the store does not contain. */
  private isMissing(key: string): boolean {
    const { era } = key.startsWith(OWN_PREFIX) ? this.ownPosition : this.position;
    const cachedAt = this.cache.positionOf(key);
    return (
      cachedAt !== undefined && cachedAt.era < era && this.versions.stale.get(key) === undefined
    );
  }

  /**
   * Lowest configuration version that may be put in force. An opened era's marker gives it; before that it is unknown,
   * so none may.
   */
  private minimumCatalogVersion(position: StorePosition): number {
    const { era } = laterOf(position, this.ownPosition);
    if (era === STORE_START.era || this.retained.acceptsAnyCatalog) return Number.NEGATIVE_INFINITY;
    const marker = this.cache.get(eraKey(era));
    if (marker?.kind !== 'era') return Number.POSITIVE_INFINITY;
    return marker.catalogVersion ?? Number.NEGATIVE_INFINITY;
  }

  /** Starts a new era if what was read under `prefix` belongs to one; called before it is applied. */
  private updateEra(prefix: string, { era }: StorePosition, now: number): void {
    if (prefix === '' && era > this.position.era) this.retained.restart(now);
    const former = this.ownPosition;
    if (era <= former.era) return;
    this.currentEra.begin(era, former, this.currentAt, now);
    this.versions.stale.deleteBefore(era);
  }

  /** Handles a key that is missing from a read: it was removed, unless the current era has lost it. */
  private handleMissing(key: string, position: StorePosition, now: number): void {
    const cachedAt = this.cache.positionOf(key);
    if (cachedAt === undefined || isLater(cachedAt, position)) return;
    const kind = this.cache.get(key)?.kind;
    const needsNoRetention = kind === undefined || kind === 'upstream' || kind === 'era';
    if (cachedAt.era === position.era || needsNoRetention)
      this.versions.remove({ key, position }, now);
    else if (key === hostKey(this.board.host)) this.publisher.markOwnEntryLost();
  }

  /** Records a complete read; the single removals before it are then unknown. */
  private markComplete(position: StorePosition): void {
    if (!isLater(position, this.position)) return;
    this.position = position;
    this.cache.markCompleteUpTo(position);
    this.versions.tombstones.markCompleteUpTo(position);
  }
}

/** Sorts the gateway's own documents first: the marker of the era decides whether a configuration is new enough. */
function sortOwnFirst(items: readonly StoreItem[]): readonly StoreItem[] {
  const isOwn = ({ key }: StoreItem): boolean => key.startsWith(OWN_PREFIX);
  return [...items.filter(isOwn), ...items.filter((item) => !isOwn(item))];
}
