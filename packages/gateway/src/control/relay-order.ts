/**
 * Who gets the store's news from whom: the first host of one zone reads the store, the first hosts of the
 * other zones ask it, and the rest of each zone asks its first host. The next ones in a zone's order
 * stand in for the first, later ones only if all before them fail. Hosts with wide links come first.
 */
import type { AzId, HostId } from '@gladespool/coordination';
import { rankCandidates } from '@gladespool/coordination';
import type { GatewayBoard, HostEntry } from '../board.js';

/** Part of the zone's widest link from which a host counts as one of those with a wide link. */
const WIDE_SHARE = 0.5;

/** Key by which zones are ranked for reading the store. */
const READER_RANK_KEY = 'reader';

/** The order as one host sees it. */
export class RelayOrder {
  /** The listed hosts that the order was made of; it is made anew once the board holds others. */
  private orderedFrom: ReadonlyMap<HostId, HostEntry> | undefined;
  private order: readonly HostEntry[] = [];
  private reader: HostEntry | undefined;

  constructor(private readonly board: GatewayBoard) {}

  /** The zone's hosts, those first that pass news on to the others. */
  get hosts(): readonly HostEntry[] {
    this.refresh();
    return this.order;
  }

  /**
   * The host to ask for news: the zone's first host, or on that host the first one of the zone that
   * reads the store. Undefined where this host reads it itself, also while it is not listed.
   */
  get parent(): HostEntry | undefined {
    this.refresh();
    const { host } = this.board;
    if (!this.board.hosts.has(host)) return undefined;
    const [first] = this.order;
    if (first?.host !== host) return first;
    return this.reader?.host === host ? undefined : this.reader;
  }

  private refresh(): void {
    const { board } = this;
    if (this.orderedFrom === board.hosts) return;
    this.orderedFrom = board.hosts;
    this.order = orderOf(board.az, board.hosts);
    const zones = [...new Set([...board.hosts.values()].map((entry) => entry.az))];
    const [readers] = rankCandidates(READER_RANK_KEY, zones);
    this.reader = readers === undefined ? undefined : orderOf(readers, board.hosts)[0];
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
