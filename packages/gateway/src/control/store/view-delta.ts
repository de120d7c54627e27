/**
 * Computes which documents other hosts are missing.
 */
import type { StorePosition } from '@gladespool/coordination';
import { isLater } from '@gladespool/coordination';
import type { DocumentCache } from './document-cache.js';
import type { StoreItem } from './metadata-store.js';
import type { StaleVersions } from './stale-versions.js';
import type { Tombstone, Tombstones } from './tombstones.js';
import { OWN_PREFIX } from './store-documents.js';

/** Documents that another host is missing. */
export interface ViewDelta {
  /** Whether `items` are all documents rather than changes. */
  readonly complete: boolean;
  /** Position up to which the other host is complete after applying it. */
  readonly position: StorePosition;
  readonly items: readonly StoreItem[];
  readonly removed: readonly Tombstone[];
}

/** Changes of the gateway's own documents since some position. */
export interface OwnChanges {
  /** Position of the store up to which the receiver is complete after applying them. */
  readonly position: StorePosition;
  readonly items: readonly StoreItem[];
  readonly removed: readonly Tombstone[];
}

/** A change with the position at which it was made. */
interface Change {
  readonly key: string;
  readonly position: StorePosition;
}

/** Builds the deltas that are sent to other hosts. */
export class DeltaBuilder {
  constructor(
    private readonly cache: DocumentCache,
    private readonly stale: StaleVersions,
    private readonly tombstones: Tombstones,
  ) {}

  /** Changes of the gateway's own documents from `since` to `position`; undefined if removals are not all known. */
  ownChanges(since: StorePosition, position: StorePosition): OwnChanges | undefined {
    if (!this.tombstones.coversChangesSince(since)) return undefined;
    if (!isLater(this.cache.ownNewest, since)) return { position, items: [], removed: [] };
    return {
      position,
      ...this.changes((change) => isLater(change.position, since) && isOwn(change)),
    };
  }

  /** What a host is missing that is complete up to `since`; this host is complete up to `position`. */
  delta(since: StorePosition, position: StorePosition): ViewDelta {
    if (this.tombstones.coversChangesSince(since)) {
      const changes = this.changes((change) => isLater(change.position, since));
      return { complete: false, position, ...changes };
    }
    const unused = this.stale.all.map(({ item }) => item);
    return { complete: true, position, items: [...this.cache.items, ...unused], removed: [] };
  }

  private changes(isIncluded: (change: Change) => boolean): Pick<ViewDelta, 'items' | 'removed'> {
    return {
      items: this.cache.items.filter(isIncluded),
      removed: this.tombstones.all.filter(isIncluded),
    };
  }
}

function isOwn({ key }: Change): boolean {
  return key.startsWith(OWN_PREFIX);
}
