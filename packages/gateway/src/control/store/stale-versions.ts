/**
 * Versions of documents that the store has in its current era but that are ignored, because they may be older than the
 * versions that the host already knows.
 */
import type { StorePosition } from '@gladespool/coordination';
import { DEFAULT_AUTHORITY, retiredProofMs } from '@gladespool/coordination';
import type { StoreDocument } from './document-cache.js';
import type { StoreItem } from './metadata-store.js';

/** A version that is ignored. */
export interface StaleVersion {
  readonly document: StoreDocument;
  readonly item: StoreItem;
}

/**
 * Time after which a stale entry of an upstream is used if its owner has not rewritten it, milliseconds. Live upstreams
 * rewrite their entries within 2 s, and the entry of one that stopped is gone after three missed writes.
 */
const STALE_UPSTREAM_MS = 5000;
/**
 * Time after which an evacuation is obeyed that had ended but reappears in the store, milliseconds: less than the time
 * within which a new one has to take effect.
 */
const STALE_EVACUATION_MS = 3000;
/**
 * Time after which an evacuation ends that the store has lost, milliseconds: operators take some time to write it
 * again, and upstreams of the evacuated zone must get no work until then.
 */
const MISSING_EVACUATION_MS = 15_000;
/**
 * Time after which a host that does not register again is dropped, and the note that one was retired, milliseconds:
 * until then a host may renew its proof by a list of the former era, on which it is.
 */
const MISSING_HOST_MS = retiredProofMs(DEFAULT_AUTHORITY);

/** Time for which a stale version in the store is ignored, milliseconds. */
export function ignoreStaleForMs({ kind }: StoreDocument): number {
  if (kind === 'upstream') return STALE_UPSTREAM_MS;
  return kind === 'evacuation' ? STALE_EVACUATION_MS : Number.POSITIVE_INFINITY;
}

/** Time for which a document that the store has lost is retained, milliseconds. */
export function retainMissingForMs({ kind }: StoreDocument): number {
  if (kind === 'host' || kind === 'retired-host') return MISSING_HOST_MS;
  return kind === 'evacuation' ? MISSING_EVACUATION_MS : Number.POSITIVE_INFINITY;
}

/** The stale versions that one host knows of, by key. */
export class StaleVersions {
  private readonly versions = new Map<string, StaleVersion>();

  get all(): readonly StaleVersion[] {
    return [...this.versions.values()];
  }

  get(key: string): StaleVersion | undefined {
    return this.versions.get(key);
  }

  /** Position of a key's stale version in the store. */
  positionOf(key: string): StorePosition | undefined {
    return this.versions.get(key)?.item.position;
  }

  put(document: StoreDocument, item: StoreItem): void {
    this.versions.set(item.key, { document, item });
  }

  delete(key: string): void {
    this.versions.delete(key);
  }

  /** Deletes versions of eras before `era`. */
  deleteBefore(era: number): void {
    for (const { item } of this.all) {
      if (item.position.era < era) this.versions.delete(item.key);
    }
  }
}
