/**
 * Derives the sections of the board from the cached documents of the metadata store.
 */
import { isDeepStrictEqual } from 'node:util';
import type {
  AzId,
  GroupId,
  HostId,
  ExpiryRules,
  StorePosition,
  UpstreamId,
} from '@gladespool/coordination';
import { DepartureCause, placeholderRecord, formatStorePosition } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { BoardSection } from '../../knowledge/board.js';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { Catalog, UpstreamEntry } from '../../model/catalog.js';
import type { CachedDocument, DocumentCache, StoreDocument } from './document-cache.js';
import { Departures } from './departures.js';
import { DepartedUpstreams } from './departed-upstreams.js';
import { ExpiredUpstreams } from './expired-upstreams.js';
import { groupOfKey, hostKey, hostOfKey } from './store-documents.js';

/** What the publisher has to know about the current era of the store. */
export interface EraState {
  /** Whether a key is cached that the current era of the store does not contain. */
  isMissing(key: string): boolean;
  /** Lowest configuration version that a starting host may put in force when it has read one at `position`. */
  minimumCatalogVersion(position: StorePosition): number;
}

/** Publishes the documents of the store to the board of one host. */
export class BoardPublisher {
  private readonly departures: Departures;
  private readonly expired: ExpiredUpstreams;
  /** Upstreams without an entry that may still confirm commits. */
  readonly departed: DepartedUpstreams;
  /** Evacuated zones, with the latest local time at which each was certainly not yet evacuated. */
  private readonly lastInUseAt = new Map<AzId, number>();
  /** A configuration that was not put in force because it is too old; undefined while there is none. */
  private catalogTooOld:
    { readonly catalog: Catalog; readonly position: StorePosition } | undefined;
  /** Sections of the board that no longer match the cached documents. */
  private readonly outdated = new Set<BoardSection>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly documents: DocumentCache,
    private readonly log: Logger,
    expiry: ExpiryRules,
    private readonly era: EraState,
  ) {
    this.departures = new Departures(expiry, log);
    this.expired = new ExpiredUpstreams(expiry, this.departures, log);
    this.departed = new DepartedUpstreams(expiry);
    board.departures = this.departures.all;
  }

  /** Applies a document that replaces `former`. */
  applyDocument(
    document: StoreDocument,
    former: CachedDocument | undefined,
    position: StorePosition,
    now: number,
  ): void {
    this.markChanged(former, document, position);
    switch (document.kind) {
      case 'catalog':
        this.applyCatalog(document.catalog, position);
        return;
      case 'primary': {
        const { record } = document;
        const successor = record.successor?.id;
        if (!this.board.putRecord(record)) return;
        this.log.info('record-taken', {
          ...record,
          successor,
          position: formatStorePosition(position),
        });
        return;
      }
      case 'upstream':
        this.applyUpstream(document.entry, now);
        return;
      case 'evacuation':
        this.startEvacuation(document.az, position, now);
        return;
      default:
    }
  }

  /** The last entry of an upstream whose entry has disappeared; undefined when there is none. */
  expiredEntry(id: UpstreamId): UpstreamEntry | undefined {
    return this.expired.entry(id);
  }

  /** Applies the removal of a document at `position`. */
  applyRemoval(document: CachedDocument, position: StorePosition, now: number): void {
    const section = SECTIONS.get(document.kind);
    if (section !== undefined) this.outdated.add(section);
    if (document.kind === 'upstream') {
      this.departed.add(document.entry, document.item, now);
      this.removeUpstream(document.entry, now);
    }
    if (document.kind === 'evacuation') this.endEvacuation(document.az, position);
  }

  /**
   * Handles a newest version of a key that can't be parsed. The configuration in force stays; an upstream is treated
   * as if its entry had been removed; a host stays listed; a primary is no longer used, since its record is unknown.
   */
  applyUnreadable(
    key: string,
    former: CachedDocument | undefined,
    position: StorePosition,
    now: number,
  ): void {
    if (former?.kind === 'upstream') this.applyRemoval(former, position, now);
    if (hostOfKey(key) !== undefined) this.outdated.add(BoardSection.Hosts);
    const group = groupOfKey(key);
    if (group !== undefined) this.invalidateRecord(group, position);
  }

  /** Notes that an unreadable version of a key was removed or replaced by a readable one. */
  clearUnreadable(key: string): void {
    if (hostOfKey(key) !== undefined) this.outdated.add(BoardSection.Hosts);
  }

  /** Whether no configuration is in force because the one in the store is older than one that other hosts knew. */
  get awaitsCatalog(): boolean {
    return this.catalogTooOld !== undefined;
  }

  /** Puts the configuration that was too old in force if the minimum version now permits it. */
  retryCatalog(): void {
    if (this.catalogTooOld === undefined) return;
    const { catalog, position } = this.catalogTooOld;
    this.applyCatalog(catalog, position);
  }

  /** Marks the hosts section as outdated because the store has lost this host's own entry. */
  markOwnEntryLost(): void {
    this.outdated.add(BoardSection.Hosts);
  }

  /** Advances the expiry of upstreams whose entries are missing; the cache matched the store at `confirmedAt`. */
  updateExpiredUpstreams(confirmedAt: number, now: number): void {
    if (this.expired.updateStages(confirmedAt, now)) this.outdated.add(BoardSection.Upstreams);
    this.departed.tick(confirmedAt, now);
    this.departures.tick(now);
  }

  /**
   * Publishes upstreams, hosts and evacuations that have changed. Unchanged sections are left alone, since every
   * listener of a section recomputes what it derives from all entries, such as the homes of each group.
   */
  publish(): void {
    if (this.outdated.has(BoardSection.Upstreams)) this.board.putUpstreams(this.upstreams());
    if (this.outdated.has(BoardSection.Hosts)) {
      const hosts = this.hosts();
      this.board.putHosts(hosts, this.unreadableHosts(hosts));
    }
    if (this.outdated.has(BoardSection.Evacuations)) {
      this.board.putEvacuations(new Map(this.lastInUseAt));
    }
    this.outdated.clear();
  }

  /** Latest local time at which the documents cached at `now` were known to be current. */
  private lastConfirmedAt(now: number): number {
    return Math.min(now, this.board.catalogConfirmedAt);
  }

  private applyUpstream(entry: UpstreamEntry, now: number): void {
    this.expired.remove(entry.id);
    this.departed.removeReplaced(entry);
    const confirmedAt = this.lastConfirmedAt(now);
    if (!entry.draining) this.departures.recordReady(entry.id, confirmedAt);
    else this.departures.start(entry, DepartureCause.Draining, confirmedAt, now);
  }

  private removeUpstream(entry: UpstreamEntry, now: number): void {
    this.departures.start(entry, DepartureCause.EntryMissing, this.lastConfirmedAt(now), now);
    this.expired.add(entry, now);
  }

  /** Upstreams are published again where the catalog adds or removes groups, since that changes which are used. */
  private applyCatalog(catalog: Catalog, position: StorePosition): void {
    // Other hosts already serve callers by a newer one, which may have dropped a key or route of this one.
    const oldest = this.era.minimumCatalogVersion(position);
    if (this.board.catalog === undefined && catalog.version < oldest) {
      this.catalogTooOld = { catalog, position };
      this.log.info('catalog-too-old', { version: catalog.version, known: oldest });
      return;
    }
    this.catalogTooOld = undefined;
    if (!this.board.putCatalog(catalog)) return;
    this.log.info('catalog-in-force', {
      version: catalog.version,
      position: formatStorePosition(position),
    });
    const used = this.upstreams();
    const published = this.board.upstreams;
    const isSame =
      used.size === published.size && [...used.keys()].every((id) => published.has(id));
    if (!isSame) this.outdated.add(BoardSection.Upstreams);
  }

  private invalidateRecord(group: GroupId, position: StorePosition): void {
    const record = placeholderRecord(group, this.board.record(group), position);
    if (!this.board.putRecord(record)) return;
    const { epoch, primary } = record;
    this.log.warn('record-in-doubt', {
      group,
      epoch,
      primary,
      position: formatStorePosition(position),
    });
  }

  /**
   * Starts an evacuation. The request may have been written at any time since this host last had current documents,
   * so a host that starts, or was long without the store, must not assume that it has just been made.
   */
  private startEvacuation(az: AzId, position: StorePosition, now: number): void {
    if (this.lastInUseAt.has(az)) return;
    const inUseAt = this.lastConfirmedAt(now);
    this.lastInUseAt.set(az, inUseAt);
    this.log.info('zone-evacuated', {
      az,
      position: formatStorePosition(position),
      at_most_ms: Math.round(now - inUseAt),
    });
  }

  private endEvacuation(az: AzId, position: StorePosition): void {
    this.lastInUseAt.delete(az);
    this.log.info('evacuation-ended', { az, position: formatStorePosition(position) });
  }

  /** Marks the section of the board that a document changes; rewriting the same entry changes none. */
  private markChanged(
    former: CachedDocument | undefined,
    document: StoreDocument,
    { era }: StorePosition,
  ): void {
    const section = SECTIONS.get(document.kind);
    if (section === undefined) return;
    // A host that registers again in a new era writes the same entry, and counts as listed only from then on.
    const isOfEra = former?.item.position.era === era;
    if (isOfEra && hasSameEntry(former, document)) return;
    this.outdated.add(section);
  }

  private upstreams(): ReadonlyMap<UpstreamId, UpstreamEntry> {
    const upstreams = new Map<UpstreamId, UpstreamEntry>();
    const put = (entry: UpstreamEntry): void => {
      if (this.board.isConfigured(entry.group)) upstreams.set(entry.id, entry);
    };
    for (const entry of this.expired.entries) put(entry);
    for (const document of this.documents.all) {
      if (document.kind === 'upstream') put(document.entry);
    }
    return upstreams;
  }

  private hosts(): ReadonlyMap<HostId, HostEntry> {
    const hosts = new Map<HostId, HostEntry>();
    for (const document of this.documents.all) {
      if (document.kind === 'host') hosts.set(document.entry.host, document.entry);
    }
    // If this host's own entry is unreadable or lost, it is left out, so that the registrar writes it again.
    const ownKey = hostKey(this.board.host);
    const isListed = !this.documents.isUnreadable(ownKey) && !this.era.isMissing(ownKey);
    if (!isListed) hosts.delete(this.board.host);
    return hosts;
  }

  /** Hosts whose entry can't be read and of which no earlier readable entry is known. */
  private unreadableHosts(known: ReadonlyMap<HostId, HostEntry>): ReadonlySet<HostId> {
    const listed = this.documents.unreadableKeys.map(hostOfKey);
    return new Set(listed.filter((host) => host !== undefined).filter((host) => !known.has(host)));
  }
}

/** Sections of the board that are derived from documents of one kind. */
const SECTIONS: ReadonlyMap<StoreDocument['kind'], BoardSection> = new Map([
  ['host', BoardSection.Hosts],
  ['upstream', BoardSection.Upstreams],
  ['evacuation', BoardSection.Evacuations],
]);

/** Whether two documents of one key contain the same host or upstream entry. */
function hasSameEntry(a: StoreDocument, b: StoreDocument): boolean {
  if (a.kind === 'host' && b.kind === 'host') return isDeepStrictEqual(a.entry, b.entry);
  if (a.kind === 'upstream' && b.kind === 'upstream') return isDeepStrictEqual(a.entry, b.entry);
  return false;
}
