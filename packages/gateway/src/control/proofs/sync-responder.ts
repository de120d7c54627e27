/**
 * Replies to other hosts' requests for proofs and updates of the store. A request may wait here (long poll) until
 * this host has a newer proof or knows of a change, so that each proof is forwarded at once, and once per
 * requester.
 */
import { isLater } from '@gladespool/coordination';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard } from '../../knowledge/board.js';
import { BoardSection } from '../../knowledge/board.js';
import type { HostListTracker } from '../hosts/host-list-tracker.js';
import type { ProofRenewer } from './proof-renewer.js';
import type { StoreView } from '../store/store-view.js';

type SyncRequest = FrameOf<FrameKind.SyncRequest>;
type SyncReply = FrameOf<FrameKind.SyncReply>;

/**
 * Difference in age from which two proofs are considered different, milliseconds: far above the network latency
 * between two hosts, by which the ages of the same proof differ, and below the interval between two reads.
 */
const MIN_PROOF_AGE_GAP_MS = 100;

/** Dependencies of the responder. */
export interface SyncResponderOptions {
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly proofs: Pick<ProofRenewer, 'forwardableTo'>;
  readonly lists: Pick<HostListTracker, 'noteRequest' | 'settled'>;
}

/** A request that waits for a reply. */
interface PendingRequest {
  readonly link: PeerLink;
  readonly request: SyncRequest;
  readonly arrivedAt: number;
}

/** Responding side of the sync protocol. */
export class SyncResponder implements PeerHandler {
  private pending: PendingRequest[] = [];

  constructor(private readonly options: SyncResponderOptions) {
    const { board, view } = options;
    board.onChange(BoardSection.Proof, () => {
      this.replyWhere(() => true);
    });
    // Callers wait for a changed record; other updates wait for the next tick, so that they are sent in batches.
    board.onChange(BoardSection.Records, () => {
      this.replyWhere(({ request }) => isLater(view.newest, request.heard));
    });
  }

  /** Replies at `now` to requests that have waited long enough or for which there are updates. */
  tick(now: number): void {
    const { view } = this.options;
    this.replyWhere(
      ({ request, arrivedAt }) =>
        isLater(view.newest, request.heard) || now - arrivedAt >= request.waitMs,
    );
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.SyncRequest) return;
    this.options.lists.noteRequest(frame);
    const entry = { link, request: frame, arrivedAt: performance.now() };
    if (frame.waitMs > 0 && !this.hasNewerProof(entry)) this.pending.push(entry);
    else this.sendReply(entry);
  }

  onLost(link: PeerLink): void {
    this.pending = this.pending.filter((entry) => entry.link !== link);
  }

  /** Whether this host already holds a newer proof than the requester. */
  private hasNewerProof({ request, arrivedAt }: PendingRequest): boolean {
    const proof = this.options.proofs.forwardableTo(request.host, request.incarnation);
    if (proof === undefined) return false;
    if (request.proofAgeMs === undefined) return true;
    return proof.sentAt > arrivedAt - request.proofAgeMs + MIN_PROOF_AGE_GAP_MS;
  }

  private replyWhere(isDue: (entry: PendingRequest) => boolean): void {
    const due = this.pending.filter(isDue);
    if (due.length === 0) return;
    this.pending = this.pending.filter((entry) => !due.includes(entry));
    for (const entry of due) this.sendReply(entry);
  }

  private sendReply({ link, request, arrivedAt }: PendingRequest): void {
    const { view, lists } = this.options;
    const reply: SyncReply = {
      kind: FrameKind.SyncReply,
      id: request.id,
      position: view.position,
      newest: view.newest,
      documentsPosition: view.documentsPosition,
    };
    if (lists.settled.revision > 0) reply.settledList = lists.settled;
    const own = view.ownChangesSince(request.ownPosition);
    if (own !== undefined) {
      reply.own = { ...own, items: [...own.items], removed: [...own.removed] };
    }
    const documentsAgeMs = arrivedAt - view.lastCurrentAt;
    if (Number.isFinite(documentsAgeMs)) reply.documentsAgeMs = documentsAgeMs;
    const proof = this.proofFor(request, arrivedAt);
    // A proof by other hosts is valid only together with the claims that they reported.
    const isComplete = own !== undefined || proof?.isFromStore === true;
    if (proof !== undefined && isComplete) reply.proof = proof;
    link.send(reply);
  }

  /** The proof that may be forwarded to the requester; undefined if the requester was not listed then. */
  private proofFor(request: SyncRequest, arrivedAt: number): SyncReply['proof'] {
    const proof = this.options.proofs.forwardableTo(request.host, request.incarnation);
    if (proof === undefined) return undefined;
    const { sentAt, position, isFromStore } = proof;
    return { ageMs: arrivedAt - sentAt, position, isFromStore };
  }
}
