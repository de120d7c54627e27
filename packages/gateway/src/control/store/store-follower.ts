/**
 * Keeps the view of the store up to date: reads everything once, then watches; reads everything
 * again when the watch has missed something.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GladespoolError } from '@gladespool/coordination';
import { RetryReason, formatStorePosition } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { MetadataStore } from './metadata-store.js';
import { StorePurpose } from './metadata-store.js';
import type { StoreView } from './store-view.js';

/** Times of the follower. */
export interface FollowerRules {
  /** Longest time for one read, milliseconds. */
  readonly readTimeoutMs: number;
  /** Time after which a quiet watch is renewed, milliseconds. */
  readonly watchMs: number;
  /** Pause after a failed call, and after a second watch in a row whose history is gone, milliseconds. */
  readonly retryMs: number;
}

/** 12 s a watch: three a day of 40 s; a lost one is noticed by the proofs long before. */
export const DEFAULT_FOLLOWER: FollowerRules = {
  readTimeoutMs: 4000,
  watchMs: 12_000,
  retryMs: 250,
};

/** What the follower works on. */
export interface FollowerOptions {
  readonly store: MetadataStore;
  readonly view: StoreView;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  readonly rules: FollowerRules;
}

/** Follows the store for as long as it is active. */
export class StoreFollower {
  private active = false;
  /** Changes whenever the running loop must end or start over. */
  private turn = 0;
  /** Whether everything is being read; on a slow link that outlasts several proofs. */
  private readingAll = false;
  private reachable = true;
  /** Whether the latest watch was told that its history is gone. */
  private isHistoryGone = false;
  /** Local time before which everything is not read once more, after a read that failed. */
  private catchUpNotBefore = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FollowerOptions) {}

  /** Starts or stops to follow. */
  setActive(active: boolean): void {
    if (active === this.active) return;
    this.active = active;
    this.turn += 1;
    if (active) void this.follow(this.turn);
  }

  /** Whether this host follows the store itself. */
  get isActive(): boolean {
    return this.active;
  }

  /** Reads everything once, without following; not sooner after a failure than a follower would. */
  async readOnce(): Promise<void> {
    if (this.active || this.readingAll || performance.now() < this.catchUpNotBefore) return;
    const read = await this.readAll(this.turn);
    if (!read) this.catchUpNotBefore = performance.now() + this.options.rules.retryMs;
  }

  /** Reads everything again, since the watch has missed a change; once is enough at a time. */
  resync(): void {
    if (!this.active || this.readingAll) return;
    this.turn += 1;
    void this.follow(this.turn);
  }

  private async follow(turn: number): Promise<void> {
    let complete = false;
    while (this.turn === turn) {
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
      if (this.turn === turn) this.noteLost(range.error);
      return false;
    }
    this.noteReached();
    // What was read counts also when this host no longer follows, or began anew meanwhile.
    view.replace('', range.value, performance.now());
    return this.turn === turn;
  }

  /** @returns false when everything has to be read anew, now or after the pause that a failure asks for. */
  private async watchOnce(turn: number): Promise<boolean> {
    const { store, view, rules, metrics, log } = this.options;
    const result = await store.watch('', view.position, rules.watchMs);
    if (this.turn !== turn) return true;
    if (result.isErr()) {
      this.noteLost(result.error);
      metrics.retries.inc({ reason: RetryReason.WatchLost });
      await pause(rules.retryMs);
      return true;
    }
    this.noteReached();
    if (result.value.kind === 'compacted') {
      log.info('store-history-gone', { position: formatStorePosition(view.position) });
      // A store that keeps no history at all must not be read without a pause.
      if (this.isHistoryGone) await pause(rules.retryMs);
      this.isHistoryGone = true;
      return false;
    }
    this.isHistoryGone = false;
    const { events, position } = result.value;
    // Changes of a new era don't begin where the view ends, though its revision may be there again.
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
