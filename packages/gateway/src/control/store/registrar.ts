/**
 * Registers this host in the metadata store. The entry has no expiry: a change of primary contacts every listed host,
 * so the entry must not disappear while its host may hold a valid proof.
 */
import { formatStorePosition } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { MetadataStore, StoreItem } from './metadata-store.js';
import { changeResultText, StorePurpose } from './metadata-store.js';
import { hostKey } from './store-documents.js';
import type { StoreView } from './store-view.js';

/** Timeout for writing the entry, milliseconds. */
const WRITE_TIMEOUT_MS = 1500;

/**
 * Timeout of the read that measures the round trip to the store, milliseconds: far above the round trip to another
 * region, but short, since callers of a starting host wait for it.
 */
const MEASURE_TIMEOUT_MS = 300;

/** Minimum timeout for removing the entry, milliseconds: the store mostly answers within it. */
const MIN_REMOVAL_MS = 100;

/** Delay after a failed attempt, milliseconds: keeps all hosts from calling an unavailable store at each tick. */
const RETRY_MS = 250;

/** An entry that was written to the store. */
export interface Registration {
  readonly item: StoreItem;
  /** Local time at which the write was sent. */
  readonly sentAt: number;
}

/** Registers one host in the store and removes it when it stops. */
export class HostRegistrar {
  /**
   * Whether the store refused the last attempt: it is in a newer era than this host knows, or the former entry of this
   * host has changed.
   */
  isRefused = false;
  private writing = false;
  private notBefore = Number.NEGATIVE_INFINITY;
  /** Round trip to the store, milliseconds; undefined before it is measured, and in a single region. */
  private storeRoundTripMs: number | undefined;

  constructor(
    private readonly self: HostEntry,
    private readonly board: GatewayBoard,
    private readonly store: MetadataStore,
    private readonly view: Pick<StoreView, 'has' | 'conditionOn' | 'listedSince'>,
    private readonly log: Logger,
  ) {}

  /** Whether the board lists this host with the incarnation of this process. */
  get isListed(): boolean {
    return this.board.hosts.get(this.self.host)?.incarnation === this.self.incarnation;
  }

  /** Writes the entry if this host is not listed; returns it only if this call has written it. */
  async ensureRegistered(): Promise<Registration | undefined> {
    const isDue = !this.writing && performance.now() >= this.notBefore;
    if (this.isListed || this.board.draining || !isDue) return undefined;
    this.writing = true;
    if (this.board.topology.isMultiRegion) await this.measure();
    const registration = await this.write();
    this.writing = false;
    return registration;
  }

  private async write(): Promise<Registration | undefined> {
    // A host that began to drain during the measurement has already looked for its entry, and would stay listed.
    if (this.board.draining) return undefined;
    const sentAt = performance.now();
    const key = hostKey(this.self.host);
    const { storeRoundTripMs } = this;
    // The position is valid only if the entry from which it is taken has not been removed meanwhile.
    const former = this.view.has(key) ? this.view.conditionOn(key) : undefined;
    const listedSince = former && this.view.listedSince(this.self.host);
    const entry: HostEntry = { ...this.self, storeRoundTripMs, listedSince };
    const write = { key, value: JSON.stringify(entry) };
    const change = { conditions: former ? [former] : [], writes: [write], removals: [] };
    const result = await this.store.change(change, StorePurpose.Register, WRITE_TIMEOUT_MS);
    this.isRefused = result.isOk() && result.value.kind === 'conflict';
    if (result.isOk() && result.value.kind === 'done') {
      const { position } = result.value;
      const { incarnation } = this.self;
      this.log.info('registered', { incarnation, position: formatStorePosition(position) });
      return { item: { ...write, position }, sentAt };
    }
    this.notBefore = performance.now() + RETRY_MS;
    this.log.warn('registering-failed', { result: changeResultText(result) });
    return undefined;
  }

  /**
   * Measures the round trip to the store once. The read is small, so that bandwidth does not matter, and runs after
   * others, so that it needs no new connection.
   */
  private async measure(): Promise<void> {
    if (this.storeRoundTripMs !== undefined) return;
    const sentAt = performance.now();
    const key = hostKey(this.self.host);
    const entry = await this.store.read(key, StorePurpose.Register, MEASURE_TIMEOUT_MS);
    if (entry.isErr()) {
      this.log.info('store-round-trip-not-measured', { error: entry.error.message });
      return;
    }
    this.storeRoundTripMs = Math.round(performance.now() - sentAt);
  }

  /**
   * Removes the entry; must be called only when this host no longer uses any primary. `timeoutMs` limits the wait,
   * since a host that stops too slowly is killed; other hosts then remove its entry.
   */
  async remove(timeoutMs: number): Promise<void> {
    const isUnreadable = this.board.unreadableHosts.has(this.self.host);
    if (!this.isListed && !isUnreadable) return;
    const change = { conditions: [], writes: [], removals: [hostKey(this.self.host)] };
    const limitMs = Math.max(MIN_REMOVAL_MS, Math.min(WRITE_TIMEOUT_MS, timeoutMs));
    const result = await this.store.change(change, StorePurpose.Register, limitMs);
    if (result.isErr()) this.log.warn('unregistering-failed', { error: result.error.message });
  }
}
