/**
 * The tree by which changes of the store are relayed: the first host of one zone reads the store, the first hosts of
 * the other zones request changes from it, and the other hosts of each zone request them from its first host. The next
 * hosts in a zone's order replace the first one, later ones only if all before them fail. Hosts with high bandwidth
 * come first.
 *
 * Changes cross between two regions once: the first host of one zone of each other region requests them from the
 * reader, and the first hosts of that region's other zones request them from that host. The reader is in the region
 * nearest to the store.
 */
import type { AzId, HostId } from '@gladespool/coordination';
import { rankCandidates, rankZones, parentZone } from '@gladespool/coordination';
import type { GatewayBoard, HostEntry } from './board.js';

/** Share of the highest bandwidth in the zone from which a host counts as one with high bandwidth. */
const HIGH_BANDWIDTH_SHARE = 0.5;

/** The relay tree as computed by one host. */
export class RelayOrder {
  /** The listed hosts from which the order was computed; it is computed again once the board has others. */
  private orderedFrom: ReadonlyMap<HostId, HostEntry> | undefined;
  private orders = new Map<AzId, readonly HostEntry[]>();
  private zones: readonly AzId[] = [];

  constructor(private readonly board: GatewayBoard) {}

  /** The hosts of this host's zone in relay order: the first ones relay to the others. */
  get hosts(): readonly HostEntry[] {
    return this.hostsOf(this.board.az);
  }

  /** The hosts of any zone in relay order. */
  hostsOf(az: AzId): readonly HostEntry[] {
    this.refresh();
    const cached = this.orders.get(az);
    if (cached !== undefined) return cached;
    const order = orderOf(az, this.board.hosts);
    this.orders.set(az, order);
    return order;
  }

  /** Rank of this host's zone among the zones; the store is read in the zone of rank 0. */
  get zoneRank(): number {
    this.refresh();
    return Math.max(0, this.zones.indexOf(this.board.az));
  }

  /**
   * The host from which this one requests changes: the first host of its zone, or, on that host, the first one of the
   * parent zone. Undefined if this host reads the store itself, as it also does while it is not listed.
   */
  get parent(): HostEntry | undefined {
    const { host } = this.board;
    if (!this.board.hosts.has(host)) return undefined;
    const [first] = this.hosts;
    if (first?.host !== host) return first;
    const relayZone = parentZone(this.board.az, this.zones, this.board.topology);
    return relayZone === undefined ? undefined : this.hostsOf(relayZone)[0];
  }

  private refresh(): void {
    const { board } = this;
    if (this.orderedFrom === board.hosts) return;
    this.orderedFrom = board.hosts;
    this.orders = new Map();
    this.zones = rankZones([...board.hosts.values()], board.topology);
  }

  /** Rank of this host in its zone; 0 also while it is not listed, since then no other host reads the store for it. */
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
  const isWide = (entry: HostEntry): boolean => entry.linkMbps >= widest * HIGH_BANDWIDTH_SHARE;
  return [...entries.filter(isWide), ...entries.filter((entry) => !isWide(entry))];
}
