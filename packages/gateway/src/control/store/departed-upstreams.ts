/**
 * Upstreams whose entries have disappeared, for as long as they may still receive and confirm commits. That is longer
 * than they are used: a replica that leaves serves on for a while after its entry has gone.
 */
import type { ExpiryRules, GroupId, UpstreamId } from '@gladespool/coordination';
import { mayHaveLapsed } from '@gladespool/coordination';
import type { UpstreamEntry } from '../../model/catalog.js';
import type { StoreItem } from './metadata-store.js';

/** An upstream with its last entry. */
export interface DepartedUpstream {
  readonly entry: UpstreamEntry;
  /** The last entry as it was stored, to be sent to hosts that never knew it. */
  readonly item: StoreItem;
}

/** The departed upstreams that one host knows of. */
export class DepartedUpstreams {
  private readonly departed = new Map<UpstreamId, DepartedUpstream>();
  /** Local time from which the time of each counts. */
  private readonly since = new Map<UpstreamId, number>();

  constructor(private readonly rules: ExpiryRules) {}

  /** The departed upstreams of a group. */
  of(group: GroupId): readonly DepartedUpstream[] {
    return [...this.departed.values()].filter(({ entry }) => entry.group === group);
  }

  /** Adds an upstream whose entry has disappeared, unless it is known already. */
  add(entry: UpstreamEntry, item: StoreItem, now: number): void {
    if (this.departed.has(entry.id)) return;
    this.departed.set(entry.id, { entry, item });
    this.since.set(entry.id, now);
  }

  /** Removes those that an entry shows to be listed again, or replaced at their address by one with their log. */
  removeReplaced({ id, address, port }: UpstreamEntry): void {
    for (const { entry } of this.departed.values()) {
      const isAtAddress = entry.address === address && entry.port === port;
      if (entry.id === id || isAtAddress) this.remove(entry.id);
    }
  }

  /**
   * Removes those that no longer confirm commits at `now`. While the store is unavailable, entries may be missing of
   * upstreams that stay, so their time starts over; documents were last current at `confirmedAt`.
   */
  tick(confirmedAt: number, now: number): void {
    const mayLackEntries = mayHaveLapsed(confirmedAt, now);
    for (const [id, since] of this.since) {
      if (mayLackEntries) this.since.set(id, now);
      else if (now - since >= this.rules.confirmsForMs) this.remove(id);
    }
  }

  private remove(id: UpstreamId): void {
    this.departed.delete(id);
    this.since.delete(id);
  }
}
