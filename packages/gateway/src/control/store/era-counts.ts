/**
 * Number of documents by the era of the store that they come from.
 */

/** Document counts by era; mostly there is only one era. */
export class EraCounts {
  private readonly counts = new Map<number, number>();

  /** Counts the replacement of a document of era `former` by one of era `next`; undefined stands for no document. */
  replace(former: number | undefined, next: number | undefined): void {
    if (former !== undefined) this.change(former, -1);
    if (next !== undefined) this.change(next, 1);
  }

  /** Whether any document comes from an era before `era`. */
  hasBefore(era: number): boolean {
    return [...this.counts.keys()].some((counted) => counted < era);
  }

  private change(era: number, by: number): void {
    const count = (this.counts.get(era) ?? 0) + by;
    if (count === 0) this.counts.delete(era);
    else this.counts.set(era, count);
  }
}
