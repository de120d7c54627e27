/**
 * The documents of the store that a host holds, by key, and since which revision.
 */
import type { ForeignDocument } from './foreign-documents.js';
import type { StoreItem } from './metadata-store.js';
import type { OwnDocument } from './store-documents.js';
import { hostKey, OWN_PREFIX } from './store-documents.js';

/** A document as it was decoded, be it the gateway's own or another's. */
export type StoreDocument = OwnDocument | ForeignDocument;

/** A document with the key's version that it was read from. */
export type HeldDocument = StoreDocument & { readonly item: StoreItem };

/** Longest unreadable text that is kept, characters; a longer one is kept and passed on as an empty one. */
const MAX_KEPT_CHARS = 4096;

/** Documents by key, with the newest revisions heard of. */
export class HeldDocuments {
  /** Revision of the store of the newest change that this host has heard of. */
  newest = 0;
  /** Revision of the latest change of one of the gateway's own documents. */
  ownNewest = 0;
  /** Revision of the latest change of a document that is none of the gateway's own. */
  foreignNewest = 0;
  private readonly held = new Map<string, HeldDocument>();
  /** Newest versions that can't be read; the last readable one stays in `held`, except an upstream's. */
  private readonly unreadable = new Map<string, StoreItem>();

  /** All documents held. */
  get all(): readonly HeldDocument[] {
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

  get(key: string): HeldDocument | undefined {
    return this.held.get(key);
  }

  /** Holds a document in place of the key's former one. */
  put(document: StoreDocument, item: StoreItem): void {
    this.held.set(item.key, { ...document, item });
    this.unreadable.delete(item.key);
    this.noteRevision(item.key, item.revision);
  }

  /** Notes that the newest version of a key can't be read. */
  putUnreadable(item: StoreItem): void {
    const value = item.value.length > MAX_KEPT_CHARS ? '' : item.value;
    this.unreadable.set(item.key, { ...item, value });
    this.noteRevision(item.key, item.revision);
  }

  /** Whether the newest version of a key can't be read. */
  isUnreadable(key: string): boolean {
    return this.unreadable.has(key);
  }

  /** Stops to hold a key's document, whose newest version can't be read. */
  discard(key: string): void {
    this.held.delete(key);
  }

  /** Drops a key that was removed at `revision`; returns what was held of it. */
  drop(key: string, revision: number): HeldDocument | undefined {
    const held = this.held.get(key);
    this.held.delete(key);
    this.unreadable.delete(key);
    this.noteRevision(key, revision);
    return held;
  }

  /** Revision of a key's latest change, be it readable or not; 0 when it is not there. */
  revisionOf(key: string): number {
    const newest = this.unreadable.get(key) ?? this.held.get(key)?.item;
    return newest?.revision ?? 0;
  }

  /** Whether a host was listed with this incarnation at `revision` of the store, and still is. */
  wasListed(host: string, incarnation: number, revision: number): boolean {
    const held = this.held.get(hostKey(host));
    if (held?.kind !== 'host' || held.entry.incarnation !== incarnation) return false;
    return held.item.revision <= revision;
  }

  /** Notes that everything up to `revision` was read. */
  noteComplete(revision: number): void {
    this.foreignNewest = Math.max(this.foreignNewest, revision);
  }

  private noteRevision(key: string, revision: number): void {
    this.newest = Math.max(this.newest, revision);
    if (key.startsWith(OWN_PREFIX)) this.ownNewest = Math.max(this.ownNewest, revision);
    else this.foreignNewest = Math.max(this.foreignNewest, revision);
  }
}
