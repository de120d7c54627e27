/**
 * The store's documents as this host has seen them, and their effect on the board.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import type { AzId, HostId, LapseRules, SeenDuty, UpstreamId } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { BoardSection } from '../../knowledge/board.js';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { Catalog, UpstreamEntry } from '../../model/catalog.js';
import { LapsedUpstreams } from './lapsed-upstreams.js';
import type { StoreEvent, StoreItem, StoreRange } from './metadata-store.js';
import type { DutyRecord, OwnDocument } from './store-documents.js';
import { hostKey, OWN_PREFIX, readOwnDocument } from './store-documents.js';

/** A document that others keep in the store: operators and upstreams. */
export type ForeignDocument =
  | { readonly kind: 'catalog'; readonly catalog: Catalog }
  | { readonly kind: 'upstream'; readonly entry: UpstreamEntry }
  /** Upstreams of the zone are to get no work for as long as the document is there. */
  | { readonly kind: 'evacuation'; readonly az: AzId };

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

type Held = (OwnDocument | ForeignDocument) & { readonly item: StoreItem };

/** What another host is missing. */
export interface ViewDelta {
  /** Whether `items` are all there are. */
  readonly complete: boolean;
  readonly revision: number;
  readonly items: readonly StoreItem[];
  readonly removed: readonly RemovedKey[];
}

/** What has changed of the gateway's own documents since some revision. */
export interface OwnChanges {
  /** Revision of the store up to which these and what was held before are all of them. */
  readonly revision: number;
  readonly items: readonly StoreItem[];
  readonly removed: readonly RemovedKey[];
}

/** A key that was removed. */
export interface RemovedKey {
  readonly key: string;
  readonly revision: number;
}

/** Time between two looks at whether a change has arrived, milliseconds: about a round trip of the store. */
const WAIT_STEP_MS = 5;
/** Removals remembered for other hosts. */
const MAX_REMOVED = 500;

/** Age from which the documents held may no longer be those of the store, milliseconds: two failed renewals. */
const OUTDATED_AFTER_MS = 1000;

/** Documents by key, applied to the board. */
export class StoreView {
  /** Revision of the store up to which this view is complete; 0 before the first read. */
  revision = 0;
  /** Revision of the store of the newest change that this view has heard of. */
  newest = 0;
  /** Revision of the latest change of a document that is none of the gateway's own. */
  documentsRevision = 0;
  duty: HeldDuty | undefined;
  private currentAt = Number.NEGATIVE_INFINITY;
  private hostGoneAt: number;
  private ownKnown = 0;
  /** Revision of the latest change of one of the gateway's own documents. */
  private ownNewest = 0;
  private readonly held = new Map<string, Held>();
  /** Revision of a key's removal, the latest removals last. */
  private readonly removed = new Map<string, number>();
  /** Changes at or below this revision are not all remembered as removals. */
  private removalsSince = 0;
  private readonly lapsed: LapsedUpstreams;
  /** Evacuated zones, with the latest local time at which they were surely in use. */
  private readonly evacuatedSince = new Map<AzId, number>();
  /** Sections of the board that no longer show what is held. */
  private readonly outdated = new Set<BoardSection>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly documents: ForeignDocuments,
    private readonly log: Logger,
    /** Local time at which this view begins; what was removed shortly before is not known. */
    startedAt: number,
    lapse: LapseRules,
  ) {
    this.lapsed = new LapsedUpstreams(lapse, log);
    this.hostGoneAt = startedAt;
  }

  /** Latest local time at which the documents held were surely those of the store; -Infinity before. */
  get currentSince(): number {
    return this.currentAt;
  }

  /** Who may call for promotions, for the decisions about it. */
  get seenDuty(): SeenDuty | undefined {
    return this.duty && { ...this.duty.duty, seenAt: this.duty.seenAt };
  }

  /** Notes that the documents held were those of the store at local time `at`. */
  noteCurrent(at: number): void {
    this.currentAt = Math.max(this.currentAt, at);
    this.board.catalogConfirmedAt = this.currentAt;
  }

  /** Latest local time at which a host may have been taken off the list, as far as this view knows. */
  get hostLastGoneAt(): number {
    return this.hostGoneAt;
  }

  /** Revision of the store up to which this view has all of the gateway's own documents. */
  get ownRevision(): number {
    return Math.max(this.revision, this.ownKnown);
  }

  /** Whether a host was listed with this incarnation at `revision` of the store, and still is. */
  wasListed(host: string, incarnation: number, revision: number): boolean {
    const held = this.held.get(hostKey(host));
    if (held?.kind !== 'host' || held.entry.incarnation !== incarnation) return false;
    return held.item.revision <= revision;
  }

  /** Waits until all of the gateway's own documents up to `revision` are held, `timeoutMs` at most. */
  async waitForOwn(revision: number, timeoutMs: number): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (this.ownRevision < revision && performance.now() < until) await pause(WAIT_STEP_MS);
  }

  /** Revision of a key's latest change; 0 when it is not there. */
  revisionOf(key: string): number {
    return this.held.get(key)?.item.revision ?? 0;
  }

  /** Replaces everything under `prefix` by what a read returned. */
  replace(prefix: string, range: StoreRange, now: number): void {
    const present = new Set(range.items.map((item) => item.key));
    for (const [key, held] of [...this.held]) {
      const covered = key.startsWith(prefix) && held.item.revision <= range.revision;
      if (covered && !present.has(key)) this.remove({ key, revision: range.revision }, now);
    }
    for (const item of range.items) this.write(item, now);
    if (prefix === '') this.noteComplete(range.revision);
    if (prefix === OWN_PREFIX) this.noteOwnComplete(range.revision);
    this.publish();
  }

  /** The records of primaries, as stored. */
  recordItems(): readonly StoreItem[] {
    const records = [...this.held.values()].filter((held) => held.kind === 'primary');
    return records.map((held) => held.item);
  }

  /** What has changed of the gateway's own documents since `revision`; undefined if that is not known. */
  ownChangesSince(revision: number): OwnChanges | undefined {
    if (revision === 0 || revision < this.removalsSince) return undefined;
    if (this.ownNewest <= revision) return { revision: this.ownRevision, items: [], removed: [] };
    const isNews = (change: { readonly key: string; readonly revision: number }): boolean =>
      change.revision > revision && change.key.startsWith(OWN_PREFIX);
    return {
      revision: this.ownRevision,
      items: [...this.held.values()].map((held) => held.item).filter(isNews),
      removed: this.removals().filter(isNews),
    };
  }

  /** What a host lacks that is complete up to `revision`. */
  deltaSince(revision: number): ViewDelta {
    const items = [...this.held.values()].map((held) => held.item);
    if (revision === 0 || revision < this.removalsSince) {
      return { complete: true, revision: this.revision, items, removed: [] };
    }
    return {
      complete: false,
      revision: this.revision,
      items: items.filter((item) => item.revision > revision),
      removed: this.removals().filter((removal) => removal.revision > revision),
    };
  }

  /** Takes what another host passed on. */
  merge(delta: ViewDelta, now: number): void {
    if (delta.complete) {
      this.replace('', delta, now);
      return;
    }
    const events: StoreEvent[] = [
      ...delta.items.map((item) => ({ kind: 'written' as const, item })),
      ...delta.removed.map((removal) => ({ kind: 'removed' as const, ...removal })),
    ];
    this.apply(events, delta.revision, now);
  }

  /** Applies single items that others pushed, without knowing what lies between. */
  takeItems(items: readonly StoreItem[], now: number): void {
    for (const item of items) this.write(item, now);
    this.publish();
  }

  /** Takes what another host told of the gateway's own documents, for the revision that was asked about. */
  takeOwn(changes: OwnChanges, now: number): void {
    for (const item of changes.items) this.write(item, now);
    for (const removal of changes.removed) this.removeOlder(removal, now);
    this.noteOwnComplete(changes.revision);
    this.publish();
  }

  /** Notes that the gateway's own documents held are all that there were at `revision`. */
  noteOwnComplete(revision: number): void {
    this.ownKnown = Math.max(this.ownKnown, revision);
  }

  /** Notes that nothing but own documents, which are held, has changed up to `revision`. */
  noteNothingElse(revision: number): void {
    this.revision = Math.max(this.revision, Math.min(revision, this.ownKnown));
  }

  /** Applies what a watch brought. */
  apply(events: readonly StoreEvent[], revision: number, now: number): void {
    for (const event of events) {
      if (event.kind === 'written') this.write(event.item, now);
      else this.removeOlder(event, now);
    }
    this.revision = Math.max(this.revision, revision);
    this.publish();
  }

  /** Looks at the upstreams whose entries are missing. */
  review(now: number): void {
    const current = now - this.currentAt < OUTDATED_AFTER_MS;
    if (this.lapsed.review(current, now)) this.outdated.add(BoardSection.Upstreams);
    this.publish();
  }

  private write(item: StoreItem, now: number): void {
    const held = this.held.get(item.key);
    if (held !== undefined && held.item.revision >= item.revision) return;
    if (this.wasRemovedAfter(item)) return;
    const document =
      readOwnDocument(item.key, item.value) ?? this.documents.read(item.key, item.value);
    if (document === undefined) {
      this.log.trace('store-key-ignored', { key: item.key, revision: item.revision });
      return;
    }
    this.held.set(item.key, { ...document, item });
    this.noteRevision(item.key, item.revision);
    this.noteChange(held, document);
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
        this.lapsed.remove(document.entry.id);
        return;
      case 'evacuation':
        this.evacuate(document.az, revision, now);
        return;
      default:
    }
  }

  /**
   * Notes an evacuation. The request may be as old as the documents held until now: a host that starts, or
   * that has not heard of the store for long, must not take it for new.
   */
  private evacuate(az: AzId, revision: number, now: number): void {
    if (this.evacuatedSince.has(az)) return;
    const inUseAt = Math.min(now, this.currentAt);
    this.evacuatedSince.set(az, inUseAt);
    this.log.info('zone-evacuated', { az, revision, at_most_ms: Math.round(now - inUseAt) });
  }

  private endEvacuation(az: AzId, revision: number): void {
    this.evacuatedSince.delete(az);
    this.log.info('evacuation-ended', { az, revision });
  }

  private noteRevision(key: string, revision: number): void {
    this.newest = Math.max(this.newest, revision);
    if (key.startsWith(OWN_PREFIX)) this.ownNewest = Math.max(this.ownNewest, revision);
    else this.documentsRevision = Math.max(this.documentsRevision, revision);
  }

  /** Notes which section of the board a document changes; one that was only written again changes none. */
  private noteChange(held: Held | undefined, document: OwnDocument | ForeignDocument): void {
    const section = SECTIONS.get(document.kind);
    if (section === undefined) return;
    if (held !== undefined && sameEntry(held, document)) return;
    this.outdated.add(section);
  }

  /** Whether a key was removed later than this version of it was written. */
  private wasRemovedAfter(item: StoreItem): boolean {
    return (this.removed.get(item.key) ?? 0) > item.revision;
  }

  /** After a complete read, removals before it are no longer known one by one. */
  private noteComplete(revision: number): void {
    if (revision <= this.revision) return;
    this.revision = revision;
    this.removalsSince = revision;
    this.documentsRevision = Math.max(this.documentsRevision, revision);
    this.removed.clear();
  }

  /** Removes a key unless it was written again after `removal`. */
  private removeOlder(removal: RemovedKey, now: number): void {
    const { key, revision } = removal;
    const isKnown = (this.removed.get(key) ?? 0) >= revision;
    if (!isKnown && revision > this.revisionOf(key)) this.remove(removal, now);
  }

  private remove(removal: RemovedKey, now: number): void {
    const { key, revision } = removal;
    const held = this.held.get(key);
    this.held.delete(key);
    this.noteRevision(key, revision);
    this.noteRemoval(removal);
    if (held === undefined) return;
    const section = SECTIONS.get(held.kind);
    if (section !== undefined) this.outdated.add(section);
    if (held.kind === 'host') this.hostGoneAt = now;
    if (held.kind === 'upstream') this.lapsed.add(held.entry, now);
    if (held.kind === 'evacuation') this.endEvacuation(held.az, revision);
  }

  private noteRemoval({ key, revision }: RemovedKey): void {
    this.removed.delete(key);
    this.removed.set(key, revision);
    if (this.removed.size <= MAX_REMOVED) return;
    const [oldest] = this.removals();
    if (oldest === undefined) return;
    this.removed.delete(oldest.key);
    this.removalsSince = Math.max(this.removalsSince, oldest.revision);
  }

  private removals(): readonly RemovedKey[] {
    return [...this.removed].map(([key, revision]) => ({ key, revision }));
  }

  /**
   * Puts upstreams, hosts and evacuations on the board where they have changed: every listener of a section works
   * out anew what follows from all of its entries, such as the homes of each group.
   */
  private publish(): void {
    if (this.outdated.has(BoardSection.Upstreams)) this.board.putUpstreams(this.upstreams());
    if (this.outdated.has(BoardSection.Hosts)) this.board.putHosts(this.hosts());
    if (this.outdated.has(BoardSection.Evacuations)) {
      this.board.putEvacuations(new Map(this.evacuatedSince));
    }
    this.outdated.clear();
  }

  private upstreams(): ReadonlyMap<UpstreamId, UpstreamEntry> {
    const upstreams = new Map<UpstreamId, UpstreamEntry>();
    for (const entry of this.lapsed.entries) upstreams.set(entry.id, entry);
    for (const document of this.held.values()) {
      if (document.kind === 'upstream') upstreams.set(document.entry.id, document.entry);
    }
    return upstreams;
  }

  private hosts(): ReadonlyMap<HostId, HostEntry> {
    const hosts = new Map<HostId, HostEntry>();
    for (const document of this.held.values()) {
      if (document.kind === 'host') hosts.set(document.entry.host, document.entry);
    }
    return hosts;
  }
}

/** Sections of the board that are made of the documents of one kind. */
const SECTIONS: ReadonlyMap<Held['kind'], BoardSection> = new Map([
  ['host', BoardSection.Hosts],
  ['upstream', BoardSection.Upstreams],
  ['evacuation', BoardSection.Evacuations],
]);

/** Whether two documents of one key hold the same entry of a host or an upstream. */
function sameEntry(a: OwnDocument | ForeignDocument, b: OwnDocument | ForeignDocument): boolean {
  if (a.kind === 'host' && b.kind === 'host') return isDeepStrictEqual(a.entry, b.entry);
  if (a.kind === 'upstream' && b.kind === 'upstream') return isDeepStrictEqual(a.entry, b.entry);
  return false;
}
