/**
 * Keeps this host's entry in the metadata store. The entry has no lease: whoever changes a primary
 * asks every host that is listed, so it must not vanish while its host may hold a proof.
 */
import { formatStorePosition } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { MetadataStore, StoreItem } from './metadata-store.js';
import { changeResultText, StorePurpose } from './metadata-store.js';
import { hostKey } from './store-documents.js';

/** Longest time for writing the entry, milliseconds. */
const WRITE_TIMEOUT_MS = 1500;

/**
 * Longest time for the read that measures the round trip to the store, milliseconds: far above the way to another
 * region; callers of a host that starts wait meanwhile.
 */
const MEASURE_TIMEOUT_MS = 300;

/** Time for removing the entry where none is left, milliseconds: the store mostly answers within it. */
const LEAST_REMOVAL_MS = 100;

/** Time between two tries that failed, milliseconds: a store that is down is not called by all hosts at each tick. */
const RETRY_MS = 250;

/** An entry that the store has taken. */
export interface Registration {
  readonly item: StoreItem;
  /** Local time at which it was sent. */
  readonly sentAt: number;
}

/** Registers one host. */
export class HostRegistrar {
  /** Whether the store's present era refused the latest try: this host knows a former one only. */
  isRefused = false;
  private writing = false;
  private notBefore = Number.NEGATIVE_INFINITY;
  /** Round trip to the store, milliseconds; undefined before it is measured, and where it need not be. */
  private storeRoundTripMs: number | undefined;

  constructor(
    private readonly self: HostEntry,
    private readonly board: GatewayBoard,
    private readonly store: MetadataStore,
    private readonly log: Logger,
  ) {}

  /** Whether the entry on the board is that of this very process. */
  get isListed(): boolean {
    return this.board.hosts.get(this.self.host)?.incarnation === this.self.incarnation;
  }

  /** Writes the entry if it is not listed; the entry if this call has written it. */
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
    // A host that began to stop during the measurement would stay listed: it has looked for its entry already.
    if (this.board.draining) return undefined;
    const sentAt = performance.now();
    const entry: HostEntry = { ...this.self, storeRoundTripMs: this.storeRoundTripMs };
    const write = { key: hostKey(this.self.host), value: JSON.stringify(entry) };
    const change = { conditions: [], writes: [write], removals: [] };
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
   * Measures the round trip to the store once, by a read that is small, so that the bandwidth of the way does not
   * count, and that comes after others, so that no connection has to be opened for it.
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
   * Removes the entry; only when this host uses no primary any more. A host that waited longer than `timeoutMs` would be
   * killed while it stops; its entry is taken off the list by others then.
   */
  async remove(timeoutMs: number): Promise<void> {
    const isUnreadable = this.board.unreadableHosts.has(this.self.host);
    if (!this.isListed && !isUnreadable) return;
    const change = { conditions: [], writes: [], removals: [hostKey(this.self.host)] };
    const limitMs = Math.max(LEAST_REMOVAL_MS, Math.min(WRITE_TIMEOUT_MS, timeoutMs));
    const result = await this.store.change(change, StorePurpose.Register, limitMs);
    if (result.isErr()) this.log.warn('unregistering-failed', { error: result.error.message });
  }
}
