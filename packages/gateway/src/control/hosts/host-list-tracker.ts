/**
 * Tracks which hosts are on every host list that may still be in use, for the decision whether a claim has enough
 * acknowledgements.
 */
import type {
  AuthorityRules,
  ClaimAcknowledgements,
  HostId,
  StorePosition,
} from '@gladespool/coordination';
import type { HostMetrics } from '@gladespool/observability';
import type { FrameKind, FrameOf } from '@gladespool/protocol';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';
import type { StoreView } from '../store/store-view.js';
import { HostListings } from './host-listings.js';
import { ListSettlement } from './list-settlement.js';

type SyncRequest = FrameOf<FrameKind.SyncRequest>;

/** Interval between two updates of the metric, milliseconds: it counts every host of the list. */
const METRIC_MS = 1000;

/** Dependencies of the tracker. */
export interface HostListTrackerOptions {
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly order: RelayOrder;
  readonly authority: AuthorityRules;
  readonly metrics: HostMetrics;
}

/** The host lists in use, as known to one host. */
export class HostListTracker {
  private readonly listings: HostListings;
  private readonly settlement: ListSettlement;
  private metricDueAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: HostListTrackerOptions) {
    this.listings = new HostListings(options);
    this.settlement = new ListSettlement(options);
  }

  /** Position of the store up to which every listed host has the host list; the start while it is unknown. */
  get settled(): StorePosition {
    return this.settlement.settled;
  }

  /** Follows the host list at `now`; the reader of the store also advances the settled position. */
  tick(now: number): void {
    const { board, order, metrics } = this.options;
    this.listings.follow(now);
    const isReader = board.hosts.has(board.host) && order.parent === undefined;
    if (isReader && this.isWholeListKnown(now)) this.settlement.settle();
    if (now < this.metricDueAt) return;
    this.metricDueAt = now + METRIC_MS;
    metrics.establishedHosts.set(this.establishedOf([...board.hosts.keys()], now));
  }

  /** Notes what the sender of a sync request has of the host list, and what it knows of others. */
  noteRequest(request: SyncRequest): void {
    this.settlement.noteRequest(request);
  }

  /** Accepts the settled position that another host has sent. */
  acceptSettled(position: StorePosition): void {
    this.settlement.accept(position);
  }

  /** What this host knows of whole zones at `now`, for its parent; only the first host of a zone sends it. */
  zoneListsToSend(now: number): NonNullable<SyncRequest['zoneLists']> {
    const { board, order } = this.options;
    const isFirst = board.hosts.has(board.host) && order.rank === 0;
    return isFirst && this.isWholeListKnown(now) ? this.settlement.zoneListsToSend() : [];
  }

  /** The acknowledgements of a claim at `now` by the hosts that were `listed` after it. */
  countAcknowledgements(
    acknowledged: ReadonlySet<HostId>,
    listed: readonly HostId[],
    now: number,
  ): ClaimAcknowledgements {
    this.listings.update(now);
    const answered = listed.filter((host) => acknowledged.has(host));
    return {
      listed: listed.length,
      acknowledged: answered.length,
      established: this.establishedOf(answered, now),
      // A retired process that registers again after the claim may still hold a proof of before.
      retired: this.listings.retiredAt(now, new Set(listed)).length,
    };
  }

  /** Retired hosts whose last list and proof have expired at `now`, so that their notes can be removed. */
  expiredRetirements(now: number): readonly HostId[] {
    return this.listings.expiredAt(now);
  }

  private establishedOf(hosts: readonly HostId[], now: number): number {
    return this.listings.establishedOf(hosts, this.settled, now).length;
  }

  /** Whether no host is left out: one that was retired, or whose zone is unknown, may have any older list. */
  private isWholeListKnown(now: number): boolean {
    this.listings.follow(now);
    const { hosts, unreadableHosts } = this.options.board;
    return unreadableHosts.size === 0 && this.listings.retiredAt(now, hosts).length === 0;
  }
}
