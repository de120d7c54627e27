/**
 * Keeps this host's entry in the metadata store. The entry has no lease: whoever changes a primary
 * asks every host that is listed, so it must not vanish while its host may hold a proof.
 */
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../board.js';
import type { MetadataStore } from './metadata-store.js';
import { StorePurpose } from './metadata-store.js';
import { hostKey } from './store-documents.js';

/** Longest time for writing the entry, milliseconds. */
const WRITE_TIMEOUT_MS = 1500;

/** Registers one host. */
export class Registrar {
  private writing = false;

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

  /**
   * Writes the entry if it is not listed.
   *
   * @returns whether this call has written it
   */
  async ensure(): Promise<boolean> {
    if (this.isListed || this.writing || this.board.draining) return false;
    this.writing = true;
    const key = hostKey(this.self.host);
    const change = {
      conditions: [],
      writes: [{ key, value: JSON.stringify(this.self) }],
      removals: [],
    };
    const result = await this.store.change(change, StorePurpose.Register, WRITE_TIMEOUT_MS);
    this.writing = false;
    if (result.isOk()) {
      this.log.info('registered', { incarnation: this.self.incarnation });
      return true;
    }
    const { step, peer, message } = result.error;
    this.log.warn('registering-failed', { step, peer, error: message });
    return false;
  }

  /** Removes the entry; only when this host uses no primary any more. */
  async remove(): Promise<void> {
    if (!this.isListed) return;
    const change = { conditions: [], writes: [], removals: [hostKey(this.self.host)] };
    const result = await this.store.change(change, StorePurpose.Register, WRITE_TIMEOUT_MS);
    if (result.isErr()) this.log.warn('unregistering-failed', { error: result.error.message });
  }
}
