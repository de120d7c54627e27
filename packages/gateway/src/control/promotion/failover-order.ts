/**
 * The order in which hosts act on the primary of each group, as every host works it out from the list.
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

/** What the order is made from. */
export interface FailoverOrderOptions {
  readonly board: GatewayBoard;
  readonly view: Pick<StoreView, 'seenDuty'>;
  readonly rules: FailoverRules;
}

/** Key by which hosts are ranked for acting; one for all groups, so that the duty seldom moves. */
const DUTY_RANK_KEY = 'duty';

/** Orders of one region or of none, kept since ranking many hosts at each tick is dear. */
type RankedHosts = Map<RegionId | undefined, readonly HostId[]>;

/** Orders as one host sees them. */
export class FailoverOrder {
  /** The listed hosts that `ranked` was made of. */
  private rankedFrom: ReadonlyMap<HostId, HostEntry> | undefined;
  private ranked: RankedHosts = new Map();
  /** Region of most of each group's upstreams; undefined until it is asked for again. */
  private regions: ReadonlyMap<GroupId, RegionId | undefined> | undefined;

  constructor(private readonly options: FailoverOrderOptions) {
    options.board.onChange(BoardSection.Upstreams, () => {
      this.regions = undefined;
    });
  }

  /**
   * All hosts in the order in which they act on a group at `now`: by rank, those of the group's region and
   * the holder of the duty first.
   */
  hostsFor(group: GroupId, now: number): readonly HostId[] {
    const { view, rules } = this.options;
    return failoverOrder(this.rankedFor(this.regionOfGroup(group)), view.seenDuty, now, rules);
  }

  /** Place of this host in that order by group; -1 while it is not listed. Each region is looked at once. */
  ownRanks(now: number): (group: GroupId) => number {
    const { board } = this.options;
    const places = new Map<RegionId | undefined, number>();
    return (group) => {
      const region = this.regionOfGroup(group);
      const place = places.get(region) ?? this.hostsFor(group, now).indexOf(board.host);
      places.set(region, place);
      return place;
    };
  }

  private rankedFor(region: RegionId | undefined): readonly HostId[] {
    const { board } = this.options;
    const { hosts, topology } = board;
    if (this.rankedFrom !== hosts) {
      this.rankedFrom = hosts;
      this.ranked = new Map([[undefined, rankCandidates(DUTY_RANK_KEY, [...hosts.keys()])]]);
    }
    const held = this.ranked.get(region);
    if (held !== undefined) return held;
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
