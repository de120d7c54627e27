/**
 * Renews this host's proof by way of the other hosts while the store does not answer. A round asks all
 * listed hosts, and counts if more than half of them answer. Few hosts of a zone ask; the rest get the
 * proof from them, and ask for themselves only once that is late.
 */
import type { AuthorityRules } from '@gladespool/coordination';
import { hostId, renewalCounts } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../board.js';
import type { PeerCalls } from './peer-calls.js';
import type { ProofKeeper } from './proof-keeper.js';
import type { RelayOrder } from './relay-order.js';
import type { StoreView } from './store-view.js';

/** What the renewer works on. */
export interface PeerRenewerOptions {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly order: RelayOrder;
  readonly proofs: ProofKeeper;
  readonly calls: PeerCalls;
  readonly authority: AuthorityRules;
  readonly log: Logger;
}

/** Age of a proof from which it is renewed by way of others, milliseconds; usual ages reach 0.5 s. */
const RENEW_AT_MS = 650;
/** Time between two rounds, milliseconds; after rounds that did not count it doubles up to the last. */
const INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 800;
/** Hosts of each zone that ask all others; the others of the zone get the proof from them. */
const ASKING_HOSTS = 2;
/** Age from which any host asks for itself, milliseconds: those before it should have helped by then. */
const RENEW_ALONE_AT_MS = 850;
/** Time between two rounds of such a host once its proof has run out, milliseconds. */
const ALONE_INTERVAL_MS = 3000;
/** Longest time for an answer, milliseconds. */
const TIMEOUT_MS = 200;

/** Renewals of one host. */
export class PeerRenewer implements PeerHandler {
  /** Whether a round is under way. */
  private asking = false;
  private lastAskAt = Number.NEGATIVE_INFINITY;
  private intervalMs = INTERVAL_MS;
  /** Whether the latest round counted and the store has not renewed the proof since. */
  private renewing = false;

  constructor(private readonly options: PeerRenewerOptions) {}

  /** Starts a round if one is due at `now`. */
  tick(now: number): void {
    const { board } = this.options;
    if (now - board.provenSince < RENEW_AT_MS) {
      this.noteStore(now);
      return;
    }
    if (this.asking || now - this.lastAskAt < this.pauseAt(now)) return;
    this.lastAskAt = now;
    void this.round(now);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.RenewAsk) return;
    const { self, view, board } = this.options;
    const isListed = board.hosts.get(hostId(frame.host))?.incarnation === frame.incarnation;
    if (board.draining || !isListed) return;
    const { host, incarnation } = self;
    const items = [...view.recordItems()];
    link.send({ kind: FrameKind.RenewReply, id: frame.id, host, incarnation, items });
  }

  onLost(): void {
    // A lost link is an answer that did not come.
  }

  /** Time between two rounds at `now`; hosts of a lower rank leave most of them to those before them. */
  private pauseAt(now: number): number {
    const { order, board, authority } = this.options;
    if (order.rank < ASKING_HOSTS) return this.intervalMs;
    if (board.isIsolated(now, authority)) return ALONE_INTERVAL_MS;
    const isLate = now - board.provenSince >= RENEW_ALONE_AT_MS;
    return isLate ? INTERVAL_MS : Number.POSITIVE_INFINITY;
  }

  private async round(sentAt: number): Promise<void> {
    const { proofs, board, self } = this.options;
    const list = proofs.newestList;
    if (list?.hosts.get(self.host) !== self.incarnation) return;
    this.asking = true;
    const others = [...list.hosts].filter(([host]) => host !== self.host);
    const supports = await Promise.all(
      others.map(([host, incarnation]) => this.supportOf(board.hosts.get(host), incarnation)),
    );
    this.asking = false;
    const answered = 1 + supports.filter((supported) => supported).length;
    const renewal = { listed: list.hosts.size, answered, listReadAt: list.readAt };
    const counts = renewalCounts(renewal, performance.now(), this.options.authority);
    this.noteRound(counts, answered, list.hosts.size);
    this.intervalMs = counts ? INTERVAL_MS : Math.min(MAX_INTERVAL_MS, this.intervalMs * 2);
    if (counts) proofs.noteRenewal(sentAt, list);
  }

  /** Whether a host answered as the very process that is listed; what it knows is taken over. */
  private async supportOf(entry: HostEntry | undefined, incarnation: number): Promise<boolean> {
    if (entry === undefined) return false;
    const { calls, view, self } = this.options;
    const { host, incarnation: own } = self;
    const ask = (id: number) => ({ kind: FrameKind.RenewAsk, id, host, incarnation: own }) as const;
    const answer = await calls.ask(entry, ask, TIMEOUT_MS);
    if (answer.isErr() || answer.value.kind !== FrameKind.RenewReply) return false;
    view.takeItems(answer.value.items, performance.now());
    return answer.value.host === entry.host && answer.value.incarnation === incarnation;
  }

  private noteRound(counts: boolean, answered: number, listed: number): void {
    if (counts === this.renewing) return;
    this.renewing = counts;
    this.options.log.info(counts ? 'proof-renewed-by-hosts' : 'proof-not-renewed', {
      answered,
      listed,
    });
  }

  private noteStore(now: number): void {
    if (!this.renewing || now - this.options.proofs.listedAt > RENEW_AT_MS) return;
    this.renewing = false;
    this.options.log.info('proof-renewed-by-store');
  }
}
