/**
 * Watches the platform's store while this host is a relay, and passes its values on to this host.
 */
import type { GroupRecord } from '@gladespool/coordination';
import { RetryReason } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { PlatformStore, StoredValue } from '@gladespool/platform';
import {
  BUNDLE_HEAD_KEY,
  decodeRecord,
  isRecordKey,
  partKey,
  WATCHED_PREFIX,
} from '@gladespool/protocol';
import type { PartFetch } from './bundle-service.js';

/** Receives bundle heads and group records from the store. */
export interface StoreRelayListener {
  onBundleHead(head: string, fetch: PartFetch): void;
  onRecord(record: GroupRecord, revision: number): void;
}

/** Options of the store watch. */
export interface StoreRelayOptions {
  readonly store: PlatformStore;
  readonly listener: StoreRelayListener;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  /** Initial and maximum delay before a lost watch is reopened, milliseconds; doubles with each failure. */
  readonly retryMs: number;
  readonly maxRetryMs: number;
}

/** Keeps a watch on the platform's store open while it is active. */
export class StoreRelay {
  private stopWatch: (() => void) | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private failures = 0;

  constructor(private readonly options: StoreRelayOptions) {}

  /** Whether the watch is open or about to be reopened. */
  get active(): boolean {
    return this.stopWatch !== undefined || this.retryTimer !== undefined;
  }

  /** Starts or stops the watch. */
  setActive(wanted: boolean): void {
    if (wanted === this.active) return;
    if (wanted) this.open();
    else this.stop();
  }

  stop(): void {
    clearTimeout(this.retryTimer);
    this.retryTimer = undefined;
    this.stopWatch?.();
    this.stopWatch = undefined;
  }

  private open(): void {
    this.retryTimer = undefined;
    this.stopWatch = this.options.store.watch(WATCHED_PREFIX, {
      onOpen: () => {
        this.failures = 0;
        void this.readAll();
      },
      onValue: (value) => {
        this.handleValue(value);
      },
      onEnd: (error) => {
        const { step, peer, message } = error;
        this.options.log.warn('store-watch-lost', { step, peer, error: message });
        this.retryLater(RetryReason.WatchLost);
      },
    });
  }

  /** Reads all values after the watch is open, so that no change between read and watch is missed. */
  private async readAll(): Promise<void> {
    const watch = this.stopWatch;
    const values = await this.options.store.readPrefix(WATCHED_PREFIX);
    // Without this check, a relay stopped during the read would reopen its watch and never close it.
    if (watch === undefined || this.stopWatch !== watch) return;
    if (values.isOk()) {
      for (const value of values.value) this.handleValue(value);
      return;
    }
    const { step, peer, message } = values.error;
    this.options.log.warn('store-read-failed', { step, peer, error: message });
    watch();
    this.retryLater(RetryReason.StoreFailed);
  }

  private handleValue(value: StoredValue): void {
    if (value.key === BUNDLE_HEAD_KEY) {
      this.options.listener.onBundleHead(value.value, (hashes) => this.fetchParts(hashes));
      return;
    }
    if (!isRecordKey(value.key)) return;
    const record = decodeRecord(value.value);
    if (record !== undefined) this.options.listener.onRecord(record, value.revision);
  }

  private async fetchParts(hashes: readonly string[]): Promise<readonly string[]> {
    const reads = hashes.map((hash) => this.options.store.read(partKey(hash)));
    const values = await Promise.all(reads);
    return values.flatMap((value) =>
      value.isOk() && value.value !== undefined ? [value.value.value] : [],
    );
  }

  private retryLater(reason: RetryReason): void {
    if (this.retryTimer !== undefined) return;
    this.stopWatch = undefined;
    this.options.metrics.retries.inc({ reason });
    const { retryMs, maxRetryMs } = this.options;
    const delay = Math.min(maxRetryMs, retryMs * 2 ** this.failures);
    this.failures += 1;
    this.retryTimer = setTimeout(() => {
      this.open();
    }, delay);
  }
}
