/**
 * State of the store's current era, as known to one host.
 */
import type { HostId, StorePosition } from '@gladespool/coordination';
import { formatStorePosition } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { GatewayBoard } from '../../knowledge/board.js';

/** Incarnation that no process has; stands for hosts whose entries can't be read. */
const UNKNOWN_INCARNATION = -1;

/** Current era of one host's view. */
export class CurrentEra {
  /** Local time since which the cached documents of the gateway are those of the era. */
  since: number;
  /** Hosts, with their incarnations, that may know gateway documents that the era has lost. */
  formerHosts: ReadonlyMap<HostId, number> = new Map();
  /** Those of them that were listed when this host last read the list before the era. */
  heldHosts: ReadonlyMap<HostId, number> = new Map();
  /** Age of that list when the era was observed, milliseconds; Infinity if there is none. */
  heldListAgeMs = Number.POSITIVE_INFINITY;
  /** Whether the first documents of the era are still being applied. */
  private isLoading = false;

  constructor(
    private readonly board: GatewayBoard,
    private readonly metrics: HostMetrics,
    private readonly log: Logger,
    startedAt: number,
  ) {
    this.since = startedAt;
  }

  /**
   * Starts `era`, which follows that of position `former`; called before any document of it is applied. The documents
   * were last known to match the store at local time `currentAt`.
   */
  begin(era: number, former: StorePosition, currentAt: number, now: number): void {
    this.since = now;
    this.isLoading = true;
    this.formerHosts = this.listedProcesses();
    this.heldHosts = this.formerHosts;
    this.heldListAgeMs = now - currentAt;
    if (former.revision === 0) return;
    this.log.warn('store-came-back-older', { era, former: formatStorePosition(former) });
    this.metrics.storeRestores.inc();
  }

  /** Ends the initial load of the era, and adds the hosts that it lists: they may know lost documents as well. */
  markLoaded(): void {
    if (!this.isLoading) return;
    this.isLoading = false;
    this.formerHosts = new Map([...this.listedProcesses(), ...this.formerHosts]);
  }

  /** The listed hosts with their incarnations, which are unknown for unreadable entries. */
  private listedProcesses(): ReadonlyMap<HostId, number> {
    const { hosts, unreadableHosts: unknownHosts } = this.board;
    const unknown = [...unknownHosts].map((host) => [host, UNKNOWN_INCARNATION] as const);
    const known = [...hosts.values()].map((entry) => [entry.host, entry.incarnation] as const);
    return new Map([...unknown, ...known]);
  }
}
