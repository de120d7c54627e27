/**
 * Renews this host's proof through the other hosts while the store does not reply. A round sends a request to all
 * listed hosts, and is valid if more than half of them reply. Usually one host of the deployment runs the rounds;
 * the rest receive the proof from it, and run rounds of their own only once that is late.
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

/** Dependencies of the renewer. */
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

/** Timeout of a round, milliseconds. */
const TIMEOUT_MS = 200;

/** Renews the proof of one host through its peers. */
export class PeerProofRenewer implements PeerHandler {
  /** Whether a round is in progress. */
  private isRunning = false;
  private lastRoundAt = Number.NEGATIVE_INFINITY;
  /** Number of consecutive rounds without a majority. */
  private failedRounds = 0;
  /** Whether the latest round was valid and the store has not renewed the proof since. */
  private isRenewing = false;

  constructor(private readonly options: PeerProofRenewerOptions) {}

  /** Starts a round if one is due at `now`. */
  tick(now: number): void {
    const { board, order, loop } = this.options;
    const place = { zone: order.zoneRank, rank: order.rank };
    const ageMs = now - board.latestProofAt - loop.pausedMsSince(board.latestProofAt);
    if (ageMs < renewalDueAge(place, board.topology.isMultiRegion)) {
      if (ageMs < this.firstDueAge) this.noteStoreRenewal(now);
      return;
    }
    const isIsolated = board.isIsolated(now, this.options.authority);
    const pauseMs = renewalIntervalMs(place, this.failedRounds, isIsolated);
    if (this.isRunning || now - this.lastRoundAt < pauseMs) return;
    this.lastRoundAt = now;
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
    // A request on a lost link times out.
  }

  private async renew(sentAt: number): Promise<void> {
    const { self, round } = this.options;
    if (this.findOwnList() === undefined) return;
    this.isRunning = true;
    const { host, incarnation } = self;
    const request = { kind: FrameKind.RenewRequest, id: 0, host, incarnation } as const;
    const replies: RoundReply[] = [];
    await round.requestAll(request, TIMEOUT_MS, (reply) => {
      this.options.view.applyItems(reply.items, performance.now());
      replies.push(reply);
    });
    this.isRunning = false;
    // Once this host has told others that it has a newer list, no claim reckons with a renewal by the former one.
    const list = this.findOwnList();
    if (list === undefined) return;
    const answered = 1 + replies.filter((reply) => isFromListed(reply, list)).length;
    const renewal = { listed: list.listed, answered, listReadAt: list.readAt };
    const isValid = isRenewalValid(renewal, performance.now(), this.options.authority);
    this.noteRound(isValid, answered, list.listed);
    this.failedRounds = isValid ? 0 : this.failedRounds + 1;
    if (isValid) this.options.proofs.acceptPeerRenewal(sentAt, list);
  }

  /** The latest list of hosts if this process is on it. */
  private findOwnList(): HostList | undefined {
    const { proofs, self } = this.options;
    const list = proofs.latestHostList;
    return list?.hosts.get(self.host) === self.incarnation ? list : undefined;
  }

  private noteRound(isValid: boolean, answered: number, listed: number): void {
    if (isValid === this.isRenewing) return;
    this.isRenewing = isValid;
    this.options.log.info(isValid ? 'proof-renewed-by-hosts' : 'proof-not-renewed', {
      answered,
      listed,
    });
  }

  /** Age of the proof from which the first of all hosts starts a round, milliseconds. */
  private get firstDueAge(): number {
    return renewalDueAge({ zone: 0, rank: 0 }, this.options.board.topology.isMultiRegion);
  }

  private noteStoreRenewal(now: number): void {
    const { listedAt } = this.options.proofs;
    if (!this.isRenewing || now - listedAt > this.firstDueAge) return;
    this.isRenewing = false;
    this.options.log.info('proof-renewed-by-store');
  }
}

/** Whether the reply is from the very process that is listed. */
function isFromListed({ host, incarnation }: RoundReply, list: HostList): boolean {
  return list.hosts.get(host) === incarnation;
}
