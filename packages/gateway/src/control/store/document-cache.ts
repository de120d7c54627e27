/**
 * Local cache of the store's documents, by key, with the position of each latest change.
 */
import type { HostId, StorePosition } from '@gladespool/coordination';
import { isLater, laterOf, STORE_START } from '@gladespool/coordination';
import { EraCounts } from './era-counts.js';
import type { ForeignDocument } from './foreign-documents.js';
import type { StoreItem } from './metadata-store.js';
import type { OwnDocument } from './store-documents.js';
import { hostKey, OWN_PREFIX, retiredHostOfKey } from './store-documents.js';

/** A decoded document, written by the gateway or by others. */
export type StoreDocument = OwnDocument | ForeignDocument;

/** A document with the version of the key from which it was decoded. */
export type CachedDocument = StoreDocument & { readonly item: StoreItem };

/** A cached record of a primary. */
export type CachedRecord = Extract<CachedDocument, { readonly kind: 'primary' }>;

/** Whether a document is the record of a primary. */
export function isRecord(document: CachedDocument): document is CachedRecord {
  return document.kind === 'primary';
}

/** Longest unreadable text that is kept, characters; longer texts are stored and passed on as empty ones. */
const MAX_KEPT_CHARS = 4096;

/** Documents by key, with the latest known positions. */
export class DocumentCache {
  /** Position of the latest change that this host knows of. */
  newest = STORE_START;
  /** Position of the latest change of one of the gateway's own documents. */
  ownNewest = STORE_START;
  /** Position of the latest change of a document that was not written by the gateway. */
  foreignNewest = STORE_START;
  /** Number of records of primaries by era. */
  readonly recordEras = new EraCounts();
  /** Number of all readable documents by era. */
  readonly eras = new EraCounts();
  /** Hosts that others have removed from the list, with the positions of the notes about it, readable or not. */
  readonly retirements = new Map<HostId, StorePosition>();
  private readonly documents = new Map<string, CachedDocument>();
  /** Newest versions that can't be decoded; the last readable one stays cached, except an upstream's. */
  private readonly unreadable = new Map<string, StoreItem>();

  /** All readable documents. */
  get all(): readonly CachedDocument[] {
    return [...this.documents.values()];
  }

  /** The items of all documents, including those that can't be decoded. */
  get items(): readonly StoreItem[] {
    return [...this.all.map((held) => held.item), ...this.unreadable.values()];
  }

  /** All keys, readable or not. */
  get keys(): readonly string[] {
    return [...new Set([...this.documents.keys(), ...this.unreadable.keys()])];
  }

  /** Keys whose newest version can't be decoded. */
  get unreadableKeys(): readonly string[] {
    return [...this.unreadable.keys()];
  }

  get(key: string): CachedDocument | undefined {
    return this.documents.get(key);
  }

  /** Stores a document, replacing the previous one of the key. */
  put(document: StoreDocument, item: StoreItem): void {
    this.replaceEntry(item.key, { ...document, item });
    this.unreadable.delete(item.key);
    this.noteRetirement(item);
    this.notePosition(item.key, item.position);
  }

  /** Records that the newest version of a key can't be decoded. */
  putUnreadable(item: StoreItem): void {
    const value = item.value.length > MAX_KEPT_CHARS ? '' : item.value;
    this.unreadable.set(item.key, { ...item, value });
    this.noteRetirement(item);
    this.notePosition(item.key, item.position);
  }

  /** Whether the newest version of a key can't be decoded. */
  isUnreadable(key: string): boolean {
    return this.unreadable.has(key);
  }

  /** Drops the last readable document of a key but keeps its unreadable version. */
  discard(key: string): void {
    this.replaceEntry(key, undefined);
  }

  /** Removes a key that was deleted at `position`; returns its cached document. */
  remove(key: string, position: StorePosition): CachedDocument | undefined {
    const removed = this.documents.get(key);
    this.replaceEntry(key, undefined);
    this.unreadable.delete(key);
    const retired = retiredHostOfKey(key);
    if (retired !== undefined) this.retirements.delete(retired);
    this.notePosition(key, position);
    return removed;
  }

  /** Position of a key's latest version, readable or not; undefined if the key is not cached. */
  positionOf(key: string): StorePosition | undefined {
    return (this.unreadable.get(key) ?? this.documents.get(key)?.item)?.position;
  }

  /**
   * Whether a host was listed with this incarnation at `position` of the store, and still is. An entry of another era
   * does not count, because readers of the store do not see it.
   */
  wasListed(host: string, incarnation: number, position: StorePosition): boolean {
    const held = this.documents.get(hostKey(host));
    if (held?.kind !== 'host' || held.entry.incarnation !== incarnation) return false;
    const { position: listedAt } = held.item;
    return listedAt.era === position.era && !isLater(listedAt, position);
  }

  /** Records that everything up to `position` was read. */
  markCompleteUpTo(position: StorePosition): void {
    this.foreignNewest = laterOf(this.foreignNewest, position);
  }

  private replaceEntry(key: string, next: CachedDocument | undefined): void {
    const former = this.documents.get(key);
    this.eras.replace(former?.item.position.era, next?.item.position.era);
    this.recordEras.replace(recordEraOf(former), recordEraOf(next));
    if (next === undefined) this.documents.delete(key);
    else this.documents.set(key, next);
  }

  private noteRetirement({ key, position }: StoreItem): void {
    const host = retiredHostOfKey(key);
    if (host !== undefined) this.retirements.set(host, position);
  }

  private notePosition(key: string, position: StorePosition): void {
    this.newest = laterOf(this.newest, position);
    if (key.startsWith(OWN_PREFIX)) this.ownNewest = laterOf(this.ownNewest, position);
    else this.foreignNewest = laterOf(this.foreignNewest, position);
  }
}

function recordEraOf(document: CachedDocument | undefined): number | undefined {
  return document?.kind === 'primary' ? document.item.position.era : undefined;
}
