/**
 * Tracks which hosts are on every host list that may still be in use, for the decision whether a claim has enough
 * acknowledgements. Sync requests carry the position up to which each host has the list: the first host of a zone
 * collects those of its zone, and the reader of the store those of all zones. The earliest of them is the settled
 * position, which replies pass on to all hosts.
 */
import type {
  AuthorityRules,
  AzId,
  ClaimAcknowledgements,
  HostId,
  HostListing,
  StorePosition,
} from '@gladespool/coordination';
import {
  azId,
  hostId,
  isEstablished,
  isLater,
  isSamePosition,
  laterOf,
  retiredProofMs,
  STORE_START,
} from '@gladespool/coordination';
import type { HostMetrics } from '@gladespool/observability';
import type { FrameKind, FrameOf } from '@gladespool/protocol';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';
import type { StoreView } from '../store/store-view.js';

type SyncRequest = FrameOf<FrameKind.SyncRequest>;
type ZoneLists = NonNullable<SyncRequest['zoneLists']>;

/** Dependencies of the tracker. */
export interface HostListTrackerOptions {
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly order: RelayOrder;
  readonly authority: AuthorityRules;
  readonly metrics: HostMetrics;
}

/** How much of the host list another process has. */
interface HeldList {
  readonly incarnation: number;
  readonly position: StorePosition;
}

/** Listings, retired hosts and the settled position, as known to one host. */
export class HostListTracker {
  /** Position of the store up to which every listed host has the host list; the start while it is unknown. */
  settled = STORE_START;
  private readonly listings = new Map<HostId, HostListing>();
  /** Hosts that were retired, by the position of the note. */
  private readonly retirements = new Map<HostId, HostListing>();
  private readonly heldLists = new Map<HostId, HeldList>();
  private readonly zoneLists = new Map<AzId, StorePosition>();

  constructor(private readonly options: HostListTrackerOptions) {}

  /** Follows the host list at `now`; the reader of the store also advances the settled position. */
  tick(now: number): void {
    this.refresh(now);
    const { board, order, metrics } = this.options;
    if (board.hosts.has(board.host) && order.parent === undefined) this.settle(now);
    metrics.establishedHosts.set(this.establishedOf([...board.hosts.keys()], now).length);
  }

  /** Notes how much of the host list the sender of a sync request has, and what it knows of whole zones. */
  noteRequest({ host, incarnation, ownPosition, zoneLists = [] }: SyncRequest): void {
    this.heldLists.set(hostId(host), { incarnation, position: ownPosition });
    for (const { az, position } of zoneLists) this.noteZone(azId(az), position);
  }

  /** Accepts the settled position that another host has sent. */
  acceptSettled(position: StorePosition): void {
    this.settled = laterOf(this.settled, position);
  }

  /** What this host knows of whole zones beyond the settled position at `now`; only the first host of a zone knows. */
  zoneListsToSend(now: number): ZoneLists {
    const { board, order } = this.options;
    if (!board.hosts.has(board.host) || order.rank > 0) return [];
    this.noteOwnZone(now);
    return [...this.zoneLists]
      .filter(([, position]) => isLater(position, this.settled))
      .map(([az, position]) => ({ az, position }));
  }

  /** The acknowledgements of a claim at `now`, given the newest host list. */
  countAcknowledgements(
    acknowledged: ReadonlySet<HostId>,
    listed: readonly HostId[],
    now: number,
  ): ClaimAcknowledgements {
    this.refresh(now);
    const answered = listed.filter((host) => acknowledged.has(host));
    return {
      listed: listed.length,
      acknowledged: answered.length,
      established: this.establishedOf(answered, now).length,
      retired: this.retiredHosts(now).length,
    };
  }

  /** Retired hosts whose last list is no longer valid at `now`, so that their notes can be removed. */
  expiredRetirements(now: number): readonly HostId[] {
    this.refresh(now);
    return [...this.retirements.keys()].filter((host) => this.isExpired(host, now));
  }

  private establishedOf(hosts: readonly HostId[], now: number): readonly HostId[] {
    const { authority } = this.options;
    return hosts.filter((host) => {
      const listing = this.listings.get(host);
      return listing !== undefined && isEstablished(listing, this.settled, now, authority);
    });
  }

  /** Hosts that were retired and may still use a list on which they are. A host that registered again is listed. */
  private retiredHosts(now: number): readonly HostId[] {
    const { hosts } = this.options.board;
    return [...this.retirements.keys()].filter(
      (host) => !hosts.has(host) && !this.isExpired(host, now),
    );
  }

  private isExpired(host: HostId, now: number): boolean {
    const note = this.retirements.get(host);
    return note !== undefined && now - note.knownSince > retiredProofMs(this.options.authority);
  }

  private refresh(now: number): void {
    const { board, view } = this.options;
    const listed = [...board.hosts.keys()].map((host) => [host, view.listedSince(host)] as const);
    updateListings(this.listings, listed, now);
    updateListings(this.retirements, view.retirements, now);
    for (const host of this.heldLists.keys()) {
      if (!board.hosts.has(host)) this.heldLists.delete(host);
    }
  }

  private settle(now: number): void {
    const { board, view } = this.options;
    this.noteOwnZone(now);
    const zones = new Set([...board.hosts.values()].map(({ az }) => az));
    const positions = [...zones].map((az) => this.zoneLists.get(az));
    if (!positions.every((position) => position !== undefined) || !this.isWholeListKnown(now))
      return;
    this.acceptSettled(positions.reduce(earlierOf, view.ownPosition));
  }

  private noteOwnZone(now: number): void {
    const { board, view, order } = this.options;
    if (!this.isWholeListKnown(now)) return;
    let position = view.ownPosition;
    for (const { host, incarnation } of order.hosts) {
      if (host === board.host) continue;
      const held = this.heldLists.get(host);
      if (held?.incarnation !== incarnation) return;
      position = earlierOf(position, held.position);
    }
    this.noteZone(board.az, position);
  }

  /** Whether no host is left out: one that was retired, or whose zone is unknown, may have any older list. */
  private isWholeListKnown(now: number): boolean {
    return this.options.board.unreadableHosts.size === 0 && this.retiredHosts(now).length === 0;
  }

  private noteZone(az: AzId, position: StorePosition): void {
    this.zoneLists.set(az, laterOf(this.zoneLists.get(az) ?? STORE_START, position));
  }
}

/** Adopts the hosts of `current`; the time since which one is known counts from its latest position. */
function updateListings(
  known: Map<HostId, HostListing>,
  current: readonly (readonly [HostId, StorePosition])[],
  now: number,
): void {
  const present = new Set(current.map(([host]) => host));
  for (const host of known.keys()) {
    if (!present.has(host)) known.delete(host);
  }
  for (const [host, since] of current) {
    const held = known.get(host);
    if (held === undefined || !isSamePosition(held.since, since))
      known.set(host, { since, knownSince: now });
  }
}

function earlierOf(a: StorePosition, b: StorePosition): StorePosition {
  return isLater(a, b) ? b : a;
}
