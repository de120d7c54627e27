/**
 * The blackboard of a gateway host: its current state of configuration, upstreams, primaries and other hosts.
 * Controllers write it, sessions and homes read it, and listeners are notified of changes.
 */
import type {
  AuthorityRules,
  AuthorityView,
  AzId,
  Departure,
  GroupId,
  HostId,
  PrimaryRecord,
  StorePosition,
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
  /** Bandwidth of the host's link, megabits a second; hosts with high bandwidth relay documents to the others. */
  readonly linkMbps: number;
  /**
   * Round trip of the host's first small read of the store, milliseconds; set only where zones lie in several regions
   * and the read succeeded.
   */
  readonly storeRoundTripMs?: number | undefined;
  /**
   * Position of the store at which the host joined the list, if it has not left it since then: a process that replaces
   * the entry of the one before it copies the position. Undefined in the first entry of a host.
   */
  readonly listedSince?: StorePosition | undefined;
}

/** Sections of the board that listeners can subscribe to. */
export enum BoardSection {
  Catalog = 'catalog',
  Upstreams = 'upstreams',
  Records = 'records',
  Hosts = 'hosts',
  /** The proof that the records on the board are those of the store. */
  Proof = 'proof',
  /** Zones whose upstreams operators have taken out of use. */
  Evacuations = 'evacuations',
}

/** The blackboard of one host. */
export class GatewayBoard {
  catalog: Catalog | undefined;
  upstreams: ReadonlyMap<UpstreamId, UpstreamEntry> = new Map();
  hosts: ReadonlyMap<HostId, HostEntry> = new Map();
  /** Listed hosts whose entries can't be read: they can't be contacted, and count as not answering. */
  unreadableHosts: ReadonlySet<HostId> = new Set();
  /**
   * Zones that operators evacuate, with the latest local time at which the zone was certainly not yet evacuated;
   * -Infinity if this host never knew it to be in use.
   */
  evacuations: ReadonlyMap<AzId, number> = new Map();
  /** Upstreams that are draining or whose entries are missing; an upstream that is gone is not listed any more. */
  departures: ReadonlyMap<UpstreamId, Departure> = new Map();
  /** Latest local time at which the configuration in force was known to be the newest; -Infinity before the first. */
  catalogConfirmedAt = Number.NEGATIVE_INFINITY;
  /** Whether this host is stopping. */
  draining = false;
  private readonly records = new Map<GroupId, PrimaryRecord>();
  private provedAt = Number.NEGATIVE_INFINITY;
  /** Whether proofs are no longer accepted, because this host is about to be removed from the list. */
  private proofsEnded = false;
  private readonly listeners = new Map<BoardSection, Set<() => void>>();

  constructor(
    readonly host: HostId,
    readonly az: AzId,
    readonly topology: Topology = SINGLE_REGION,
  ) {}

  /** Calls `listener` at each change of a section; returns a function that removes it. */
  onChange(section: BoardSection, listener: () => void): () => void {
    const listeners = this.listeners.get(section) ?? new Set();
    this.listeners.set(section, listeners);
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  /** Puts a configuration in force unless it is as old as, or older than, the current one; returns whether it did. */
  putCatalog(catalog: Catalog): boolean {
    if (this.catalog !== undefined && catalog.version <= this.catalog.version) return false;
    this.catalog = catalog;
    this.notify(BoardSection.Catalog);
    return true;
  }

  /** Replaces the listed upstreams. */
  putUpstreams(upstreams: ReadonlyMap<UpstreamId, UpstreamEntry>): void {
    this.upstreams = upstreams;
    this.notify(BoardSection.Upstreams);
  }

  /** Replaces the listed hosts; the entries of the `unknown` ones can't be read. */
  putHosts(
    hosts: ReadonlyMap<HostId, HostEntry>,
    unknown: ReadonlySet<HostId> = new Set<HostId>(),
  ): void {
    this.hosts = hosts;
    this.unreadableHosts = unknown;
    this.notify(BoardSection.Hosts);
  }

  /** Number of hosts from which a majority is computed. */
  get listedHostCount(): number {
    return this.hosts.size + this.unreadableHosts.size;
  }

  /** Whether the configuration in force contains a group; true for every group before there is a configuration. */
  isConfigured(group: GroupId): boolean {
    return this.catalog?.groups.has(group) ?? true;
  }

  /** Replaces the evacuated zones. */
  putEvacuations(evacuations: ReadonlyMap<AzId, number>): void {
    this.evacuations = evacuations;
    this.notify(BoardSection.Evacuations);
  }

  /** Stores a record unless a newer version of it is known; returns whether it did. */
  putRecord(record: PrimaryRecord): boolean {
    if (!isNewerRecord(this.records.get(record.group), record)) return false;
    this.records.set(record.group, record);
    this.notify(BoardSection.Records);
    return true;
  }

  /** Records the proof that the records on the board are those of a read sent at `sentAt`. */
  recordProof(sentAt: number): void {
    if (this.proofsEnded || sentAt <= this.provedAt) return;
    this.provedAt = sentAt;
    this.notify(BoardSection.Proof);
  }

  /** Revokes the proof and rejects later ones, so that no primary is used any more. */
  revokeProofs(): void {
    this.proofsEnded = true;
    this.provedAt = Number.NEGATIVE_INFINITY;
  }

  /** Local time at which the read of the latest proof was sent; -Infinity if there is none. */
  get latestProofAt(): number {
    return this.provedAt;
  }

  /** Whether this host has no recent proof at `now`, and so counts as isolated; also before its first proof. */
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

  /** The input to the decision whether the primary of a group may be used. */
  authority(group: GroupId): AuthorityView {
    const record = this.records.get(group);
    const primaryStartTime = record && this.upstreams.get(record.primary)?.born;
    return { record, provedAt: this.provedAt, primaryStartTime };
  }

  /** The route of a database; undefined if it is not configured. */
  route(database: string): Route | undefined {
    return this.catalog?.routes.get(database);
  }

  /** Upstreams of a group, including draining ones. */
  upstreamsOf(group: GroupId): readonly UpstreamEntry[] {
    return [...this.upstreams.values()].filter((entry) => entry.group === group);
  }

  /** Whether a group has an upstream in a zone that is not evacuated. */
  hasUpstreamInUse(group: GroupId): boolean {
    return this.upstreamsOf(group).some(({ az }) => !this.evacuations.has(az));
  }

  /** Whether a group has an upstream that is not draining, in a zone that is not evacuated. */
  hasStayingUpstream(group: GroupId): boolean {
    return this.upstreamsOf(group).some(
      ({ az, draining }) => !draining && !this.evacuations.has(az),
    );
  }

  /** Whether an upstream of a group leaves. */
  hasDeparture(group: GroupId): boolean {
    return [...this.departures.keys()].some((id) => this.upstreams.get(id)?.group === group);
  }

  private notify(section: BoardSection): void {
    for (const listener of this.listeners.get(section) ?? []) listener();
  }
}
