/**
 * Renews this host's proof of who the primaries are, by reading its own entry from the store: the answer
 * shows that the host is listed, and up to which change the documents held have to be complete for
 * their records to be those of the store. Its cost does not grow with the number of hosts.
 */
import type { GladespoolError, StorePosition } from '@gladespool/coordination';
import { isLater, formatStorePosition } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { DocumentVerdict } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { MetadataStore, StoreEntry } from '../store/metadata-store.js';
import { StorePurpose } from '../store/metadata-store.js';
import type { HostList, ForwardableProof } from './forwardable-proof.js';
import type { HostRegistrar } from '../store/registrar.js';
import type { StoreFollower } from '../store/store-follower.js';
import { hostKey, OWN_PREFIX, readOwnDocument } from '../store/store-documents.js';
import type { StoreView } from '../store/store-view.js';

/** Times of the proofs' renewal. */
export interface ProofRules {
  /** Time between two reads, milliseconds: less than a third of a proof's life, so that two may fail. */
  readonly intervalMs: number;
  /** Longest time for one read, milliseconds. */
  readonly timeoutMs: number;
  /** Time for which the watch may bring the changes that a read showed, milliseconds. */
  readonly watchLagMs: number;
}

/** Times in force, for proofs that live 1 s. 60 ms: the watch answers within a few round trips of the store. */
export const DEFAULT_PROOF_RULES: ProofRules = { intervalMs: 300, timeoutMs: 700, watchLagMs: 60 };

/** Part of a tick by which a read may begin early, milliseconds; one that misses its tick waits for a whole one more. */
const TICK_SLACK_MS = 5;

/** What the keeper works on. */
export interface ProofRenewerOptions {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly store: MetadataStore;
  readonly view: StoreView;
  readonly follower: StoreFollower;
  readonly registrar: HostRegistrar;
  readonly rules: ProofRules;
  readonly log: Logger;
}

/** Reads this host's entry at intervals while that is wanted. */
export class ProofRenewer {
  /** Newest proof that may be passed on; undefined before the first. */
  forwardable: ForwardableProof | undefined;
  /** Whether the latest read got no answer. */
  failing = false;
  /** Local time at which the hosts on the board surely were the listed ones; -Infinity before. */
  listedAt = Number.NEGATIVE_INFINITY;
  private reading = false;
  private lastSentAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ProofRenewerOptions) {}

  /**
   * Starts a read if one is due at `now`, reads being `pace` times farther apart than usual.
   *
   * @returns whether it did
   */
  tick(now: number, pace = 1): boolean {
    const isDue = now - this.lastSentAt >= this.options.rules.intervalMs * pace - TICK_SLACK_MS;
    if (this.reading || !isDue) return false;
    void this.read();
    return true;
  }

  /**
   * Reads at once; resolves when this host holds every document of its own kind that the store had.
   *
   * @returns false when the store did not answer
   */
  async read(): Promise<boolean> {
    this.reading = true;
    const answered = await this.readOnce();
    this.reading = false;
    this.failing = !answered;
    return answered;
  }

  /** Time since this host's latest read began, milliseconds; undefined before the first. */
  msSinceRead(now: number): number | undefined {
    return Number.isFinite(this.lastSentAt) ? Math.round(now - this.lastSentAt) : undefined;
  }

  /** The newest list of hosts that this host knows; undefined before the first. */
  get latestHostList(): HostList | undefined {
    if (!Number.isFinite(this.listedAt)) return undefined;
    const { board, view } = this.options;
    const entries = [...board.hosts.values()];
    const hosts = new Map(entries.map((entry) => [entry.host, entry.incarnation] as const));
    const { listedHostCount: listed } = board;
    return { readAt: this.listedAt, position: view.ownPosition, hosts, listed };
  }

  /** Notes that a majority of `list` renewed the proof, by a round that began at `sentAt`. */
  acceptPeerRenewal(sentAt: number, { position }: HostList): void {
    this.acceptProof({ sentAt, position, isFromStore: false });
  }

  /** Takes a proof, be it passed on; this host's own documents are complete up to its position. */
  acceptProof(proof: ForwardableProof): void {
    const { board, self, view } = this.options;
    const { sentAt, isFromStore } = proof;
    // A store that came back from a copy may name a primary that another one has followed.
    if (isFromStore && !view.isEraSettled) return;
    if (isFromStore) this.listedAt = Math.max(this.listedAt, sentAt);
    if (sentAt > (this.forwardable?.sentAt ?? Number.NEGATIVE_INFINITY)) this.forwardable = proof;
    if (this.covers(proof, self.host, self.incarnation)) board.recordProof(sentAt);
  }

  /** The newest proof that a process may hold; undefined if it was not listed then. */
  forwardableTo(host: string, incarnation: number): ForwardableProof | undefined {
    const { forwardable: passable } = this;
    return passable !== undefined && this.covers(passable, host, incarnation)
      ? passable
      : undefined;
  }

  /** A proof covers only hosts that were listed then: whoever changes a primary asks just those. */
  private covers({ position }: ForwardableProof, host: string, incarnation: number): boolean {
    return this.options.view.wasListed(host, incarnation, position);
  }

  private async readOnce(): Promise<boolean> {
    const { self, store, rules } = this.options;
    const sentAt = performance.now();
    this.lastSentAt = sentAt;
    const entry = await store.read(hostKey(self.host), StorePurpose.Proof, rules.timeoutMs);
    if (entry.isErr()) return this.noteFailure(entry.error);
    if (this.isOwn(entry.value)) return this.complete(entry.value.position, sentAt);
    // A host that was taken off the list learns of it first, since it lists itself only if it is not listed.
    if (this.options.registrar.isListed) await this.readDocuments();
    void this.register();
    return true;
  }

  /** Whether an entry read is that of this very process. */
  private isOwn({ item }: StoreEntry): boolean {
    if (item === undefined) return false;
    const reading = readOwnDocument(item.key, item.value);
    if (reading.verdict !== DocumentVerdict.Used || reading.document.kind !== 'host') return false;
    return reading.document.entry.incarnation === this.options.self.incarnation;
  }

  /** Takes a read that showed `position` of the store, once the documents up to there are held. */
  private async complete(position: StorePosition, sentAt: number): Promise<boolean> {
    const { view, follower, rules } = this.options;
    if (isLater(position, view.ownPosition) && follower.isActive) {
      await view.waitForOwnDocuments(position, rules.watchLagMs);
    }
    if (isLater(position, view.ownPosition)) return this.readDocuments();
    // Questions that wait are answered as the proof is taken, and their answers tell how old the documents are.
    if (!isLater(position, view.position)) view.markCurrent(sentAt);
    this.acceptProof({ sentAt, position, isFromStore: true });
    this.checkWatch(position);
    return true;
  }

  /** Reads the gateway's own documents, since no watch has brought what has changed of them. */
  private async readDocuments(): Promise<boolean> {
    const { store, view, rules } = this.options;
    const sentAt = performance.now();
    const range = await store.range(OWN_PREFIX, StorePurpose.Proof, rules.timeoutMs);
    if (range.isErr()) return this.noteFailure(range.error);
    const { position } = range.value;
    view.replace(OWN_PREFIX, range.value, performance.now());
    this.acceptProof({ sentAt, position, isFromStore: true });
    this.checkWatch(position);
    return true;
  }

  private noteFailure({ step, peer, message }: GladespoolError): false {
    const { board, log } = this.options;
    const age = Math.round(performance.now() - board.latestProofAt);
    log.warn('proof-read-failed', { step, peer, error: message, proof_age_ms: age });
    return false;
  }

  /**
   * Lists this host unless it is listed. Where nothing else has changed since this host read the store, the
   * answer is a proof as well: callers of a host that restarts wait for its first one.
   */
  async register(): Promise<void> {
    const { registrar, view } = this.options;
    const registration = await registrar.ensureRegistered();
    if (registration === undefined) {
      if (registrar.isRefused) await this.readDocuments();
      return;
    }
    const { item, sentAt } = registration;
    const { position } = item;
    const before = { ...position, revision: position.revision - 1 };
    const isAllHeld = !isLater(before, view.ownPosition);
    view.applyItems([item], performance.now());
    if (!isAllHeld) return;
    view.markOwnComplete(position);
    this.acceptProof({ sentAt, position, isFromStore: true });
  }

  /** A watch that has not brought a change within an interval has lost it; without one all is read. */
  private checkWatch(position: StorePosition): void {
    const { view, follower, log, rules } = this.options;
    if (!isLater(position, view.position)) return;
    if (!follower.isActive) {
      void follower.readOnce();
      return;
    }
    setTimeout(() => {
      if (!isLater(position, view.position)) return;
      log.info('watch-behind', {
        position: formatStorePosition(view.position),
        store_position: formatStorePosition(position),
      });
      follower.resync();
    }, rules.intervalMs / 2);
  }
}
