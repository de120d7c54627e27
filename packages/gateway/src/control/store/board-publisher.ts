/**
 * Puts on the board what follows from the documents held.
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
import { placeholderRecord, formatStorePosition } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { BoardSection } from '../../knowledge/board.js';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { Catalog, UpstreamEntry } from '../../model/catalog.js';
import type { CachedDocument, DocumentCache, StoreDocument } from './document-cache.js';
import { ExpiredUpstreams } from './expired-upstreams.js';
import { groupOfKey, hostKey, hostOfKey } from './store-documents.js';

/** What the present era of the store leaves in doubt. */
export interface EraState {
  /** Whether a key is held that the present era does not have. */
  isMissing(key: string): boolean;
  /** Version of the oldest configuration that a host may begin with, which found one at `position`. */
  minimumCatalogVersion(position: StorePosition): number;
}

/** Publisher of one host. */
export class BoardPublisher {
  private readonly lapsed: ExpiredUpstreams;
  /** Evacuated zones, with the latest local time at which they were surely in use. */
  private readonly lastInUseAt = new Map<AzId, number>();
  /** A configuration that is too old to be put in force; undefined while there is none. */
  private catalogTooOld:
    { readonly catalog: Catalog; readonly position: StorePosition } | undefined;
  /** Sections of the board that no longer show what is held. */
  private readonly outdated = new Set<BoardSection>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly documents: DocumentCache,
    private readonly log: Logger,
    lapse: ExpiryRules,
    private readonly era: EraState,
  ) {
    this.lapsed = new ExpiredUpstreams(lapse, log);
  }

  /** Takes a document that was written in place of `former`. */
  applyDocument(
    document: StoreDocument,
    former: CachedDocument | undefined,
    position: StorePosition,
    now: number,
  ): void {
    this.noteChange(former, document, position);
    switch (document.kind) {
      case 'catalog':
        this.takeCatalog(document.catalog, position);
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
        this.lapsed.remove(document.entry.id);
        return;
      case 'evacuation':
        this.evacuate(document.az, position, now);
        return;
      default:
    }
  }

  /** Entry of an upstream that has vanished a while ago; undefined when none has. */
  lapsedEntry(id: UpstreamId): UpstreamEntry | undefined {
    return this.lapsed.entry(id);
  }

  /** Notes that a document was removed at `position`. */
  applyRemoval(document: CachedDocument, position: StorePosition, now: number): void {
    const section = SECTIONS.get(document.kind);
    if (section !== undefined) this.outdated.add(section);
    if (document.kind === 'upstream') this.lapsed.add(document.entry, now);
    if (document.kind === 'evacuation') this.endEvacuation(document.az, position);
  }

  /**
   * Notes that the newest version of a key can't be read. A configuration stays in force as it was; an upstream
   * counts as one whose entry has vanished; a host stays listed; nobody uses a primary that is in doubt.
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
    if (group !== undefined) this.doubtRecord(group, position);
  }

  /** Notes that a version of a key that could not be read was removed, or replaced by one that can. */
  clearUnreadable(key: string): void {
    if (hostOfKey(key) !== undefined) this.outdated.add(BoardSection.Hosts);
  }

  /** Whether the configuration that the store shows is older than one that other hosts knew, and none is in force. */
  get awaitsCatalog(): boolean {
    return this.catalogTooOld !== undefined;
  }

  /** Puts a configuration in force that was too old, if it is not any more. */
  retryCatalog(): void {
    if (this.catalogTooOld === undefined) return;
    const { catalog, position } = this.catalogTooOld;
    this.takeCatalog(catalog, position);
  }

  /** Notes that the store has lost this host's own entry. */
  markOwnEntryLost(): void {
    this.outdated.add(BoardSection.Hosts);
  }

  /** Looks at the upstreams whose entries are missing; `current` while the documents are the store's. */
  updateExpiredUpstreams(current: boolean, now: number): void {
    if (this.lapsed.updateStages(current, now)) this.outdated.add(BoardSection.Upstreams);
  }

  /**
   * Puts upstreams, hosts and evacuations on the board where they have changed: every listener of a section works
   * out anew what follows from all of its entries, such as the homes of each group.
   */
  publish(): void {
    if (this.outdated.has(BoardSection.Upstreams)) this.board.putUpstreams(this.upstreams());
    if (this.outdated.has(BoardSection.Hosts)) {
      const hosts = this.hosts();
      this.board.putHosts(hosts, this.unknownHosts(hosts));
    }
    if (this.outdated.has(BoardSection.Evacuations)) {
      this.board.putEvacuations(new Map(this.lastInUseAt));
    }
    this.outdated.clear();
  }

  /** A catalog that names other groups than the one before can change which upstreams are used. */
  private takeCatalog(catalog: Catalog, position: StorePosition): void {
    // Callers of the other hosts are served by a newer one, so a key or route of this one may be gone there.
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
    const shown = this.board.upstreams;
    const isSame = used.size === shown.size && [...used.keys()].every((id) => shown.has(id));
    if (!isSame) this.outdated.add(BoardSection.Upstreams);
  }

  private doubtRecord(group: GroupId, position: StorePosition): void {
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
   * Notes an evacuation. The request may be as old as the documents held until now: a host that starts, or
   * that has not heard of the store for long, must not take it for new.
   */
  private evacuate(az: AzId, position: StorePosition, now: number): void {
    if (this.lastInUseAt.has(az)) return;
    const inUseAt = Math.min(now, this.board.catalogConfirmedAt);
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

  /** Notes which section of the board a document changes; one that was only written again changes none. */
  private noteChange(
    former: CachedDocument | undefined,
    document: StoreDocument,
    { era }: StorePosition,
  ): void {
    const section = SECTIONS.get(document.kind);
    if (section === undefined) return;
    // A host that lists itself again in a new era writes the same entry, and is listed only then.
    const isOfEra = former?.item.position.era === era;
    if (isOfEra && sameEntry(former, document)) return;
    this.outdated.add(section);
  }

  private upstreams(): ReadonlyMap<UpstreamId, UpstreamEntry> {
    const upstreams = new Map<UpstreamId, UpstreamEntry>();
    const put = (entry: UpstreamEntry): void => {
      if (this.board.isConfigured(entry.group)) upstreams.set(entry.id, entry);
    };
    for (const entry of this.lapsed.entries) put(entry);
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
    // A host whose own entry can't be read, or was lost, has to write it again, as one that is not listed.
    const ownKey = hostKey(this.board.host);
    const isListed = !this.documents.isUnreadable(ownKey) && !this.era.isMissing(ownKey);
    if (!isListed) hosts.delete(this.board.host);
    return hosts;
  }

  /** Hosts that are listed by an entry that can't be read, and of which this host knows no former one. */
  private unknownHosts(known: ReadonlyMap<HostId, HostEntry>): ReadonlySet<HostId> {
    const listed = this.documents.unreadableKeys.map(hostOfKey);
    return new Set(listed.filter((host) => host !== undefined).filter((host) => !known.has(host)));
  }
}

/** Sections of the board that are made of the documents of one kind. */
const SECTIONS: ReadonlyMap<StoreDocument['kind'], BoardSection> = new Map([
  ['host', BoardSection.Hosts],
  ['upstream', BoardSection.Upstreams],
  ['evacuation', BoardSection.Evacuations],
]);

/** Whether two documents of one key hold the same entry of a host or an upstream. */
function sameEntry(a: StoreDocument, b: StoreDocument): boolean {
  if (a.kind === 'host' && b.kind === 'host') return isDeepStrictEqual(a.entry, b.entry);
  if (a.kind === 'upstream' && b.kind === 'upstream') return isDeepStrictEqual(a.entry, b.entry);
  return false;
}
