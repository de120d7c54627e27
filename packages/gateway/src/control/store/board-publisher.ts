/**
 * Puts on the board what follows from the documents held.
 */
import { isDeepStrictEqual } from 'node:util';
import type { AzId, HostId, LapseRules, UpstreamId } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { BoardSection } from '../../knowledge/board.js';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { UpstreamEntry } from '../../model/catalog.js';
import type { HeldDocument, HeldDocuments, StoreDocument } from './held-documents.js';
import { LapsedUpstreams } from './lapsed-upstreams.js';

/** Publisher of one host. */
export class BoardPublisher {
  private readonly lapsed: LapsedUpstreams;
  /** Evacuated zones, with the local time at which this host learned of it. */
  private readonly evacuatedSince = new Map<AzId, number>();
  /** Sections of the board that no longer show what is held. */
  private readonly outdated = new Set<BoardSection>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly documents: HeldDocuments,
    private readonly log: Logger,
    lapse: LapseRules,
  ) {
    this.lapsed = new LapsedUpstreams(lapse, log);
  }

  /** Takes a document that was written in place of `former`. */
  take(
    document: StoreDocument,
    former: HeldDocument | undefined,
    revision: number,
    now: number,
  ): void {
    this.noteChange(former, document);
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
      case 'upstream':
        this.lapsed.remove(document.entry.id);
        return;
      case 'evacuation':
        this.evacuate(document.az, revision, now);
        return;
      default:
    }
  }

  /** Takes it that a document was removed at `revision`. */
  takeRemoval(document: HeldDocument, revision: number, now: number): void {
    const section = SECTIONS.get(document.kind);
    if (section !== undefined) this.outdated.add(section);
    if (document.kind === 'upstream') this.lapsed.add(document.entry, now);
    if (document.kind === 'evacuation') this.endEvacuation(document.az, revision);
  }

  /** Looks at the upstreams whose entries are missing; `current` while the documents are the store's. */
  review(current: boolean, now: number): void {
    if (this.lapsed.review(current, now)) this.outdated.add(BoardSection.Upstreams);
  }

  /**
   * Puts upstreams, hosts and evacuations on the board where they have changed: every listener of a section works
   * out anew what follows from all of its entries, such as the homes of each group.
   */
  publish(): void {
    if (this.outdated.has(BoardSection.Upstreams)) this.board.putUpstreams(this.upstreams());
    if (this.outdated.has(BoardSection.Hosts)) this.board.putHosts(this.hosts());
    if (this.outdated.has(BoardSection.Evacuations)) {
      this.board.putEvacuations(new Map(this.evacuatedSince));
    }
    this.outdated.clear();
  }

  private evacuate(az: AzId, revision: number, now: number): void {
    if (this.evacuatedSince.has(az)) return;
    this.evacuatedSince.set(az, now);
    this.log.info('zone-evacuated', { az, revision });
  }

  private endEvacuation(az: AzId, revision: number): void {
    this.evacuatedSince.delete(az);
    this.log.info('evacuation-ended', { az, revision });
  }

  /** Notes which section of the board a document changes; one that was only written again changes none. */
  private noteChange(former: HeldDocument | undefined, document: StoreDocument): void {
    const section = SECTIONS.get(document.kind);
    if (section === undefined) return;
    if (former !== undefined && sameEntry(former, document)) return;
    this.outdated.add(section);
  }

  private upstreams(): ReadonlyMap<UpstreamId, UpstreamEntry> {
    const upstreams = new Map<UpstreamId, UpstreamEntry>();
    for (const entry of this.lapsed.entries) upstreams.set(entry.id, entry);
    for (const document of this.documents.all) {
      if (document.kind === 'upstream') upstreams.set(document.entry.id, document.entry);
    }
    return upstreams;
  }

  private hosts(): ReadonlyMap<HostId, HostEntry> {
    const hosts = new Map<HostId, HostEntry>();
    for (const document of this.documents.all) {
      if (document.kind === 'host') hosts.set(document.entry.host, document.entry);
    }
    return hosts;
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
