/**
 * The failover order of each group: the order in which hosts act on its primary. Every host computes it from
 * the host list.
 */
import type { AzId, FailoverRules, GroupId, HostId, RegionId } from '@gladespool/coordination';
import {
  failoverOrder,
  rankCandidates,
  prioritizeRegion,
  dominantRegion,
} from '@gladespool/coordination';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import { BoardSection } from '../../knowledge/board.js';
import type { StoreView } from '../store/store-view.js';

/** Inputs of the failover order. */
export interface FailoverOrderOptions {
  readonly board: GatewayBoard;
  readonly view: Pick<StoreView, 'seenPromotionLease'>;
  readonly rules: FailoverRules;
}

/** Key by which hosts are ranked; the same for all groups, so that the promotion lease seldom changes its holder. */
const RANK_KEY = 'duty';

/** Ranked hosts by preferred region, or without one; cached since ranking many hosts at each tick is expensive. */
type RankedHosts = Map<RegionId | undefined, readonly HostId[]>;

/** Failover orders as one host sees them. */
export class FailoverOrder {
  /** The listed hosts from which `ranked` was computed. */
  private rankedFrom: ReadonlyMap<HostId, HostEntry> | undefined;
  private ranked: RankedHosts = new Map();
  /** Region of most of each group's upstreams; undefined until it is needed after a change of the upstreams. */
  private regions: ReadonlyMap<GroupId, RegionId | undefined> | undefined;

  constructor(private readonly options: FailoverOrderOptions) {
    options.board.onChange(BoardSection.Upstreams, () => {
      this.regions = undefined;
    });
  }

  /**
   * All hosts in the failover order of a group at `now`: by rank, those of the group's region and the holder of
   * the promotion lease first.
   */
  hostsFor(group: GroupId, now: number): readonly HostId[] {
    const { view, rules } = this.options;
    return failoverOrder(
      this.rankedFor(this.regionOfGroup(group)),
      view.seenPromotionLease,
      now,
      rules,
    );
  }

  /** Index of this host in that order by group; -1 while it is not listed. Computed once per region. */
  ownRanks(now: number): (group: GroupId) => number {
    const { board } = this.options;
    const ranks = new Map<RegionId | undefined, number>();
    return (group) => {
      const region = this.regionOfGroup(group);
      const rank = ranks.get(region) ?? this.hostsFor(group, now).indexOf(board.host);
      ranks.set(region, rank);
      return rank;
    };
  }

  private rankedFor(region: RegionId | undefined): readonly HostId[] {
    const { board } = this.options;
    const { hosts, topology } = board;
    if (this.rankedFrom !== hosts) {
      this.rankedFrom = hosts;
      this.ranked = new Map([[undefined, rankCandidates(RANK_KEY, [...hosts.keys()])]]);
    }
    const cached = this.ranked.get(region);
    if (cached !== undefined) return cached;
    const regionOf = (host: HostId): RegionId | undefined => {
      const entry = hosts.get(host);
      return entry && topology.regionOf(entry.az);
    };
    const ranked = prioritizeRegion(this.rankedFor(undefined), region, regionOf);
    this.ranked.set(region, ranked);
    return ranked;
  }

  private regionOfGroup(group: GroupId): RegionId | undefined {
    const { topology } = this.options.board;
    if (!topology.isMultiRegion) return undefined;
    this.regions ??= this.regionsOfGroups();
    return this.regions.get(group);
  }

  private regionsOfGroups(): ReadonlyMap<GroupId, RegionId | undefined> {
    const { upstreams, topology } = this.options.board;
    const zones = new Map<GroupId, AzId[]>();
    for (const { group, az } of upstreams.values()) {
      zones.set(group, [...(zones.get(group) ?? []), az]);
    }
    return new Map(
      [...zones].map(([group, all]) => [group, dominantRegion(all, topology)] as const),
    );
  }
}
