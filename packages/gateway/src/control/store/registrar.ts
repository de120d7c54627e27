/**
 * Keeps this host's entry in the metadata store. The entry has no lease: whoever changes a primary
 * asks every host that is listed, so it must not vanish while its host may hold a proof.
 */
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { MetadataStore, StoreItem } from './metadata-store.js';
import { changeEnd, StorePurpose } from './metadata-store.js';
import { hostKey } from './store-documents.js';

/** Longest time for writing the entry, milliseconds. */
const WRITE_TIMEOUT_MS = 1500;

/** Time between two tries that failed, milliseconds: a store that is down is not called by all hosts at each tick. */
const RETRY_MS = 250;

/** An entry that the store has taken. */
export interface Registration {
  readonly item: StoreItem;
  /** Local time at which it was sent. */
  readonly sentAt: number;
}

/** Registers one host. */
export class Registrar {
  private writing = false;
  private notBefore = Number.NEGATIVE_INFINITY;

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
  async ensure(): Promise<Registration | undefined> {
    const sentAt = performance.now();
    const isDue = !this.writing && sentAt >= this.notBefore;
    if (this.isListed || this.board.draining || !isDue) return undefined;
    this.writing = true;
    const write = { key: hostKey(this.self.host), value: JSON.stringify(this.self) };
    const change = { conditions: [], writes: [write], removals: [] };
    const result = await this.store.change(change, StorePurpose.Register, WRITE_TIMEOUT_MS);
    this.writing = false;
    if (result.isOk() && result.value.kind === 'done') {
      const { revision } = result.value;
      this.log.info('registered', { incarnation: this.self.incarnation, revision });
      return { item: { ...write, revision }, sentAt };
    }
    this.notBefore = performance.now() + RETRY_MS;
    this.log.warn('registering-failed', { result: changeEnd(result) });
    return undefined;
  }

  /** Removes the entry; only when this host uses no primary any more. */
  async remove(): Promise<void> {
    const isUnreadable = this.board.unknownHosts.has(this.self.host);
    if (!this.isListed && !isUnreadable) return;
    const change = { conditions: [], writes: [], removals: [hostKey(this.self.host)] };
    const result = await this.store.change(change, StorePurpose.Register, WRITE_TIMEOUT_MS);
    if (result.isErr()) this.log.warn('unregistering-failed', { error: result.error.message });
  }
}
