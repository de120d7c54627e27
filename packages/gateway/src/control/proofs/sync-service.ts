/**
 * Keeps this host's proof and documents up to date through other hosts: one host of the deployment reads the
 * store, the first host of each zone polls that one, and the others poll the first host of their zone. Requests
 * wait at the other host until it has something newer (long poll). A host whose source fails sends requests to
 * others that may still reach the store, and each host reads the store itself if those before it in the relay
 * order fail to keep it up to date.
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
import type { HostListTracker } from '../hosts/host-list-tracker.js';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { ProofRenewer } from './proof-renewer.js';
import { ProofOutcome, ProofDiagnostics } from './proof-diagnostics.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';
import type { StoreFollower } from '../store/store-follower.js';
import type { StoreView } from '../store/store-view.js';

type SyncReply = FrameOf<FrameKind.SyncReply>;

/** Timing of the synchronization. */
export interface SyncRules {
  /** Time for which a request waits for updates at the other host, milliseconds. */
  readonly waitMs: number;
  /** Interval between two rounds of fallback requests while this host is out of date, milliseconds. */
  readonly intervalMs: number;
  /** Timeout of a request that does not wait; added to `waitMs` for one that does, milliseconds. */
  readonly timeoutMs: number;
  /** Age of proof or documents from which a host also sends requests to others, milliseconds. */
  readonly staleMs: number;
  /** Delay per rank in a zone's relay order before a host reads the store itself, milliseconds. */
  readonly rankStepMs: number;
  /** Time for which a host that had to read the store continues to do so, milliseconds. */
  readonly fallbackReadMs: number;
}

/**
 * 400 ms: a third more than the interval between two reads of the store, so that a reply usually carries the next
 * proof. Usual ages reach 0.35 s: 300 ms between two reads, and the latency of two hops. 500 ms: half of a proof's
 * lifetime is left then. 50 ms per rank: hosts read the store themselves one after the other, since every call to
 * it is billed. 3 s: a host that was killed has restarted by then.
 */
export const DEFAULT_SYNC_RULES: SyncRules = {
  waitMs: 400,
  intervalMs: 180,
  timeoutMs: 250,
  staleMs: 500,
  rankStepMs: 50,
  fallbackReadMs: 3000,
};

/** Number of hosts after the first that continue to read the store once they had to; later ones read it less often. */
const FALLBACK_READERS = 2;
/** Factor of the interval between two reads after a change of the host list: new hosts wait for their first proof. */
const HURRIED_PACE = 0.2;
/** Added to the age that documents may have, milliseconds: they are fetched separately, unlike proofs. */
const DOCUMENTS_EXTRA_AGE_MS = 1000;
/** Number of hosts of its own zone to which a stale host sends requests, the first ones in the relay order. */
const FALLBACK_RELAYS = 3;

/** Dependencies of the service. */
export interface SyncServiceOptions {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly proofs: ProofRenewer;
  readonly follower: StoreFollower;
  readonly order: RelayOrder;
  readonly documents: DocumentExchange;
  readonly lists: Pick<HostListTracker, 'zoneListsToSend' | 'acceptSettled'>;
  readonly calls: PeerCalls;
  readonly loop: Pick<EventLoopMonitor, 'pausedMsSince'>;
  /** Addresses of hosts to contact before any host is known. */
  readonly seeds: readonly PeerAddress[];
  readonly rules: SyncRules;
  readonly log: Logger;
}

/** Requesting side of the sync protocol. */
export class SyncService implements PeerHandler {
  private lastRoundAt = Number.NEGATIVE_INFINITY;
  /** Local time until which this host reads the store in place of those before it. */
  private fallbackReadUntil = Number.NEGATIVE_INFINITY;
  /** Round-robin counter over hosts of other zones, seeds and hosts to fetch the configuration from. */
  private turn = 0;
  /** The host whose reply last brought this one up to date. */
  private lastHelper: PeerAddress | undefined;
  /** Position of the latest change that any reply reported. */
  private newestKnown = STORE_START;
  /** Whether a request waits at this host's parent. */
  private isWaiting = false;
  /** Whether the host list has changed since this host's latest read began. */
  private listChanged = false;
  private stopped = false;
  /** Local time before which the configuration is not requested from another host. */
  private fetchNotBefore = Number.NEGATIVE_INFINITY;
  private readonly startedAt = performance.now();
  private readonly diagnostics = new ProofDiagnostics();
  /** Whether the proof or the documents were stale at the latest check. */
  private wasLate = false;

  constructor(private readonly options: SyncServiceOptions) {
    // Newly listed hosts hold no proof before there is one that covers them.
    options.board.onChange(BoardSection.Hosts, () => {
      this.listChanged = true;
      this.syncFromParentOrStore(performance.now());
    });
  }

  /** Registers this host if necessary, and polls its parent or reads the store, at `now`. */
  tick(now: number): void {
    if (!this.isListed) void this.register();
    this.syncFromParentOrStore(now);
    if (this.options.view.awaitsCatalog && now >= this.fetchNotBefore) void this.fetchCatalog(now);
  }

  /** Reads the store itself and sends requests to further hosts if updates are late at `now`. */
  syncFromFallbacks(now: number): void {
    const { proofs, rules } = this.options;
    const { isReader } = this;
    this.noteLateness(now);
    if (!isReader && this.isListed) this.readAsFallback(now);
    const isLate = this.isStale(now) || (isReader && proofs.failing);
    if (!isLate || now - this.lastRoundAt < rules.intervalMs) return;
    this.lastRoundAt = now;
    for (const peer of this.fallbackPeers(now)) void this.request(peer, 0);
  }

  /** Reads the store once, and registers this host based on what it has read. */
  private async register(): Promise<void> {
    const { proofs, follower, view } = this.options;
    if (!view.hasLoaded) await follower.readOnce();
    if (view.hasLoaded) await proofs.register();
  }

  /** Requests the configuration from the other hosts in turn. */
  private async fetchCatalog(now: number): Promise<void> {
    const { board, documents, rules } = this.options;
    this.fetchNotBefore = now + rules.waitMs;
    this.turn += 1;
    const peer = roundRobin(
      [...board.hosts.values()].filter(({ host }) => host !== board.host),
      this.turn,
    );
    if (peer !== undefined) await documents.fetch(peer, STORE_START);
  }

  /** Reads the store if this host is the reader for all others; otherwise polls the parent. */
  private syncFromParentOrStore(now: number): void {
    const { proofs, follower, order } = this.options;
    const { isReader } = this;
    const { parent } = order;
    follower.setActive(isReader);
    if (isReader) {
      if (proofs.tick(now, this.listChanged ? HURRIED_PACE : 1)) this.listChanged = false;
      return;
    }
    if (parent !== undefined && !this.isWaiting) void this.pollParent(parent);
  }

  private get isReader(): boolean {
    return this.options.order.parent === undefined && this.isListed;
  }

  private get isListed(): boolean {
    const { board, self } = this.options;
    return board.hosts.get(self.host)?.incarnation === self.incarnation;
  }

  /** Stops sending requests. */
  stop(): void {
    this.stopped = true;
  }

  onFrame(_link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.StoreUpdate) return;
    this.options.view.applyItems(frame.items, performance.now());
  }

  onLost(): void {
    // A request on a lost link ends without a reply; the next tick sends another.
  }

  /**
   * Whether documents or proof have not been renewed for too long. Both are checked, since a proof can be renewed
   * by hosts that do not reach the store either, and shows nothing about the documents.
   */
  private isStale(now: number): boolean {
    return this.ageAt(now) > this.options.rules.staleMs;
  }

  /** Logs when this host's proof or documents become stale, with how the latest proofs arrived. */
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
      ...this.diagnostics.logFields(now),
    });
  }

  /** Age of the older of proof and documents, not counting pauses of this process, milliseconds. */
  private ageAt(now: number): number {
    const { board, view, loop } = this.options;
    const since = Math.min(board.latestProofAt, view.lastCurrentAt + DOCUMENTS_EXTRA_AGE_MS);
    return now - since - loop.pausedMsSince(since);
  }

  /** The same, at most the time since this host started: those before it may still bring it up to date. */
  private latenessAt(now: number): number {
    return Math.min(this.ageAt(now), now - this.startedAt);
  }

  /**
   * Reads the store if the hosts before this one in the relay order do not keep it up to date; the first few
   * continue for a while once they had to. The later a host is in the order, the less often it reads: if the store
   * is unreachable, a whole zone would otherwise send it requests without success.
   */
  private readAsFallback(now: number): void {
    const { order, proofs, rules } = this.options;
    const { rank } = order;
    const isLate = this.latenessAt(now) > rules.staleMs + rank * rules.rankStepMs;
    if (isLate && rank <= FALLBACK_READERS) this.fallbackReadUntil = now + rules.fallbackReadMs;
    if (isLate || now < this.fallbackReadUntil)
      proofs.tick(now, Math.max(1, rank - FALLBACK_READERS));
  }

  /** The first hosts of the zone, the last helper, a seed if no host is known, and a host of fallback zones in turn. */
  private fallbackPeers(now: number): readonly PeerAddress[] {
    const { board, seeds, order } = this.options;
    this.turn += 1;
    const others = order.hosts.filter((entry) => entry.host !== board.host);
    const zonesOfHosts = [...new Set([...board.hosts.values()].map((entry) => entry.az))];
    const zones = fallbackZones(board.az, zonesOfHosts, board.topology, this.ageAt(now));
    const az = roundRobin(zones, this.turn);
    const seed = board.hosts.size > 1 ? undefined : roundRobin(seeds, this.turn);
    const lastHelper = this.lastHelperIn(zones);
    return distinct([...others.slice(0, FALLBACK_RELAYS), lastHelper, seed, this.nextHostOf(az)]);
  }

  /** The host that helped last, unless it is known to be in none of `zones`. */
  private lastHelperIn(zones: readonly AzId[]): PeerAddress | undefined {
    const { lastHelper } = this;
    if (lastHelper === undefined) return undefined;
    const az = this.options.board.hosts.get(hostId(lastHelper.host))?.az;
    return az === undefined || zones.includes(az) ? lastHelper : undefined;
  }

  private nextHostOf(az: AzId | undefined): HostEntry | undefined {
    const { board } = this.options;
    const others = [...board.hosts.values()].filter(
      (entry) => entry.az === az && entry.host !== board.host,
    );
    return roundRobin(others, this.turn);
  }

  /** Polls the parent for updates, again and again as long as replies carry updates or the full wait has passed. */
  private async pollParent(parent: PeerAddress): Promise<void> {
    const { waitMs } = this.options.rules;
    this.isWaiting = true;
    let next: PeerAddress | undefined = parent;
    while (next !== undefined) {
      const requestedAt = performance.now();
      const knownBefore = this.newestKnown;
      const renewed = await this.request(next, waitMs);
      const hasUpdates = renewed || isLater(this.newestKnown, knownBefore);
      const hasWaited = performance.now() - requestedAt >= waitMs;
      next = hasUpdates || hasWaited ? this.parentToPoll() : undefined;
    }
    this.isWaiting = false;
  }

  private parentToPoll(): PeerAddress | undefined {
    return this.stopped ? undefined : this.options.order.parent;
  }

  /** @returns whether a reply renewed this host's proof */
  private async request(peer: PeerAddress, waitMs: number): Promise<boolean> {
    const { self, view, calls, board, lists, rules } = this.options;
    const sentAt = performance.now();
    const zoneLists = lists.zoneListsToSend(sentAt);
    const { host, incarnation } = self;
    const { latestProofAt } = board;
    if (waitMs > 0) this.diagnostics.noteRequest(sentAt);
    const request = {
      host,
      incarnation,
      ownPosition: view.ownPosition,
      heard: laterOf(this.newestKnown, view.newest),
      waitMs,
      ...(Number.isFinite(latestProofAt) && { proofAgeMs: sentAt - latestProofAt }),
      ...(zoneLists.length > 0 && { zoneLists }),
    };
    const result = await calls.request(
      peer,
      (id) => ({ kind: FrameKind.SyncRequest, id, ...request }),
      waitMs + rules.timeoutMs,
      { longPollMs: waitMs },
    );
    // `PeerCalls` keeps track of unresponsive hosts itself.
    if (result.isErr() || result.value.kind !== FrameKind.SyncReply || this.stopped) return false;
    this.acceptReply(result.value, peer, sentAt);
    if (!this.isStale(performance.now())) this.lastHelper = peer;
    return board.latestProofAt > latestProofAt;
  }

  /** Applies the reply to a request that was sent at `sentAt`. */
  private acceptReply(reply: SyncReply, peer: PeerAddress, sentAt: number): void {
    const { view, documents, lists } = this.options;
    const { own, proof, documentsAgeMs, settledList } = reply;
    if (settledList !== undefined) lists.acceptSettled(settledList);
    this.newestKnown = laterOf(this.newestKnown, reply.newest);
    if (own !== undefined) view.applyOwnChanges(own, performance.now());
    if (own !== undefined && !isLater(reply.documentsPosition, view.position)) {
      view.markOnlyOwnChanged(reply.position);
    } else if (isLater(reply.position, view.position)) {
      void documents.fetch(peer);
    }
    const isComplete = !isLater(reply.position, view.position);
    if (isComplete && documentsAgeMs !== undefined) view.markCurrent(sentAt - documentsAgeMs);
    // Accepting the proof triggers the replies to requests that wait here; those report the age of the documents.
    if (proof === undefined) this.diagnostics.noteReply(performance.now(), ProofOutcome.None);
    else this.acceptProof(proof, sentAt);
  }

  /** Accepts the proof in the reply to a request that was sent at `requestedAt`. */
  private acceptProof(proof: NonNullable<SyncReply['proof']>, requestedAt: number): void {
    const { view, proofs } = this.options;
    const { ageMs, position, isFromStore } = proof;
    // The age counts from the arrival of the request, which was not before its sending.
    const sentAt = requestedAt - ageMs;
    const now = performance.now();
    if (isLater(position, view.ownPosition)) {
      this.diagnostics.noteReply(now, ProofOutcome.AheadOfDocuments, now - sentAt);
      return;
    }
    this.diagnostics.noteReply(now, ProofOutcome.Accepted, now - sentAt);
    proofs.acceptProof({ sentAt, position, isFromStore });
  }
}

function roundRobin<Value>(values: readonly Value[], turn: number): Value | undefined {
  return values[turn % Math.max(1, values.length)];
}

function distinct(peers: readonly (PeerAddress | undefined)[]): readonly PeerAddress[] {
  return [...new Set(peers.filter((peer) => peer !== undefined))];
}
