/**
 * The documents of the store that a host holds, by key, and since which change.
 */
import type { StorePosition } from '@gladespool/coordination';
import { isLater, laterOf, STORE_START } from '@gladespool/coordination';
import { EraCounts } from './era-counts.js';
import type { ForeignDocument } from './foreign-documents.js';
import type { StoreItem } from './metadata-store.js';
import type { OwnDocument } from './store-documents.js';
import { hostKey, OWN_PREFIX } from './store-documents.js';

/** A document as it was decoded, be it the gateway's own or another's. */
export type StoreDocument = OwnDocument | ForeignDocument;

/** A document with the key's version that it was read from. */
export type CachedDocument = StoreDocument & { readonly item: StoreItem };

/** A record of a primary that is held. */
export type CachedRecord = Extract<CachedDocument, { readonly kind: 'primary' }>;

/** Whether a document is the record of a primary. */
export function isRecord(document: CachedDocument): document is CachedRecord {
  return document.kind === 'primary';
}

/** Longest unreadable text that is kept, characters; a longer one is kept and passed on as an empty one. */
const MAX_KEPT_CHARS = 4096;

/** Documents by key, with the latest positions heard of. */
export class DocumentCache {
  /** Position of the latest change that this host has heard of. */
  newest = STORE_START;
  /** Position of the latest change of one of the gateway's own documents. */
  ownNewest = STORE_START;
  /** Position of the latest change of a document that is none of the gateway's own. */
  foreignNewest = STORE_START;
  /** Eras of the records of primaries. */
  readonly recordEras = new EraCounts();
  /** Eras of all readable documents. */
  readonly eras = new EraCounts();
  private readonly held = new Map<string, CachedDocument>();
  /** Newest versions that can't be read; the last readable one stays in `held`, except an upstream's. */
  private readonly unreadable = new Map<string, StoreItem>();

  /** All documents held. */
  get all(): readonly CachedDocument[] {
    return [...this.held.values()];
  }

  /** The items of all documents held, and those that can't be read. */
  get items(): readonly StoreItem[] {
    return [...this.all.map((held) => held.item), ...this.unreadable.values()];
  }

  /** Keys that are there, readable or not. */
  get keys(): readonly string[] {
    return [...new Set([...this.held.keys(), ...this.unreadable.keys()])];
  }

  /** Keys whose newest version can't be read. */
  get unreadableKeys(): readonly string[] {
    return [...this.unreadable.keys()];
  }

  get(key: string): CachedDocument | undefined {
    return this.held.get(key);
  }

  /** Holds a document in place of the key's former one. */
  put(document: StoreDocument, item: StoreItem): void {
    this.exchange(item.key, { ...document, item });
    this.unreadable.delete(item.key);
    this.notePosition(item.key, item.position);
  }

  /** Notes that the newest version of a key can't be read. */
  putUnreadable(item: StoreItem): void {
    const value = item.value.length > MAX_KEPT_CHARS ? '' : item.value;
    this.unreadable.set(item.key, { ...item, value });
    this.notePosition(item.key, item.position);
  }

  /** Whether the newest version of a key can't be read. */
  isUnreadable(key: string): boolean {
    return this.unreadable.has(key);
  }

  /** Stops to hold a key's document, whose newest version can't be read. */
  discard(key: string): void {
    this.exchange(key, undefined);
  }

  /** Drops a key that was removed at `position`; returns what was held of it. */
  remove(key: string, position: StorePosition): CachedDocument | undefined {
    const held = this.held.get(key);
    this.exchange(key, undefined);
    this.unreadable.delete(key);
    this.notePosition(key, position);
    return held;
  }

  /** Position of a key's latest change, be it readable or not; undefined when it is not there. */
  positionOf(key: string): StorePosition | undefined {
    return (this.unreadable.get(key) ?? this.held.get(key)?.item)?.position;
  }

  /**
   * Whether a host was listed with this incarnation at `position` of the store, and still is. An entry of another
   * era is not in the store: whoever reads the list there does not see it.
   */
  wasListed(host: string, incarnation: number, position: StorePosition): boolean {
    const held = this.held.get(hostKey(host));
    if (held?.kind !== 'host' || held.entry.incarnation !== incarnation) return false;
    const { position: listedAt } = held.item;
    return listedAt.era === position.era && !isLater(listedAt, position);
  }

  /** Notes that everything up to `position` was read. */
  markCompleteUpTo(position: StorePosition): void {
    this.foreignNewest = laterOf(this.foreignNewest, position);
  }

  private exchange(key: string, next: CachedDocument | undefined): void {
    const former = this.held.get(key);
    this.eras.replace(former?.item.position.era, next?.item.position.era);
    this.recordEras.replace(recordEraOf(former), recordEraOf(next));
    if (next === undefined) this.held.delete(key);
    else this.held.set(key, next);
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
