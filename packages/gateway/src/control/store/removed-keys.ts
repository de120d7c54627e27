/**
 * Keys that were removed from the store, remembered for hosts that have not heard of it.
 */

/** A key that was removed. */
export interface RemovedKey {
  readonly key: string;
  readonly revision: number;
}

/** Removals remembered for other hosts. */
const MAX_REMOVED = 500;

/** The latest removals. */
export class RemovedKeys {
  /** Revision of a key's removal, the latest removals last. */
  private readonly revisions = new Map<string, number>();
  /** Changes at or below this revision are not all remembered as removals. */
  private completeSince = 0;

  /** The removals remembered, the latest last. */
  get all(): readonly RemovedKey[] {
    return [...this.revisions].map(([key, revision]) => ({ key, revision }));
  }

  /** Whether every removal after `revision` is remembered. */
  reachesBackTo(revision: number): boolean {
    return revision > 0 && revision >= this.completeSince;
  }

  /** Revision of a key's removal; 0 when none is remembered. */
  revisionOf(key: string): number {
    return this.revisions.get(key) ?? 0;
  }

  /** Remembers a removal; the oldest one is forgotten where there are too many. */
  add({ key, revision }: RemovedKey): void {
    this.revisions.delete(key);
    this.revisions.set(key, revision);
    if (this.revisions.size <= MAX_REMOVED) return;
    const [oldest] = this.all;
    if (oldest === undefined) return;
    this.revisions.delete(oldest.key);
    this.completeSince = Math.max(this.completeSince, oldest.revision);
  }

  /** After a complete read, removals before it are no longer known one by one. */
  forgetUpTo(revision: number): void {
    this.completeSince = revision;
    this.revisions.clear();
  }
}
