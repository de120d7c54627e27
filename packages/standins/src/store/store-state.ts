/**
 * Keys, revisions and watches of the stand-in store.
 */

/** Key with its value and revisions. */
export interface StoredKey {
  readonly key: string;
  /** Base64, as received. */
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
}

/** Callback for the changes in a watched range. */
export type WatchSink = (changed: StoredKey, revision: number) => void;

interface Watch {
  readonly start: string;
  readonly end: string | undefined;
  readonly sink: WatchSink;
}

/** Condition of a transaction: the key's revision, 0 if the key must not exist. */
export interface Compare {
  readonly key: string;
  readonly modRevision: number;
}

/** Write of a transaction. */
export interface Put {
  readonly key: string;
  readonly value: string;
}

/** In-memory key-value store. */
export class StoreState {
  private readonly keys = new Map<string, StoredKey>();
  private readonly watches = new Set<Watch>();
  private currentRevision = 1;

  get revision(): number {
    return this.currentRevision;
  }

  /** Number of open watches. */
  get watchCount(): number {
    return this.watches.size;
  }

  range(start: string, end: string | undefined): readonly StoredKey[] {
    return [...this.keys.values()].filter((entry) => inRange(entry.key, start, end));
  }

  /** Applies all `puts` if every condition holds; returns whether it did. */
  transact(compares: readonly Compare[], puts: readonly Put[]): boolean {
    const allHold = compares.every(
      (compare) => (this.keys.get(compare.key)?.modRevision ?? 0) === compare.modRevision,
    );
    if (!allHold) return false;
    this.currentRevision += 1;
    for (const put of puts) this.put(put);
    return true;
  }

  /** Adds a watch; the returned function removes it. */
  watch(start: string, end: string | undefined, sink: WatchSink): () => void {
    const watch: Watch = { start, end, sink };
    this.watches.add(watch);
    return () => {
      this.watches.delete(watch);
    };
  }

  private put(put: Put): void {
    const created = this.keys.get(put.key)?.createRevision ?? this.currentRevision;
    const stored: StoredKey = {
      key: put.key,
      value: put.value,
      createRevision: created,
      modRevision: this.currentRevision,
    };
    this.keys.set(put.key, stored);
    for (const watch of this.watches) {
      if (inRange(put.key, watch.start, watch.end)) watch.sink(stored, this.currentRevision);
    }
  }
}

function inRange(key: string, start: string, end: string | undefined): boolean {
  return end === undefined ? key === start : key >= start && key < end;
}
