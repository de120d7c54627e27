/**
 * Renews this host's proof by way of the other hosts while the store does not answer. A round asks all
 * listed hosts, and counts if more than half of them answer. Mostly one host of the deployment asks; the
 * rest get the proof from it, and ask for themselves only once that is late.
 */
import type { AuthorityRules, EventLoopMonitor } from '@gladespool/coordination';
import { hostId, isRenewalValid, renewalDueAge, renewalIntervalMs } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { HostRound, RoundReply } from '../hosts/host-round.js';
import type { HostList } from './forwardable-proof.js';
import type { ProofRenewer } from './proof-renewer.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';
import type { StoreView } from '../store/store-view.js';

/** What the renewer works on. */
export interface PeerProofRenewerOptions {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly order: RelayOrder;
  readonly proofs: ProofRenewer;
  readonly round: HostRound;
  readonly loop: Pick<EventLoopMonitor, 'pausedMsSince'>;
  readonly authority: AuthorityRules;
  readonly log: Logger;
}

/** Longest time for a round, milliseconds. */
const TIMEOUT_MS = 200;

/** Renewals of one host. */
export class PeerProofRenewer implements PeerHandler {
  /** Whether a round is under way. */
  private asking = false;
  private lastAskAt = Number.NEGATIVE_INFINITY;
  /** Rounds in a row that did not count. */
  private failed = 0;
  /** Whether the latest round counted and the store has not renewed the proof since. */
  private renewing = false;

  constructor(private readonly options: PeerProofRenewerOptions) {}

  /** Starts a round if one is due at `now`. */
  tick(now: number): void {
    const { board, order, loop } = this.options;
    const place = { zone: order.zoneRank, rank: order.rank };
    const ageMs = now - board.latestProofAt - loop.pausedMsSince(board.latestProofAt);
    if (ageMs < renewalDueAge(place, board.topology.isMultiRegion)) {
      if (ageMs < this.firstDueAge) this.noteStore(now);
      return;
    }
    const isIsolated = board.isIsolated(now, this.options.authority);
    const pauseMs = renewalIntervalMs(place, this.failed, isIsolated);
    if (this.asking || now - this.lastAskAt < pauseMs) return;
    this.lastAskAt = now;
    void this.renew(now);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.RenewRequest) return;
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

  private async renew(sentAt: number): Promise<void> {
    const { proofs, self, round } = this.options;
    const list = proofs.latestHostList;
    if (list?.hosts.get(self.host) !== self.incarnation) return;
    this.asking = true;
    const { host, incarnation } = self;
    const question = { kind: FrameKind.RenewRequest, id: 0, host, incarnation } as const;
    let answered = 1;
    await round.requestAll(question, TIMEOUT_MS, (answer) => {
      if (this.takeSupport(answer, list)) answered += 1;
    });
    this.asking = false;
    const renewal = { listed: list.listed, answered, listReadAt: list.readAt };
    const counts = isRenewalValid(renewal, performance.now(), this.options.authority);
    this.noteRound(counts, answered, list.listed);
    this.failed = counts ? 0 : this.failed + 1;
    if (counts) proofs.acceptPeerRenewal(sentAt, list);
  }

  /** Whether a host answered as the very process that is listed; what it knows is taken over. */
  private takeSupport({ host, incarnation, items }: RoundReply, list: HostList): boolean {
    if (list.hosts.get(host) !== incarnation) return false;
    this.options.view.applyItems(items, performance.now());
    return true;
  }

  private noteRound(counts: boolean, answered: number, listed: number): void {
    if (counts === this.renewing) return;
    this.renewing = counts;
    this.options.log.info(counts ? 'proof-renewed-by-hosts' : 'proof-not-renewed', {
      answered,
      listed,
    });
  }

  /** Age of a proof from which the first of all hosts asks, milliseconds. */
  private get firstDueAge(): number {
    return renewalDueAge({ zone: 0, rank: 0 }, this.options.board.topology.isMultiRegion);
  }

  private noteStore(now: number): void {
    const { listedAt } = this.options.proofs;
    if (!this.renewing || now - listedAt > this.firstDueAge) return;
    this.renewing = false;
    this.options.log.info('proof-renewed-by-store');
  }
}
