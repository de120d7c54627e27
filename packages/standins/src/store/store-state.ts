/**
 * Keys, revisions and watches of the stand-in store.
 */

/** One key. */
export interface StoredKey {
  readonly key: string;
  /** Base64, as it came. */
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
}

/** Receives the changes of a range. */
export type WatchSink = (changed: StoredKey, revision: number) => void;

interface Watch {
  readonly start: string;
  readonly end: string | undefined;
  readonly sink: WatchSink;
}

/** One condition of a transaction. */
export interface Compare {
  readonly key: string;
  readonly modRevision: number;
}

/** One write of a transaction. */
export interface Put {
  readonly key: string;
  readonly value: string;
}

/** In-memory store. */
export class StoreState {
  private readonly keys = new Map<string, StoredKey>();
  private readonly watches = new Set<Watch>();
  private current = 1;

  get revision(): number {
    return this.current;
  }

  /** Watches that stand. */
  get watchCount(): number {
    return this.watches.size;
  }

  range(start: string, end: string | undefined): readonly StoredKey[] {
    return [...this.keys.values()].filter((entry) => inRange(entry.key, start, end));
  }

  /** Writes all of `puts` if every compare holds. */
  transact(compares: readonly Compare[], puts: readonly Put[]): boolean {
    const holds = compares.every(
      (compare) => (this.keys.get(compare.key)?.modRevision ?? 0) === compare.modRevision,
    );
    if (!holds) return false;
    this.current += 1;
    for (const put of puts) this.put(put);
    return true;
  }

  /** Adds a watch; the result removes it. */
  watch(start: string, end: string | undefined, sink: WatchSink): () => void {
    const watch: Watch = { start, end, sink };
    this.watches.add(watch);
    return () => {
      this.watches.delete(watch);
    };
  }

  private put(put: Put): void {
    const created = this.keys.get(put.key)?.createRevision ?? this.current;
    const stored: StoredKey = {
      key: put.key,
      value: put.value,
      createRevision: created,
      modRevision: this.current,
    };
    this.keys.set(put.key, stored);
    for (const watch of this.watches) {
      if (inRange(put.key, watch.start, watch.end)) watch.sink(stored, this.current);
    }
  }
}

function inRange(key: string, start: string, end: string | undefined): boolean {
  return end === undefined ? key === start : key >= start && key < end;
}
