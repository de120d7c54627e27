/**
 * The store's documents as this host has seen them, and their effect on the board.
 */
import type { HostId, UpstreamId } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../board.js';
import type { Catalog, UpstreamEntry } from '../model/catalog.js';
import type { StoreEvent, StoreItem, StoreRange } from './metadata-store.js';
import type { DutyRecord, OwnDocument } from './store-documents.js';
import { readOwnDocument } from './store-documents.js';

/** A document that others keep in the store: operators and upstreams. */
export type ForeignDocument =
  | { readonly kind: 'catalog'; readonly catalog: Catalog }
  | { readonly kind: 'upstream'; readonly entry: UpstreamEntry };

/** Reads documents of others; undefined when a key is of no concern or its text is broken. */
export interface ForeignDocuments {
  read(key: string, text: string): ForeignDocument | undefined;
}

/** The duty record with what is needed to replace it and to wait it out. */
export interface HeldDuty {
  readonly duty: DutyRecord;
  readonly revision: number;
  /** Local time at which this version was first seen. */
  readonly seenAt: number;
}

type Held = (OwnDocument | ForeignDocument) & { readonly revision: number };

/**
 * Time for which an upstream is still used after its entry vanished, milliseconds. Entries lapse
 * while the store is away and are back within 2 s of its return if the upstream lives.
 */
const LAPSE_GRACE_MS = 4000;

/** Documents by key, applied to the board. */
export class StoreView {
  /** Revision of the store up to which this view is complete; 0 before the first read. */
  revision = 0;
  duty: HeldDuty | undefined;
  private readonly held = new Map<string, Held>();
  private readonly missing = new Map<UpstreamId, { entry: UpstreamEntry; since: number }>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly documents: ForeignDocuments,
    private readonly log: Logger,
  ) {}

  /** Revision of a key's latest change; 0 when it is not there. */
  revisionOf(key: string): number {
    return this.held.get(key)?.revision ?? 0;
  }

  /** Replaces everything under `prefix` by what a read returned. */
  replace(prefix: string, range: StoreRange, now: number): void {
    const present = new Set(range.items.map((item) => item.key));
    for (const [key, held] of [...this.held]) {
      const covered = key.startsWith(prefix) && held.revision <= range.revision;
      if (covered && !present.has(key)) this.remove(key, now);
    }
    for (const item of range.items) this.write(item, now);
    if (prefix === '') this.revision = Math.max(this.revision, range.revision);
    this.publish(now);
  }

  /** Applies what a watch brought. */
  apply(events: readonly StoreEvent[], revision: number, now: number): void {
    for (const event of events) {
      if (event.kind === 'written') this.write(event.item, now);
      else if (event.revision > this.revisionOf(event.key)) this.remove(event.key, now);
    }
    this.revision = Math.max(this.revision, revision);
    if (events.length > 0) this.publish(now);
  }

  /** Drops upstreams whose entries have been missing for too long. */
  review(now: number): void {
    const expired = [...this.missing].filter(([, gone]) => now - gone.since > LAPSE_GRACE_MS);
    for (const [id] of expired) {
      this.missing.delete(id);
      this.log.info('upstream-gone', { upstream: id, missing_ms: LAPSE_GRACE_MS });
    }
    if (expired.length > 0) this.publish(now);
  }

  private write(item: StoreItem, now: number): void {
    const held = this.held.get(item.key);
    if (held !== undefined && held.revision >= item.revision) return;
    const document =
      readOwnDocument(item.key, item.value) ?? this.documents.read(item.key, item.value);
    if (document === undefined) {
      this.log.trace('store-key-ignored', { key: item.key, revision: item.revision });
      return;
    }
    this.held.set(item.key, { ...document, revision: item.revision });
    this.take(document, item.revision, now);
  }

  private take(document: OwnDocument | ForeignDocument, revision: number, now: number): void {
    switch (document.kind) {
      case 'catalog':
        if (this.board.putCatalog(document.catalog)) {
          this.log.info('catalog-in-force', { version: document.catalog.version, revision });
        }
        return;
      case 'primary': {
        const { group, epoch, phase, primary, holder } = document.record;
        if (this.board.putRecord(document.record)) {
          this.log.info('record-taken', { group, epoch, phase, primary, holder, revision });
        }
        return;
      }
      case 'duty':
        this.duty = { duty: document.duty, revision, seenAt: now };
        return;
      case 'upstream':
        this.missing.delete(document.entry.id);
        return;
      default:
    }
  }

  private remove(key: string, now: number): void {
    const held = this.held.get(key);
    this.held.delete(key);
    if (held?.kind !== 'upstream') return;
    this.missing.set(held.entry.id, { entry: held.entry, since: now });
    this.log.info('upstream-entry-missing', { upstream: held.entry.id, group: held.entry.group });
  }

  /** Puts upstreams and hosts on the board as they are now. */
  private publish(now: number): void {
    const upstreams = new Map<UpstreamId, UpstreamEntry>();
    const hosts = new Map<HostId, HostEntry>();
    for (const { entry, since } of this.missing.values()) {
      if (now - since <= LAPSE_GRACE_MS) upstreams.set(entry.id, entry);
    }
    for (const document of this.held.values()) {
      if (document.kind === 'upstream') upstreams.set(document.entry.id, document.entry);
      if (document.kind === 'host') hosts.set(document.entry.host, document.entry);
    }
    this.board.putUpstreams(upstreams);
    this.board.putHosts(hosts);
  }
}
