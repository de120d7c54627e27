/**
 * Since when each host has been listed, and which hosts were retired, as known to one host.
 */
import type { AuthorityRules, HostId, HostListing, StorePosition } from '@gladespool/coordination';
import { isEstablished, isSamePosition, retiredProofMs } from '@gladespool/coordination';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { StoreView } from '../store/store-view.js';

/** Dependencies of the listings. */
export interface HostListingsOptions {
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly authority: AuthorityRules;
}

/** Listed and retired hosts with the times since which this host knows of them. */
export class HostListings {
  private readonly listed = new Map<HostId, HostListing>();
  /** Retired hosts, by the position of the note about each. */
  private readonly retired = new Map<HostId, HostListing>();
  /** The host list at the last update. */
  private updatedFrom: GatewayBoard['hosts'] | undefined;

  constructor(private readonly options: HostListingsOptions) {}

  /** Follows changes of the host list at `now`; cheap while there are none. */
  follow(now: number): void {
    if (this.updatedFrom !== this.options.board.hosts) this.updateListed(now);
    updateListings(this.retired, this.options.view.retirements, now);
  }

  /** Reads all listings again at `now`: an entry that was only rewritten changes the position, but not the list. */
  update(now: number): void {
    this.updateListed(now);
    updateListings(this.retired, this.options.view.retirements, now);
  }

  /** Those of `hosts` that are on every list in use at `now`, if all hosts have the list up to `settled`. */
  establishedOf(hosts: readonly HostId[], settled: StorePosition, now: number): readonly HostId[] {
    const { authority } = this.options;
    return hosts.filter((host) => {
      const listing = this.listed.get(host);
      return listing !== undefined && isEstablished(listing, settled, now, authority);
    });
  }

  /** Hosts that were retired, are not among the `listed` ones again, and may still use a list on which they are. */
  retiredAt(now: number, listed: Pick<ReadonlySet<HostId>, 'has'>): readonly HostId[] {
    return [...this.retired.keys()].filter(
      (host) => !listed.has(host) && !this.isExpired(host, now),
    );
  }

  /** Retired hosts whose last list and proof have expired at `now`. */
  expiredAt(now: number): readonly HostId[] {
    return [...this.retired.keys()].filter((host) => this.isExpired(host, now));
  }

  private isExpired(host: HostId, now: number): boolean {
    const note = this.retired.get(host);
    return note !== undefined && now - note.knownSince > retiredProofMs(this.options.authority);
  }

  private updateListed(now: number): void {
    const { board, view } = this.options;
    this.updatedFrom = board.hosts;
    const positions = new Map<HostId, StorePosition>();
    for (const host of board.hosts.keys()) {
      const since = view.listedSince(host);
      if (since !== undefined) positions.set(host, since);
    }
    updateListings(this.listed, positions, now);
  }
}

/** Adopts the hosts of `current`; the time since which one is known counts from its latest position. */
function updateListings(
  known: Map<HostId, HostListing>,
  current: ReadonlyMap<HostId, StorePosition>,
  now: number,
): void {
  for (const host of known.keys()) {
    if (!current.has(host)) known.delete(host);
  }
  for (const [host, since] of current) {
    const held = known.get(host);
    if (held === undefined || !isSamePosition(held.since, since)) {
      known.set(host, { since, knownSince: now });
    }
  }
}
