/**
 * The present era of the store, as one host has come to know it.
 */
import type { HostId, StorePosition } from '@gladespool/coordination';
import { formatStorePosition } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { GatewayBoard } from '../../knowledge/board.js';

/** Incarnation that no process has, for hosts whose entries can't be read. */
const UNKNOWN_INCARNATION = -1;

/** Era of one host's view. */
export class CurrentEra {
  /** Local time since which the gateway's own documents held are those of the era. */
  since: number;
  /** Hosts, with their incarnations, that may know what the era has lost of the gateway's documents. */
  formerHosts: ReadonlyMap<HostId, number> = new Map();
  /** Whether the first documents of the era are being taken. */
  private isBeginning = false;

  constructor(
    private readonly board: GatewayBoard,
    private readonly metrics: HostMetrics,
    private readonly log: Logger,
    startedAt: number,
  ) {
    this.since = startedAt;
  }

  /** Notes that `era` follows that of `former`, before any document of it is taken. */
  begin(era: number, former: StorePosition, now: number): void {
    this.since = now;
    this.isBeginning = true;
    this.formerHosts = this.listedProcesses();
    if (former.revision === 0) return;
    this.log.warn('store-came-back-older', { era, former: formatStorePosition(former) });
    this.metrics.storeRestores.inc();
  }

  /** Notes that the gateway's own documents of the era were taken: hosts that it lists may know more as well. */
  markLoaded(): void {
    if (!this.isBeginning) return;
    this.isBeginning = false;
    this.formerHosts = new Map([...this.listedProcesses(), ...this.formerHosts]);
  }

  /** The listed hosts with their incarnations; those whose entries can't be read tell none. */
  private listedProcesses(): ReadonlyMap<HostId, number> {
    const { hosts, unreadableHosts: unknownHosts } = this.board;
    const unknown = [...unknownHosts].map((host) => [host, UNKNOWN_INCARNATION] as const);
    const known = [...hosts.values()].map((entry) => [entry.host, entry.incarnation] as const);
    return new Map([...unknown, ...known]);
  }
}
