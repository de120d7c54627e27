/**
 * The blackboard of a gateway host: what it believes about configuration, upstreams, primaries and
 * other hosts. Controllers write it, sessions and homes read it, listeners hear of changes.
 */
import type {
  AuthorityRules,
  AuthorityView,
  AzId,
  GroupId,
  HostId,
  PrimaryRecord,
  Topology,
  UpstreamId,
} from '@gladespool/coordination';
import { isIsolated, isNewerRecord, SINGLE_REGION } from '@gladespool/coordination';
import type { Catalog, Route, UpstreamEntry } from '../model/catalog.js';

/** A host as it registered itself in the metadata store. */
export interface HostEntry {
  readonly host: HostId;
  readonly az: AzId;
  readonly address: string;
  readonly port: number;
  /** Start time of the process; a restart is a higher incarnation. */
  readonly incarnation: number;
  /** Bandwidth of the host's link, megabits a second; hosts with much of it serve the others. */
  readonly linkMbps: number;
  /**
   * Round trip of the host's first small read of the store, milliseconds; told only where zones lie in several
   * regions, and only if the read was answered.
   */
  readonly storeRoundTripMs?: number | undefined;
}

/** Parts of the board that listeners can watch. */
export enum BoardSection {
  Catalog = 'catalog',
  Upstreams = 'upstreams',
  Records = 'records',
  Hosts = 'hosts',
  /** The proof that the records held are those of the store. */
  Proof = 'proof',
  /** Zones whose upstreams the operators want out of use. */
  Evacuations = 'evacuations',
}

/** What one host believes. */
export class GatewayBoard {
  catalog: Catalog | undefined;
  upstreams: ReadonlyMap<UpstreamId, UpstreamEntry> = new Map();
  hosts: ReadonlyMap<HostId, HostEntry> = new Map();
  /** Hosts on the list whose entries can't be read: they can't be asked, and count as silent ones. */
  unreadableHosts: ReadonlySet<HostId> = new Set();
  /**
   * Zones that the operators evacuate, with the latest local time at which this host surely knew the zone to be
   * in use; -Infinity where it never did.
   */
  evacuations: ReadonlyMap<AzId, number> = new Map();
  /** Latest local time at which the configuration in force was surely the newest; -Infinity before. */
  catalogConfirmedAt = Number.NEGATIVE_INFINITY;
  /** Whether this host is stopping. */
  draining = false;
  private readonly records = new Map<GroupId, PrimaryRecord>();
  private provedAt = Number.NEGATIVE_INFINITY;
  /** Whether no proof is taken any more, since this host is about to leave the list. */
  private proofsEnded = false;
  private readonly listeners = new Map<BoardSection, Set<() => void>>();

  constructor(
    readonly host: HostId,
    readonly az: AzId,
    readonly topology: Topology = SINGLE_REGION,
  ) {}

  /** Calls `listener` at each change of a section; the result stops that. */
  onChange(section: BoardSection, listener: () => void): () => void {
    const listeners = this.listeners.get(section) ?? new Set();
    this.listeners.set(section, listeners);
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  /** Takes a configuration; an older one than that in force is passed over. */
  putCatalog(catalog: Catalog): boolean {
    if (this.catalog !== undefined && catalog.version <= this.catalog.version) return false;
    this.catalog = catalog;
    this.notify(BoardSection.Catalog);
    return true;
  }

  /** Takes the upstreams listed now. */
  putUpstreams(upstreams: ReadonlyMap<UpstreamId, UpstreamEntry>): void {
    this.upstreams = upstreams;
    this.notify(BoardSection.Upstreams);
  }

  /** Takes the hosts listed now; `unknown` ones are listed by entries that can't be read. */
  putHosts(
    hosts: ReadonlyMap<HostId, HostEntry>,
    unknown: ReadonlySet<HostId> = new Set<HostId>(),
  ): void {
    this.hosts = hosts;
    this.unreadableHosts = unknown;
    this.notify(BoardSection.Hosts);
  }

  /** Hosts of which more than half are a majority. */
  get listedHostCount(): number {
    return this.hosts.size + this.unreadableHosts.size;
  }

  /** Whether the configuration in force holds a group; before the first one, none is judged. */
  isConfigured(group: GroupId): boolean {
    return this.catalog?.groups.has(group) ?? true;
  }

  /** Takes the zones that are evacuated now. */
  putEvacuations(evacuations: ReadonlyMap<AzId, number>): void {
    this.evacuations = evacuations;
    this.notify(BoardSection.Evacuations);
  }

  /** Takes a record; an older version of it is passed over. */
  putRecord(record: PrimaryRecord): boolean {
    if (!isNewerRecord(this.records.get(record.group), record)) return false;
    this.records.set(record.group, record);
    this.notify(BoardSection.Records);
    return true;
  }

  /** Notes that the records held are those of a read sent at `sentAt`. */
  recordProof(sentAt: number): void {
    if (this.proofsEnded || sentAt <= this.provedAt) return;
    this.provedAt = sentAt;
    this.notify(BoardSection.Proof);
  }

  /** Gives every proof up, also those still to come, so that no primary is used any more. */
  revokeProofs(): void {
    this.proofsEnded = true;
    this.provedAt = Number.NEGATIVE_INFINITY;
  }

  /** Local time at which the read behind the newest proof was sent. */
  get latestProofAt(): number {
    return this.provedAt;
  }

  /** Whether this host is cut off at `now`; also before its first proof. */
  isIsolated(now: number, rules: AuthorityRules): boolean {
    return isIsolated(this.provedAt, now, rules);
  }

  /** Record of a group's primary; undefined before the first one is read. */
  record(group: GroupId): PrimaryRecord | undefined {
    return this.records.get(group);
  }

  /** The records of all groups. */
  get allRecords(): readonly PrimaryRecord[] {
    return [...this.records.values()];
  }

  /** What decides whether the primary of a group may be used. */
  authority(group: GroupId): AuthorityView {
    const record = this.records.get(group);
    const primaryStartTime = record && this.upstreams.get(record.primary)?.born;
    return { record, provedAt: this.provedAt, primaryStartTime };
  }

  /** How statements for a database are served; undefined when it is not configured. */
  route(database: string): Route | undefined {
    return this.catalog?.routes.get(database);
  }

  /** Upstreams of a group, the leaving ones included. */
  upstreamsOf(group: GroupId): readonly UpstreamEntry[] {
    return [...this.upstreams.values()].filter((entry) => entry.group === group);
  }

  /** Whether a group has an upstream in a zone that is not evacuated. */
  hasUpstreamInUse(group: GroupId): boolean {
    return this.upstreamsOf(group).some(({ az }) => !this.evacuations.has(az));
  }

  private notify(section: BoardSection): void {
    for (const listener of this.listeners.get(section) ?? []) listener();
  }
}
