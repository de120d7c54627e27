/**
 * Keys that were removed from the store, kept so that the removals can be passed on to other hosts.
 */
import type { StorePosition } from '@gladespool/coordination';
import { isLater, laterOf, STORE_START } from '@gladespool/coordination';

/** A key that was removed. */
export interface Tombstone {
  readonly key: string;
  /** Position of the removal. */
  readonly position: StorePosition;
}

/** Maximum number of removals that are kept. */
const MAX_TOMBSTONES = 500;

/** The latest removals. */
export class Tombstones {
  /** Position of each key's removal, in order of insertion. */
  private readonly positions = new Map<string, StorePosition>();
  /** Removals up to this position may be missing. */
  private completeSince = STORE_START;

  /** The removals that are kept, the latest last. */
  get all(): readonly Tombstone[] {
    return [...this.positions].map(([key, position]) => ({ key, position }));
  }

  /** Whether every removal after `position` is kept. */
  coversChangesSince(position: StorePosition): boolean {
    return position.revision > 0 && !isLater(this.completeSince, position);
  }

  /** Position of a key's removal; undefined if none is kept. */
  positionOf(key: string): StorePosition | undefined {
    return this.positions.get(key);
  }

  /** Adds a removal and evicts the oldest one above the maximum. */
  add({ key, position }: Tombstone): void {
    this.positions.delete(key);
    this.positions.set(key, position);
    if (this.positions.size <= MAX_TOMBSTONES) return;
    const [oldest] = this.all;
    if (oldest === undefined) return;
    this.positions.delete(oldest.key);
    this.completeSince = laterOf(this.completeSince, oldest.position);
  }

  /** Records a complete read at `position`: it does not show which keys were removed before it. */
  markCompleteUpTo(position: StorePosition): void {
    this.completeSince = laterOf(this.completeSince, position);
  }
}
