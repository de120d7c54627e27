/**
 * Determines up to which position of the store all hosts have the host list. Sync requests tell how much of it each
 * host has: the first host of a zone collects those of its zone, and the reader of the store those of all zones. The
 * earliest of them is the settled position, which replies pass on to all hosts.
 */
import type { AzId, HostId, StorePosition } from '@gladespool/coordination';
import { azId, hostId, isLater, laterOf, STORE_START } from '@gladespool/coordination';
import type { FrameKind, FrameOf } from '@gladespool/protocol';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';
import type { StoreView } from '../store/store-view.js';

type SyncRequest = FrameOf<FrameKind.SyncRequest>;
type ZoneLists = NonNullable<SyncRequest['zoneLists']>;

/** Dependencies of the settlement. */
export interface ListSettlementOptions {
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly order: RelayOrder;
}

/** How much of the host list a process has. */
interface HeldList {
  readonly incarnation: number;
  readonly position: StorePosition;
}

/** Settled position as known to one host, and what it knows of other hosts and zones. */
export class ListSettlement {
  /** Position of the store up to which every listed host has the host list; the start while it is unknown. */
  settled = STORE_START;
  private readonly heldLists = new Map<HostId, HeldList>();
  /** By zone, the position up to which all hosts that were listed in it there have the list. */
  private readonly zoneLists = new Map<AzId, StorePosition>();
  /** Zones of the host list from which they were last determined. */
  private zones: ReadonlySet<AzId> = new Set();
  private zonesOf: GatewayBoard['hosts'] | undefined;

  constructor(private readonly options: ListSettlementOptions) {}

  /** Notes how much of the host list the sender of a sync request has, and what it knows of whole zones. */
  noteRequest({ host, incarnation, ownPosition, zoneLists = [] }: SyncRequest): void {
    this.heldLists.set(hostId(host), { incarnation, position: ownPosition });
    for (const { az, position } of zoneLists) this.noteZone(azId(az), position);
  }

  /** Accepts the settled position that another host has sent. */
  accept(position: StorePosition): void {
    this.settled = laterOf(this.settled, position);
  }

  /** Notes the hosts of this host's zone, and returns what is known of whole zones beyond the settled position. */
  zoneListsToSend(): ZoneLists {
    this.noteOwnZone();
    return [...this.zoneLists]
      .filter(([, position]) => isLater(position, this.settled))
      .map(([az, position]) => ({ az, position }));
  }

  /** Advances the settled position by what is known of all zones; called on the reader of the store. */
  settle(): void {
    this.noteOwnZone();
    let position = this.options.view.ownPosition;
    for (const az of this.zones) {
      const zoneList = this.zoneLists.get(az);
      if (zoneList === undefined) return;
      position = earlierOf(position, zoneList);
    }
    this.accept(position);
  }

  private noteOwnZone(): void {
    const { board, view, order } = this.options;
    this.followHosts();
    let position = view.ownPosition;
    for (const { host, incarnation } of order.hosts) {
      if (host === board.host) continue;
      const held = this.heldLists.get(host);
      if (held?.incarnation !== incarnation) return;
      position = earlierOf(position, held.position);
    }
    this.noteZone(board.az, position);
  }

  private noteZone(az: AzId, position: StorePosition): void {
    this.zoneLists.set(az, laterOf(this.zoneLists.get(az) ?? STORE_START, position));
  }

  private followHosts(): void {
    const { hosts } = this.options.board;
    if (this.zonesOf === hosts) return;
    this.zonesOf = hosts;
    this.zones = new Set([...hosts.values()].map(({ az }) => az));
    for (const host of this.heldLists.keys()) {
      if (!hosts.has(host)) this.heldLists.delete(host);
    }
  }
}

function earlierOf(a: StorePosition, b: StorePosition): StorePosition {
  return isLater(a, b) ? b : a;
}
