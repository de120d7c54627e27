/**
 * Keeps this host's proof and documents up to date by way of other hosts: one host of the deployment reads
 * the store, the first host of each zone asks that one, and the others ask the first host of their zone.
 * Questions wait at the other host until it has something newer. Whoever loses the store asks any host
 * that still has it, and hosts stand in for those before them in order.
 */
import type { AzId, EventLoopMonitor } from '@gladespool/coordination';
import { hostId, isLater, laterOf, STORE_START, fallbackZones } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerAddress, PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import { BoardSection } from '../../knowledge/board.js';
import type { DocumentExchange } from '../store/document-exchange.js';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { ProofRenewer } from './proof-renewer.js';
import { ProofOutcome, ProofDiagnostics } from './proof-diagnostics.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';
import type { StoreFollower } from '../store/store-follower.js';
import type { StoreView } from '../store/store-view.js';

type SyncReply = FrameOf<FrameKind.SyncReply>;

/** Times of the passing on. */
export interface SyncRules {
  /** Time for which a question waits for news at the host asked, milliseconds. */
  readonly waitMs: number;
  /** Time between two questions while nothing comes of them, milliseconds. */
  readonly intervalMs: number;
  /** Longest time for an answer that need not wait, milliseconds. */
  readonly timeoutMs: number;
  /** Age of proof or documents from which a host also asks others, milliseconds. */
  readonly staleMs: number;
  /** Added for each place in a zone's order before a host reads the store itself, milliseconds. */
  readonly rankStepMs: number;
  /** Time for which a host that had to read the store goes on doing so, milliseconds. */
  readonly fallbackReadMs: number;
}

/**
 * 400 ms: a third more than the time between two reads of the store, so that an answer mostly brings the
 * next one. Usual ages reach 0.35 s: 300 ms between two reads, and the way over two hosts. 500 ms: half of
 * a proof's life is left then. Hosts that read the store themselves do so one after the other, since
 * every call is paid for. 3 s: a host that was killed is back by then.
 */
export const DEFAULT_SYNC_RULES: SyncRules = {
  waitMs: 400,
  intervalMs: 180,
  timeoutMs: 250,
  staleMs: 500,
  rankStepMs: 50,
  fallbackReadMs: 3000,
};

/** Hosts after the first that go on reading the store once they had to; later ones read it now and then. */
const STAND_INS = 2;
/** Part of the usual time between two reads after which the store is read again for hosts that are new on the list. */
const HURRIED_PACE = 0.2;
/** Added to the age that documents may have, milliseconds: they are fetched apart, unlike proofs. */
const FETCH_MS = 1000;
/** Hosts of the own zone that a host asks while it is stale, the first ones in order. */
const RELAYS_ASKED = 3;

/** What the service works on. */
export interface SyncServiceOptions {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly proofs: ProofRenewer;
  readonly follower: StoreFollower;
  readonly order: RelayOrder;
  readonly documents: DocumentExchange;
  readonly calls: PeerCalls;
  readonly loop: Pick<EventLoopMonitor, 'pausedMsSince'>;
  /** Hosts to ask before any is known. */
  readonly seeds: readonly PeerAddress[];
  readonly rules: SyncRules;
  readonly log: Logger;
}

/** Asking side of one host. */
export class SyncService implements PeerHandler {
  private lastAskAt = Number.NEGATIVE_INFINITY;
  /** Until when this host reads the store in place of those before it. */
  private standInUntil = Number.NEGATIVE_INFINITY;
  /** Number of rounds of questions while stale; hosts of other zones are asked in turn by it. */
  private turn = 0;
  /** The host whose answer last made this one current. */
  private helpful: PeerAddress | undefined;
  /** Position of the latest change that any answer told of. */
  private heard = STORE_START;
  /** Whether a question waits at this host's parent. */
  private waiting = false;
  /** Whether the list of hosts has changed since the latest read of this host began. */
  private listChanged = false;
  private stopped = false;
  /** Local time before which no other host is asked for its configuration. */
  private fetchNotBefore = Number.NEGATIVE_INFINITY;
  private readonly startedAt = performance.now();
  private readonly trail = new ProofDiagnostics();
  /** Whether the proof was late when it was last looked at. */
  private wasLate = false;

  constructor(private readonly options: SyncServiceOptions) {
    // Hosts that are new on the list hold no proof before there is one that covers them.
    options.board.onChange(BoardSection.Hosts, () => {
      this.listChanged = true;
      this.keepUp(performance.now());
    });
  }

  /** Does this host's part at `now`. */
  tick(now: number): void {
    if (!this.isListed) void this.enlist();
    this.keepUp(now);
    if (this.options.view.awaitsCatalog && now >= this.fetchNotBefore) void this.fetchCatalog(now);
  }

  /** Reads the store itself and asks further hosts if news are late at `now`. */
  syncFromFallbacks(now: number): void {
    const { proofs, rules } = this.options;
    const { isReader } = this;
    this.noteLateness(now);
    if (!isReader && this.isListed) this.standIn(now);
    const isLate = this.isStale(now) || (isReader && proofs.failing);
    if (!isLate || now - this.lastAskAt < rules.intervalMs) return;
    this.lastAskAt = now;
    for (const peer of this.helpers(now)) void this.ask(peer, 0);
  }

  /** Reads the store once, and lists this host with what it has read. */
  private async enlist(): Promise<void> {
    const { proofs, follower, view } = this.options;
    if (!view.hasLoaded) await follower.readOnce();
    if (view.hasLoaded) await proofs.register();
  }

  /** Asks the other hosts in turn for the configuration that they knew. */
  private async fetchCatalog(now: number): Promise<void> {
    const { board, documents, rules } = this.options;
    this.fetchNotBefore = now + rules.waitMs;
    this.turn += 1;
    const peer = inTurn(
      [...board.hosts.values()].filter(({ host }) => host !== board.host),
      this.turn,
    );
    if (peer !== undefined) await documents.fetch(peer, STORE_START);
  }

  /** Reads the store for all others, or asks the parent, whichever is this host's part. */
  private keepUp(now: number): void {
    const { proofs, follower, order } = this.options;
    const { isReader } = this;
    const { parent } = order;
    follower.setActive(isReader);
    if (isReader) {
      if (proofs.tick(now, this.listChanged ? HURRIED_PACE : 1)) this.listChanged = false;
      return;
    }
    if (parent !== undefined && !this.waiting) void this.askParent(parent);
  }

  private get isReader(): boolean {
    return this.options.order.parent === undefined && this.isListed;
  }

  private get isListed(): boolean {
    const { board, self } = this.options;
    return board.hosts.get(self.host)?.incarnation === self.incarnation;
  }

  /** Asks no more. */
  stop(): void {
    this.stopped = true;
  }

  onFrame(_link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.StoreUpdate) return;
    this.options.view.applyItems(frame.items, performance.now());
  }

  onLost(): void {
    // The question that was lost with the link ends without an answer; the next tick asks again.
  }

  /**
   * Whether documents or proof have not been renewed for too long. A proof can be renewed by hosts that
   * don't reach the store either, so it says nothing about the documents.
   */
  private isStale(now: number): boolean {
    return this.ageAt(now) > this.options.rules.staleMs;
  }

  /** Tells when this host's proof becomes late, and how its latest ones came. */
  private noteLateness(now: number): void {
    const { board, view, proofs, log } = this.options;
    const isLate = this.isStale(now);
    if (isLate === this.wasLate || !Number.isFinite(view.lastCurrentAt)) return;
    this.wasLate = isLate;
    if (!isLate) return;
    log.info('proof-late', {
      proof_age_ms: Math.round(now - board.latestProofAt),
      documents_age_ms: Math.round(now - view.lastCurrentAt),
      read_ms_ago: proofs.msSinceRead(now),
      parent: this.options.order.parent?.host,
      ...this.trail.logFields(now),
    });
  }

  /** Age of what is older, proof or documents, by the time in which this process ran. */
  private ageAt(now: number): number {
    const { board, view, loop } = this.options;
    const since = Math.min(board.latestProofAt, view.lastCurrentAt + FETCH_MS);
    return now - since - loop.pausedMsSince(since);
  }

  /** The same, where a host that has just started is not late yet: those before it may still help. */
  private latenessAt(now: number): number {
    return Math.min(this.ageAt(now), now - this.startedAt);
  }

  /**
   * Reads the store where those before this host in order don't keep it up to date; the first ones go on
   * for a while once they had to. The later a host in order, the less often it reads: where the store
   * can't be reached, a whole zone would call it in vain.
   */
  private standIn(now: number): void {
    const { order, proofs, rules } = this.options;
    const { rank } = order;
    const isLate = this.latenessAt(now) > rules.staleMs + rank * rules.rankStepMs;
    if (isLate && rank <= STAND_INS) this.standInUntil = now + rules.fallbackReadMs;
    if (isLate || now < this.standInUntil) proofs.tick(now, Math.max(1, rank - STAND_INS));
  }

  /** The first hosts of the zone, the host that helped last, and one of another zone, each in turn. */
  private helpers(now: number): readonly PeerAddress[] {
    const { board, seeds, order } = this.options;
    this.turn += 1;
    const others = order.hosts.filter((entry) => entry.host !== board.host);
    const all = [...new Set([...board.hosts.values()].map((entry) => entry.az))];
    const zones = fallbackZones(board.az, all, board.topology, this.ageAt(now));
    const az = inTurn(zones, this.turn);
    const seed = board.hosts.size > 1 ? undefined : inTurn(seeds, this.turn);
    const helpful = this.helpfulIn(zones);
    return distinct([...others.slice(0, RELAYS_ASKED), helpful, seed, this.pick(az)]);
  }

  /** The host that helped last, unless it is known to stand in none of `zones`. */
  private helpfulIn(zones: readonly AzId[]): PeerAddress | undefined {
    const { helpful } = this;
    if (helpful === undefined) return undefined;
    const az = this.options.board.hosts.get(hostId(helpful.host))?.az;
    return az === undefined || zones.includes(az) ? helpful : undefined;
  }

  private pick(az: AzId | undefined): HostEntry | undefined {
    const { board } = this.options;
    const others = [...board.hosts.values()].filter(
      (entry) => entry.az === az && entry.host !== board.host,
    );
    return inTurn(others, this.turn);
  }

  /** Asks the parent for what is newer, and again once it has answered or the question has waited in vain. */
  private async askParent(parent: PeerAddress): Promise<void> {
    const { waitMs } = this.options.rules;
    this.waiting = true;
    let next: PeerAddress | undefined = parent;
    while (next !== undefined) {
      const askedAt = performance.now();
      const heardBefore = this.heard;
      const renewed = await this.ask(next, waitMs);
      const hasNews = renewed || isLater(this.heard, heardBefore);
      const hasWaited = performance.now() - askedAt >= waitMs;
      next = hasNews || hasWaited ? this.parentToAsk() : undefined;
    }
    this.waiting = false;
  }

  private parentToAsk(): PeerAddress | undefined {
    return this.stopped ? undefined : this.options.order.parent;
  }

  /** @returns whether an answer came that renewed this host's proof */
  private async ask(peer: PeerAddress, waitMs: number): Promise<boolean> {
    const { self, view, calls, board, rules } = this.options;
    const sentAt = performance.now();
    const { host, incarnation } = self;
    const { latestProofAt: provenSince } = board;
    if (waitMs > 0) this.trail.noteRequest(sentAt);
    const question = {
      host,
      incarnation,
      ownPosition: view.ownPosition,
      heard: laterOf(this.heard, view.newest),
      waitMs,
      ...(Number.isFinite(provenSince) && { proofAgeMs: sentAt - provenSince }),
    };
    const result = await calls.request(
      peer,
      (id) => ({ kind: FrameKind.SyncRequest, id, ...question }),
      waitMs + rules.timeoutMs,
      { longPollMs: waitMs },
    );
    // Who does not answer is noted by the calls themselves.
    if (result.isErr() || result.value.kind !== FrameKind.SyncReply || this.stopped) return false;
    this.take(result.value, peer, sentAt);
    if (!this.isStale(performance.now())) this.helpful = peer;
    return board.latestProofAt > provenSince;
  }

  /** Takes the answer to a question that was sent at `sentAt`. */
  private take(reply: SyncReply, peer: PeerAddress, sentAt: number): void {
    const { view, documents } = this.options;
    const { own, proof, documentsAgeMs } = reply;
    this.heard = laterOf(this.heard, reply.newest);
    if (own !== undefined) view.applyOwnChanges(own, performance.now());
    if (own !== undefined && !isLater(reply.documentsPosition, view.position)) {
      view.markOnlyOwnChanged(reply.position);
    } else if (isLater(reply.position, view.position)) {
      void documents.fetch(peer);
    }
    const isComplete = !isLater(reply.position, view.position);
    if (isComplete && documentsAgeMs !== undefined) view.markCurrent(sentAt - documentsAgeMs);
    // Questions that wait here are answered as the proof is taken, and their answers tell how old the documents are.
    if (proof === undefined) this.trail.noteReply(performance.now(), ProofOutcome.None);
    else this.takeProof(proof, sentAt);
  }

  /** Takes the proof in the answer to a question that was sent at `askedAt`. */
  private takeProof(proof: NonNullable<SyncReply['proof']>, askedAt: number): void {
    const { view, proofs } = this.options;
    const { ageMs, position, isFromStore } = proof;
    // The age counts from the arrival of the question, which was not before its sending.
    const sentAt = askedAt - ageMs;
    const now = performance.now();
    if (isLater(position, view.ownPosition)) {
      this.trail.noteReply(now, ProofOutcome.AheadOfDocuments, now - sentAt);
      return;
    }
    this.trail.noteReply(now, ProofOutcome.Taken, now - sentAt);
    proofs.acceptProof({ sentAt, position, isFromStore });
  }
}

function inTurn<Value>(values: readonly Value[], turn: number): Value | undefined {
  return values[turn % Math.max(1, values.length)];
}

function distinct(peers: readonly (PeerAddress | undefined)[]): readonly PeerAddress[] {
  return [...new Set(peers.filter((peer) => peer !== undefined))];
}
