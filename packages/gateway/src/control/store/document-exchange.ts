/**
 * Serves documents of the store to other hosts and fetches missing ones from them. Only one fetch runs at a time, and
 * its timeout allows for a large configuration on a slow link.
 */
import type { StorePosition } from '@gladespool/coordination';
import { isSamePosition, formatStorePosition } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerAddress, PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind, packDocuments, unpackDocuments } from '@gladespool/protocol';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { StoreView } from './store-view.js';

/** Dependencies of the exchange. */
export interface DocumentExchangeOptions {
  readonly view: StoreView;
  readonly calls: PeerCalls;
  readonly log: Logger;
}

/** Timeout of one fetch, milliseconds: a megabyte at 7 Mbit/s takes 1.2 s, and other hosts fetch at the same time. */
const FETCH_TIMEOUT_MS = 2500;

/** An encoded reply that can be sent to several hosts. */
interface PackedReply {
  /** Position up to which the requesting host was complete. */
  readonly since: StorePosition;
  /** Position up to which it is complete after it has applied this reply. */
  readonly upTo: StorePosition;
  /** Whether the reply contains all documents; otherwise only the changes since `since`. */
  readonly complete: boolean;
  readonly packed: Uint8Array;
}

/** Document exchange of one host. */
export class DocumentExchange implements PeerHandler {
  private fetching = false;
  /** The last reply, cached because the hosts of a zone mostly request the same changes. */
  private latest: PackedReply | undefined;

  constructor(private readonly options: DocumentExchangeOptions) {}

  /** Fetches from `peer` what changed after `since`, unless a fetch is already running. */
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
    if (frame.kind === FrameKind.DocumentsRequest) this.reply(link, frame);
  }

  onLost(): void {
    // The pending fetch fails by itself; the next one goes to any host that reports a newer position.
  }

  private async fetchOnce(peer: PeerAddress, position: StorePosition): Promise<void> {
    const { view, calls, log } = this.options;
    const request = (id: number) => ({ kind: FrameKind.DocumentsRequest, id, position }) as const;
    const result = await calls.request(peer, request, FETCH_TIMEOUT_MS);
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

  private reply(link: PeerLink, request: FrameOf<FrameKind.DocumentsRequest>): void {
    const { complete, upTo, packed } = this.packedSince(request.position);
    link.send({ kind: FrameKind.DocumentsReply, id: request.id, complete, position: upTo, packed });
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
