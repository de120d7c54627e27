/**
 * Keys that were removed from the store, remembered for hosts that have not heard of it.
 */
import type { StorePosition } from '@gladespool/coordination';
import { isLater, laterOf, STORE_START } from '@gladespool/coordination';

/** A key that was removed. */
export interface Tombstone {
  readonly key: string;
  /** Where it was removed. */
  readonly position: StorePosition;
}

/** Removals remembered for other hosts. */
const MAX_REMOVED = 500;

/** The latest removals. */
export class Tombstones {
  /** Position of a key's removal, the latest removals last. */
  private readonly positions = new Map<string, StorePosition>();
  /** Changes up to here are not all remembered as removals. */
  private completeSince = STORE_START;

  /** The removals remembered, the latest last. */
  get all(): readonly Tombstone[] {
    return [...this.positions].map(([key, position]) => ({ key, position }));
  }

  /** Whether every removal after `position` is remembered. */
  coversChangesSince(position: StorePosition): boolean {
    return position.revision > 0 && !isLater(this.completeSince, position);
  }

  /** Position of a key's removal; undefined when none is remembered. */
  positionOf(key: string): StorePosition | undefined {
    return this.positions.get(key);
  }

  /** Remembers a removal; the oldest one is forgotten where there are too many. */
  add({ key, position }: Tombstone): void {
    this.positions.delete(key);
    this.positions.set(key, position);
    if (this.positions.size <= MAX_REMOVED) return;
    const [oldest] = this.all;
    if (oldest === undefined) return;
    this.positions.delete(oldest.key);
    this.completeSince = laterOf(this.completeSince, oldest.position);
  }

  /** After a complete read, removals before it are not known one by one. */
  markCompleteUpTo(position: StorePosition): void {
    this.completeSince = laterOf(this.completeSince, position);
  }
}
