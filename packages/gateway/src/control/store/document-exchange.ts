/**
 * Passes documents of the store on to other hosts, and fetches what this host lacks of them: one fetch at
 * a time, with time enough for a long configuration on a slow link.
 */
import type { StorePosition } from '@gladespool/coordination';
import { isSamePosition, formatStorePosition } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerAddress, PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind, packDocuments, unpackDocuments } from '@gladespool/protocol';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { StoreView } from './store-view.js';

/** What the exchange works on. */
export interface DocumentExchangeOptions {
  readonly view: StoreView;
  readonly calls: PeerCalls;
  readonly log: Logger;
}

/** Longest time for one fetch, milliseconds: a megabyte at 7 Mbit/s takes 1.2 s, and others fetch as well. */
const FETCH_TIMEOUT_MS = 2500;

/** A reply that may serve several hosts. */
interface PackedReply {
  /** Position up to which the asker was complete. */
  readonly since: StorePosition;
  /** Position up to which it is complete with this. */
  readonly upTo: StorePosition;
  /** Whether these are all documents; else what changed since. */
  readonly complete: boolean;
  readonly packed: Uint8Array;
}

/** Exchange of one host. */
export class DocumentExchange implements PeerHandler {
  private fetching = false;
  /** The latest reply: the hosts of a zone mostly ask for the same. */
  private latest: PackedReply | undefined;

  constructor(private readonly options: DocumentExchangeOptions) {}

  /** Fetches what `peer` has and a host lacks that is complete up to `since`, unless a fetch is under way. */
  async fetch(peer: PeerAddress, since = this.options.view.position): Promise<void> {
    if (this.fetching) return;
    this.fetching = true;
    try {
      await this.fetchOnce(peer, since);
    } finally {
      this.fetching = false;
    }
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.DocumentsRequest) this.answer(link, frame);
  }

  onLost(): void {
    // A lost link is a fetch without an answer; the next one goes to whoever has something newer.
  }

  private async fetchOnce(peer: PeerAddress, position: StorePosition): Promise<void> {
    const { view, calls, log } = this.options;
    const ask = (id: number) => ({ kind: FrameKind.DocumentsRequest, id, position }) as const;
    const result = await calls.request(peer, ask, FETCH_TIMEOUT_MS);
    if (result.isErr() || result.value.kind !== FrameKind.DocumentsReply) {
      log.info('documents-not-fetched', {
        from: peer.host,
        position: formatStorePosition(position),
      });
      return;
    }
    const reply = result.value;
    const documents = unpackDocuments(reply.packed, peer.host);
    if (documents.isErr()) {
      log.warn('documents-not-fetched', { from: peer.host, error: documents.error.message });
      return;
    }
    const { complete, position: upTo } = reply;
    view.applyDelta({ complete, position: upTo, ...documents.value }, performance.now());
  }

  private answer(link: PeerLink, ask: FrameOf<FrameKind.DocumentsRequest>): void {
    const { complete, upTo, packed } = this.packedSince(ask.position);
    link.send({ kind: FrameKind.DocumentsReply, id: ask.id, complete, position: upTo, packed });
  }

  private packedSince(since: StorePosition): PackedReply {
    const { latest } = this;
    const { view } = this.options;
    const isLatest =
      latest !== undefined &&
      isSamePosition(latest.since, since) &&
      isSamePosition(latest.upTo, view.position);
    if (isLatest) return latest;
    const { complete, position, items, removed } = view.deltaSince(since);
    const packed = packDocuments({ items, removed });
    this.latest = { since, upTo: position, complete, packed };
    return this.latest;
  }
}
