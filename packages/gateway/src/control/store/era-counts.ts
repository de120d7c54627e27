/**
 * How many of a set of documents are of which era of the store.
 */

/** Counts by era; mostly there is one. */
export class EraCounts {
  private readonly counts = new Map<number, number>();

  /** Notes that a document of `former` was replaced by one of `next`; undefined stands for none. */
  replace(former: number | undefined, next: number | undefined): void {
    if (former !== undefined) this.change(former, -1);
    if (next !== undefined) this.change(next, 1);
  }

  /** Whether any document is of an era before `era`. */
  hasBefore(era: number): boolean {
    return [...this.counts.keys()].some((counted) => counted < era);
  }

  private change(era: number, by: number): void {
    const count = (this.counts.get(era) ?? 0) + by;
    if (count === 0) this.counts.delete(era);
    else this.counts.set(era, count);
  }
}
