/**
 * Answers other hosts that ask for proofs and news of the store. A question may wait here until this host
 * has a newer proof or has heard of a change, so that each proof is passed on once and at once, however
 * many hosts ask.
 */
import { isLater } from '@gladespool/coordination';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard } from '../../knowledge/board.js';
import { BoardSection } from '../../knowledge/board.js';
import type { ProofRenewer } from './proof-renewer.js';
import type { StoreView } from '../store/store-view.js';

type SyncAsk = FrameOf<FrameKind.SyncRequest>;
type SyncReply = FrameOf<FrameKind.SyncReply>;

/**
 * Difference in age from which two proofs are taken for different ones, milliseconds: far above the way between
 * two hosts, by which the age of the same proof seems to differ, and below the time between two reads.
 */
const MISSED_PROOF_MS = 100;

/** What the answers are made of. */
export interface SyncResponderOptions {
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly proofs: Pick<ProofRenewer, 'forwardableTo'>;
}

/** A question that waits. */
interface HeldAsk {
  readonly link: PeerLink;
  readonly ask: SyncAsk;
  readonly arrivedAt: number;
}

/** Answering side of one host. */
export class SyncResponder implements PeerHandler {
  private held: HeldAsk[] = [];

  constructor(private readonly options: SyncResponderOptions) {
    const { board, view } = options;
    board.onChange(BoardSection.Proof, () => {
      this.answerWhere(() => true);
    });
    // A changed record is awaited by callers; other news wait for the next tick, so that many go together.
    board.onChange(BoardSection.Records, () => {
      this.answerWhere(({ ask }) => isLater(view.newest, ask.heard));
    });
  }

  /** Answers at `now` what has waited long enough or asks for news that there are. */
  tick(now: number): void {
    const { view } = this.options;
    this.answerWhere(
      ({ ask, arrivedAt }) => isLater(view.newest, ask.heard) || now - arrivedAt >= ask.waitMs,
    );
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.SyncRequest) return;
    const held = { link, ask: frame, arrivedAt: performance.now() };
    if (frame.waitMs > 0 && !this.hasNewerProof(held)) this.held.push(held);
    else this.answer(held);
  }

  onLost(link: PeerLink): void {
    this.held = this.held.filter((held) => held.link !== link);
  }

  /** Whether the asker has missed the proof that this host holds already. */
  private hasNewerProof({ ask, arrivedAt }: HeldAsk): boolean {
    const proof = this.options.proofs.forwardableTo(ask.host, ask.incarnation);
    if (proof === undefined) return false;
    if (ask.proofAgeMs === undefined) return true;
    return proof.sentAt > arrivedAt - ask.proofAgeMs + MISSED_PROOF_MS;
  }

  private answerWhere(isDue: (held: HeldAsk) => boolean): void {
    const due = this.held.filter(isDue);
    if (due.length === 0) return;
    this.held = this.held.filter((held) => !due.includes(held));
    for (const held of due) this.answer(held);
  }

  private answer({ link, ask, arrivedAt }: HeldAsk): void {
    const { view } = this.options;
    const reply: SyncReply = {
      kind: FrameKind.SyncReply,
      id: ask.id,
      position: view.position,
      newest: view.newest,
      documentsPosition: view.documentsPosition,
    };
    const own = view.ownChangesSince(ask.ownPosition);
    if (own !== undefined) {
      reply.own = { ...own, items: [...own.items], removed: [...own.removed] };
    }
    const documentsAgeMs = arrivedAt - view.lastCurrentAt;
    if (Number.isFinite(documentsAgeMs)) reply.documentsAgeMs = documentsAgeMs;
    const proof = this.proofFor(ask, arrivedAt);
    // The word of other hosts counts only together with the claims that they told of.
    const isComplete = own !== undefined || proof?.isFromStore === true;
    if (proof !== undefined && isComplete) reply.proof = proof;
    link.send(reply);
  }

  /** The proof that may be passed on to the asker; undefined if it was not listed then. */
  private proofFor(ask: SyncAsk, arrivedAt: number): SyncReply['proof'] {
    const proof = this.options.proofs.forwardableTo(ask.host, ask.incarnation);
    if (proof === undefined) return undefined;
    const { sentAt, position, isFromStore } = proof;
    return { ageMs: arrivedAt - sentAt, position, isFromStore };
  }
}
