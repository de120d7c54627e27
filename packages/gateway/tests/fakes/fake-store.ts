/**
 * A metadata store in memory, shared by the hosts of a test, that can be unavailable or lose answers.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GladespoolError, StorePosition } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type {
  ChangeResult,
  MetadataStore,
  StoreChange,
  StoreEntry,
  StoreEvent,
  StoreItem,
  StoreRange,
  WatchResult,
} from '../../src/index.js';

const POLL_MS = 2;
const AWAY = gladespoolError({ step: Step.StoreRead, peer: 'store' }, 'store is away');

/** State of the store. */
export class FakeStore {
  /** Number of times it was restored from a copy. */
  era = 0;
  revision = 1;
  away = false;
  /** Whether it answers reads but refuses every change. */
  readOnly = false;
  /** Number of further changes that are made but whose answers are lost. */
  loseAnswers = 0;
  readonly items = new Map<string, StoreItem>();
  events: readonly { readonly revision: number; readonly event: StoreEvent }[] = [];

  /** Restores a copy without the last `lost` changes; their revisions are reused. */
  restore(lost: number): void {
    this.revision -= lost;
    this.era += 1;
    this.items.clear();
    this.events = this.events.filter(({ revision }) => revision <= this.revision);
    for (const { event } of this.events) {
      if (event.kind === 'written') this.items.set(event.item.key, event.item);
      else this.items.delete(event.key);
    }
  }

  /** Adds an event to the history. */
  note(event: StoreEvent): void {
    this.events = [...this.events, { revision: this.revision, event }];
  }

  /** Position of the latest change. */
  get position(): StorePosition {
    return { era: this.era, revision: this.revision };
  }

  put(key: string, value: unknown): void {
    this.revision += 1;
    const item = { key, value: JSON.stringify(value), position: this.position };
    this.items.set(key, item);
    this.note({ kind: 'written', item });
  }

  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.note({ kind: 'removed', key, position: this.position });
  }
}

/** One host's client of the store. */
export class FakeStoreClient implements MetadataStore {
  cut = false;
  /** Number of reads so far. */
  reads = 0;
  /** Time that a read of everything takes, milliseconds. */
  fullReadMs = 0;
  /** Time that a read of one key takes, milliseconds. */
  roundTripMs = 0;
  /** Number of further reads of one key that are not answered. */
  loseReads = 0;

  constructor(private readonly store: FakeStore) {}

  private get away(): boolean {
    return this.cut || this.store.away;
  }

  async range(prefix: string): Promise<Result<StoreRange, GladespoolError>> {
    this.reads += 1;
    if (prefix === '') await pause(this.fullReadMs, undefined, { ref: false });
    if (this.away) return err(AWAY);
    const items = [...this.store.items.values()].filter((item) => item.key.startsWith(prefix));
    return ok({
      items: items.map((item) => this.inCurrentEra(item)),
      position: this.store.position,
    });
  }

  async read(key: string): Promise<Result<StoreEntry, GladespoolError>> {
    this.reads += 1;
    if (this.roundTripMs > 0) await pause(this.roundTripMs, undefined, { ref: false });
    const isLost = this.loseReads > 0;
    if (isLost) this.loseReads -= 1;
    if (this.away || isLost) return err(AWAY);
    const item = this.store.items.get(key);
    const { era, position } = this.store;
    if (item === undefined) return ok({ item, position: { era, revision: 0 } });
    return ok({ item: this.inCurrentEra(item), position });
  }

  async watch(
    _prefix: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<Result<WatchResult, GladespoolError>> {
    const until = performance.now() + waitMs;
    const { era } = this.store;
    if (after.revision > this.store.revision) return ok({ kind: 'compacted' });
    while (
      this.store.era === era &&
      !this.away &&
      this.store.revision <= after.revision &&
      performance.now() < until
    ) {
      await pause(POLL_MS, undefined, { ref: false });
    }
    if (this.away || this.store.era !== era) return err(AWAY);
    const fresh = this.store.events.filter(({ revision }) => revision > after.revision);
    const events = fresh.map(({ event }) => event);
    return ok({ kind: 'events', events, position: this.store.position });
  }

  /** An item with its position in the current era of the store. */
  private inCurrentEra(item: StoreItem): StoreItem {
    return { ...item, position: { era: this.store.era, revision: item.position.revision } };
  }

  change(change: StoreChange): Promise<Result<ChangeResult, GladespoolError>> {
    if (this.away || this.store.readOnly) return Promise.resolve(err(AWAY));
    const { store } = this;
    const holds = change.conditions.every(
      ({ key, position }) => (store.items.get(key)?.position.revision ?? 0) === position.revision,
    );
    if (!holds) return Promise.resolve(ok({ kind: 'conflict' }));
    store.revision += 1;
    for (const { key, value } of change.writes) {
      const item = { key, value, position: store.position };
      store.items.set(key, item);
      store.note({ kind: 'written', item });
    }
    for (const key of change.removals) store.remove(key);
    if (store.loseAnswers > 0) {
      store.loseAnswers -= 1;
      return Promise.resolve(err(AWAY));
    }
    return Promise.resolve(ok({ kind: 'done', position: store.position }));
  }
}
