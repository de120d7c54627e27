/**
 * Keeps the local view of the store up to date: reads everything once, then watches for changes, and reads everything
 * again when the watch has missed some.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GladespoolError } from '@gladespool/coordination';
import { RetryReason, formatStorePosition } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { MetadataStore } from './metadata-store.js';
import { StorePurpose } from './metadata-store.js';
import type { StoreView } from './store-view.js';

/** Timing of the follower. */
export interface FollowerRules {
  /** Timeout of one read, milliseconds. */
  readonly readTimeoutMs: number;
  /** Duration of one watch without changes, milliseconds. */
  readonly watchMs: number;
  /** Delay after a failed call, and after a second watch in a row whose history is gone, milliseconds. */
  readonly retryMs: number;
}

/**
 * `watchMs`: one watch lasts long enough that the store receives few calls; the renewal of proofs notices a lost watch
 * much earlier.
 */
export const DEFAULT_FOLLOWER: FollowerRules = {
  readTimeoutMs: 4000,
  watchMs: 12_000,
  retryMs: 250,
};

/** Dependencies of the follower. */
export interface FollowerOptions {
  readonly store: MetadataStore;
  readonly view: StoreView;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  readonly rules: FollowerRules;
}

/** Follows the store while it is active. */
export class StoreFollower {
  private active = false;
  /** Generation of the loop; changes whenever the running loop has to end or start over. */
  private generation = 0;
  /** Whether a full read is running; on a slow link it takes longer than several renewals of proofs. */
  private readingAll = false;
  private reachable = true;
  /** Whether the last watch found that the store no longer has the history it needs. */
  private isHistoryGone = false;
  /** Local time before which `readOnce` does nothing, after a failed read. */
  private catchUpNotBefore = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FollowerOptions) {}

  /** Starts or stops following. */
  setActive(active: boolean): void {
    if (active === this.active) return;
    this.active = active;
    this.generation += 1;
    if (active) void this.follow(this.generation);
  }

  /** Whether this host follows the store itself. */
  get isActive(): boolean {
    return this.active;
  }

  /** Reads everything once, without following; after a failure not before the retry delay has passed. */
  async readOnce(): Promise<void> {
    if (this.active || this.readingAll || performance.now() < this.catchUpNotBefore) return;
    const read = await this.readAll(this.generation);
    if (!read) this.catchUpNotBefore = performance.now() + this.options.rules.retryMs;
  }

  /** Reads everything again because the watch has missed a change, unless a full read is already running. */
  resync(): void {
    if (!this.active || this.readingAll) return;
    this.generation += 1;
    void this.follow(this.generation);
  }

  private async follow(turn: number): Promise<void> {
    let complete = false;
    while (this.generation === turn) {
      if (!complete) {
        complete = await this.readAll(turn);
        if (!complete) await pause(this.options.rules.retryMs);
        continue;
      }
      complete = await this.watchOnce(turn);
    }
  }

  private async readAll(turn: number): Promise<boolean> {
    const { store, view, rules } = this.options;
    this.readingAll = true;
    const range = await store.range('', StorePurpose.Follow, rules.readTimeoutMs);
    this.readingAll = false;
    if (range.isErr()) {
      if (this.generation === turn) this.noteLost(range.error);
      return false;
    }
    this.noteReached();
    // The result is valid even if the follower was stopped or restarted in the meantime.
    view.replace('', range.value, performance.now());
    return this.generation === turn;
  }

  /** @returns false when everything has to be read again. */
  private async watchOnce(turn: number): Promise<boolean> {
    const { store, view, rules, metrics, log } = this.options;
    const result = await store.watch('', view.position, rules.watchMs);
    if (this.generation !== turn) return true;
    if (result.isErr()) {
      this.noteLost(result.error);
      metrics.retries.inc({ reason: RetryReason.WatchLost });
      await pause(rules.retryMs);
      return true;
    }
    this.noteReached();
    if (result.value.kind === 'compacted') {
      log.info('store-history-gone', { position: formatStorePosition(view.position) });
      // Without the delay, a store that keeps no history at all would be read in a tight loop.
      if (this.isHistoryGone) await pause(rules.retryMs);
      this.isHistoryGone = true;
      return false;
    }
    this.isHistoryGone = false;
    const { events, position } = result.value;
    // Changes of a new era do not continue from the view's position, although its revision may exist again.
    if (position.era !== view.position.era) return false;
    view.applyEvents(events, position, performance.now());
    return true;
  }

  private noteLost(error: GladespoolError): void {
    const { step, peer, message } = error;
    if (this.reachable) this.options.log.warn('store-lost', { step, peer, error: message });
    this.reachable = false;
  }

  private noteReached(): void {
    if (!this.reachable) {
      this.options.log.info('store-regained', {
        position: formatStorePosition(this.options.view.position),
      });
    }
    this.reachable = true;
  }
}
