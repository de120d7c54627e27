/**
 * Versions of documents that the store shows in its present era and that are not used, since they may be older than
 * what the host knows already.
 */
import type { StorePosition } from '@gladespool/coordination';
import type { StoreDocument } from './document-cache.js';
import type { StoreItem } from './metadata-store.js';

/** A version that is not used. */
export interface StaleVersion {
  readonly document: StoreDocument;
  readonly item: StoreItem;
}

/**
 * Time after which the store's word on an upstream counts that its owner has not changed, milliseconds. Upstreams that
 * live write their entries again within 2 s, and entries of those that don't are gone after three missed writes.
 */
const UPSTREAM_MS = 5000;
/** The same for an evacuation that had ended, milliseconds: less than the time in which a new one is to be obeyed. */
const EVACUATION_BACK_MS = 3000;
/**
 * Time after which an evacuation ends that the store shows no more, milliseconds: operators write again what they wrote,
 * some time later, and upstreams of an evacuated zone must get nothing meanwhile.
 */
const EVACUATION_GONE_MS = 15_000;
/** Time after which a host is off the list that does not list itself again, milliseconds; ten proofs' lives. */
const HOST_GONE_MS = 10_000;

/** Time for which a host goes on without a document that has ended, though the store shows it, milliseconds. */
export function ignoreStaleForMs({ kind }: StoreDocument): number {
  if (kind === 'upstream') return UPSTREAM_MS;
  return kind === 'evacuation' ? EVACUATION_BACK_MS : Number.POSITIVE_INFINITY;
}

/** Time for which a host goes on with a document that the store does not show any more, milliseconds. */
export function retainMissingForMs({ kind }: StoreDocument): number {
  if (kind === 'host') return HOST_GONE_MS;
  return kind === 'evacuation' ? EVACUATION_GONE_MS : Number.POSITIVE_INFINITY;
}

/** The versions that one host does not use. */
export class StaleVersions {
  private readonly copies = new Map<string, StaleVersion>();

  /** All of them. */
  get all(): readonly StaleVersion[] {
    return [...this.copies.values()];
  }

  get(key: string): StaleVersion | undefined {
    return this.copies.get(key);
  }

  /** Position at which the store has this version of a key. */
  positionOf(key: string): StorePosition | undefined {
    return this.copies.get(key)?.item.position;
  }

  put(document: StoreDocument, item: StoreItem): void {
    this.copies.set(item.key, { document, item });
  }

  delete(key: string): void {
    this.copies.delete(key);
  }

  /** Forgets those of eras before `era`. */
  deleteBefore(era: number): void {
    for (const { item } of this.all) {
      if (item.position.era < era) this.copies.delete(item.key);
    }
  }
}
