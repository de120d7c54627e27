/**
 * Who gets the store's news from whom: the first host of one zone reads the store, the first hosts of the
 * other zones ask it, and the rest of each zone asks its first host. The next ones in a zone's order
 * stand in for the first, later ones only if all before them fail. Hosts with wide links come first.
 *
 * Between regions news cross once: the first host of one zone of each other region asks the reader, and the
 * first hosts of that region's other zones ask it in turn. The reader stands in the region nearest to the store.
 */
import type { AzId, HostId } from '@gladespool/coordination';
import { rankCandidates, rankZones, parentZone } from '@gladespool/coordination';
import type { GatewayBoard, HostEntry } from './board.js';

/** Part of the zone's widest link from which a host counts as one of those with a wide link. */
const WIDE_SHARE = 0.5;

/** The order as one host sees it. */
export class RelayOrder {
  /** The listed hosts that the order was made of; it is made anew once the board holds others. */
  private orderedFrom: ReadonlyMap<HostId, HostEntry> | undefined;
  private orders = new Map<AzId, readonly HostEntry[]>();
  private zones: readonly AzId[] = [];

  constructor(private readonly board: GatewayBoard) {}

  /** The zone's hosts, those first that pass news on to the others. */
  get hosts(): readonly HostEntry[] {
    return this.hostsOf(this.board.az);
  }

  /** The hosts of any zone, those first that pass news on to the others. */
  hostsOf(az: AzId): readonly HostEntry[] {
    this.refresh();
    const held = this.orders.get(az);
    if (held !== undefined) return held;
    const order = orderOf(az, this.board.hosts);
    this.orders.set(az, order);
    return order;
  }

  /** Place of this host's zone among the zones; the store is read in that of place 0. */
  get zoneRank(): number {
    this.refresh();
    return Math.max(0, this.zones.indexOf(this.board.az));
  }

  /**
   * The host to ask for news: the zone's first host, or on that host the first one of the zone that
   * passes the news on to this one. Undefined where this host reads the store itself, also while it is
   * not listed.
   */
  get parent(): HostEntry | undefined {
    const { host } = this.board;
    if (!this.board.hosts.has(host)) return undefined;
    const [first] = this.hosts;
    if (first?.host !== host) return first;
    const asked = parentZone(this.board.az, this.zones, this.board.topology);
    return asked === undefined ? undefined : this.hostsOf(asked)[0];
  }

  private refresh(): void {
    const { board } = this;
    if (this.orderedFrom === board.hosts) return;
    this.orderedFrom = board.hosts;
    this.orders = new Map();
    this.zones = rankZones([...board.hosts.values()], board.topology);
  }

  /** This host's place; 0 also while it is not listed, since nobody reads the store for it then. */
  get rank(): number {
    return Math.max(
      0,
      this.hosts.findIndex((entry) => entry.host === this.board.host),
    );
  }
}

function orderOf(az: AzId, hosts: ReadonlyMap<HostId, HostEntry>): readonly HostEntry[] {
  const inZone = [...hosts.values()].filter((entry) => entry.az === az);
  const ranked = rankCandidates(
    `relay|${az}`,
    inZone.map((entry) => entry.host),
  );
  const entries = ranked.map((host) => hosts.get(host)).filter((entry) => entry !== undefined);
  const widest = Math.max(0, ...entries.map((entry) => entry.linkMbps));
  const isWide = (entry: HostEntry): boolean => entry.linkMbps >= widest * WIDE_SHARE;
  return [...entries.filter(isWide), ...entries.filter((entry) => !isWide(entry))];
}
