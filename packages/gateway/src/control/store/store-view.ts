/**
 * The store's documents as this host has seen them, and their effect on the board.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { LapseRules, SeenDuty } from '@gladespool/coordination';
import { dutyInDoubt, withKnownBirth } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { DocumentVerdict } from '@gladespool/observability';
import type { GatewayBoard } from '../../knowledge/board.js';
import { BoardPublisher } from './board-publisher.js';
import type { DocumentReader } from './document-reader.js';
import type { HeldDocument, StoreDocument } from './held-documents.js';
import { HeldDocuments } from './held-documents.js';
import type { StoreEvent, StoreItem, StoreRange } from './metadata-store.js';
import type { RemovedKey } from './removed-keys.js';
import { RemovedKeys } from './removed-keys.js';
import type { DutyRecord } from './store-documents.js';
import { DUTY_KEY, groupOfKey, hostOfKey, OWN_PREFIX } from './store-documents.js';

/** The duty record with what is needed to replace it and to wait it out. */
export interface HeldDuty {
  readonly duty: DutyRecord;
  readonly revision: number;
  /** Local time at which this version was first seen. */
  readonly seenAt: number;
}

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

/** Time between two looks at whether a change has arrived, milliseconds: about a round trip of the store. */
const WAIT_STEP_MS = 5;
/** Age from which the documents held may no longer be those of the store, milliseconds: two failed renewals. */
const OUTDATED_AFTER_MS = 1000;

/** Documents by key, applied to the board. */
export class StoreView {
  /** Revision of the store up to which this view is complete; 0 before the first read. */
  revision = 0;
  duty: HeldDuty | undefined;
  private currentAt = Number.NEGATIVE_INFINITY;
  private hostGoneAt: number;
  private ownKnown = 0;
  private readonly held = new HeldDocuments();
  private readonly removed = new RemovedKeys();
  private readonly publisher: BoardPublisher;

  constructor(
    private readonly board: GatewayBoard,
    private readonly reader: DocumentReader,
    log: Logger,
    /** Local time at which this view begins; what was removed shortly before is not known. */
    startedAt: number,
    lapse: LapseRules,
  ) {
    this.publisher = new BoardPublisher(board, this.held, log, lapse);
    this.hostGoneAt = startedAt;
  }

  /** Revision of the store of the newest change that this view has heard of. */
  get newest(): number {
    return this.held.newest;
  }

  /** Revision of the latest change of a document that is none of the gateway's own. */
  get documentsRevision(): number {
    return this.held.foreignNewest;
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
    return this.held.wasListed(host, incarnation, revision);
  }

  /** Waits until all of the gateway's own documents up to `revision` are held, `timeoutMs` at most. */
  async waitForOwn(revision: number, timeoutMs: number): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (this.ownRevision < revision && performance.now() < until) await pause(WAIT_STEP_MS);
  }

  /** Revision of a key's latest change; 0 when it is not there. */
  revisionOf(key: string): number {
    return this.held.revisionOf(key);
  }

  /** Replaces everything under `prefix` by what a read returned. */
  replace(prefix: string, range: StoreRange, now: number): void {
    const present = new Set(range.items.map((item) => item.key));
    for (const key of this.held.keys) {
      const covered = key.startsWith(prefix) && this.revisionOf(key) <= range.revision;
      if (covered && !present.has(key)) this.remove({ key, revision: range.revision }, now);
    }
    for (const item of range.items) this.write(item, now);
    if (prefix === '') this.noteComplete(range.revision);
    if (prefix === OWN_PREFIX) this.noteOwnComplete(range.revision);
    this.publisher.publish();
  }

  /** The records of primaries, as stored. */
  recordItems(): readonly StoreItem[] {
    return this.held.items.filter((item) => groupOfKey(item.key) !== undefined);
  }

  /** What has changed of the gateway's own documents since `revision`; undefined if that is not known. */
  ownChangesSince(revision: number): OwnChanges | undefined {
    if (!this.removed.reachesBackTo(revision)) return undefined;
    if (this.held.ownNewest <= revision)
      return { revision: this.ownRevision, items: [], removed: [] };
    const isNews = (change: { readonly key: string; readonly revision: number }): boolean =>
      change.revision > revision && change.key.startsWith(OWN_PREFIX);
    return {
      revision: this.ownRevision,
      items: this.held.items.filter(isNews),
      removed: this.removed.all.filter(isNews),
    };
  }

  /** What a host lacks that is complete up to `revision`. */
  deltaSince(revision: number): ViewDelta {
    const { items } = this.held;
    if (!this.removed.reachesBackTo(revision)) {
      return { complete: true, revision: this.revision, items, removed: [] };
    }
    return {
      complete: false,
      revision: this.revision,
      items: items.filter((item) => item.revision > revision),
      removed: this.removed.all.filter((removal) => removal.revision > revision),
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
    this.publisher.publish();
  }

  /** Takes what another host told of the gateway's own documents, for the revision that was asked about. */
  takeOwn(changes: OwnChanges, now: number): void {
    for (const item of changes.items) this.write(item, now);
    for (const removal of changes.removed) this.removeOlder(removal, now);
    this.noteOwnComplete(changes.revision);
    this.publisher.publish();
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
    this.publisher.publish();
  }

  /** Looks at the upstreams whose entries are missing. */
  review(now: number): void {
    const current = now - this.currentAt < OUTDATED_AFTER_MS;
    this.publisher.review(current, now);
    this.publisher.publish();
  }

  private write(item: StoreItem, now: number): void {
    if (this.held.revisionOf(item.key) >= item.revision || this.wasRemovedAfter(item)) return;
    const former = this.held.get(item.key);
    const reading = this.reader.read(item);
    if (reading.verdict === DocumentVerdict.Used) {
      this.take(this.withBirth(reading.document, former), former, item, now);
    }
    if (reading.verdict === DocumentVerdict.Unreadable) this.takeUnreadable(item, former, now);
  }

  /** An upstream that tells no birth has the one known of it. */
  private withBirth(document: StoreDocument, former: HeldDocument | undefined): StoreDocument {
    if (document.kind !== 'upstream') return document;
    const { entry } = document;
    const known = former?.kind === 'upstream' ? former.entry : this.publisher.lapsedEntry(entry.id);
    return { kind: 'upstream', entry: withKnownBirth(known, entry) };
  }

  private take(
    document: StoreDocument,
    former: HeldDocument | undefined,
    item: StoreItem,
    now: number,
  ): void {
    const { key, revision } = item;
    if (this.held.isUnreadable(key)) this.publisher.takeUnreadableEnd(key);
    // An evacuation is told by its key alone; its value may be long, and is neither kept nor passed on.
    this.held.put(document, document.kind === 'evacuation' ? { ...item, value: '' } : item);
    if (document.kind === 'duty') this.duty = { duty: document.duty, revision, seenAt: now };
    this.publisher.take(document, former, revision, now);
  }

  private takeUnreadable(item: StoreItem, former: HeldDocument | undefined, now: number): void {
    const { key, revision } = item;
    this.held.putUnreadable(item);
    if (former?.kind === 'upstream') this.held.discard(key);
    if (key === DUTY_KEY) this.doubtDuty(revision, now);
    this.publisher.takeUnreadable(key, former, revision, now);
  }

  private doubtDuty(revision: number, now: number): void {
    const { seenAt, ...duty } = dutyInDoubt(this.seenDuty, revision, now);
    const renewal = this.duty?.duty.renewal ?? 0;
    this.duty = { duty: { ...duty, renewal }, revision, seenAt };
  }

  /** Whether a key was removed later than this version of it was written. */
  private wasRemovedAfter(item: StoreItem): boolean {
    return this.removed.revisionOf(item.key) > item.revision;
  }

  /** After a complete read, removals before it are no longer known one by one. */
  private noteComplete(revision: number): void {
    if (revision <= this.revision) return;
    this.revision = revision;
    this.held.noteComplete(revision);
    this.removed.forgetUpTo(revision);
  }

  /** Removes a key unless it was written again after `removal`. */
  private removeOlder(removal: RemovedKey, now: number): void {
    const { key, revision } = removal;
    const isKnown = this.removed.revisionOf(key) >= revision;
    if (!isKnown && revision > this.revisionOf(key)) this.remove(removal, now);
  }

  private remove(removal: RemovedKey, now: number): void {
    const { key, revision } = removal;
    const isListing = hostOfKey(key) !== undefined && this.held.revisionOf(key) > 0;
    if (isListing) this.hostGoneAt = now;
    if (this.held.isUnreadable(key)) this.publisher.takeUnreadableEnd(key);
    const held = this.held.drop(key, revision);
    this.removed.add(removal);
    if (held !== undefined) this.publisher.takeRemoval(held, revision, now);
  }
}
