/**
 * Renews this host's proof of who the primaries are, by reading its own entry from the store: the reply shows that
 * the host is listed, and up to which change its documents must be complete for their records to be those of the
 * store. The cost of a read does not grow with the number of hosts.
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

/** Timing of the renewal of proofs. */
export interface ProofRules {
  /** Interval between two reads, milliseconds: less than a third of a proof's lifetime, so that two may fail. */
  readonly intervalMs: number;
  /** Timeout of one read, milliseconds. */
  readonly timeoutMs: number;
  /** Time within which the watch must deliver the changes that a read showed, milliseconds. */
  readonly watchLagMs: number;
}

/** Defaults for proofs valid for 1 s. 60 ms: the watch delivers a change within a few round trips to the store. */
export const DEFAULT_PROOF_RULES: ProofRules = { intervalMs: 300, timeoutMs: 700, watchLagMs: 60 };

/** Time by which a read may begin early, milliseconds: a read that just misses a tick would wait for the next one. */
const TICK_SLACK_MS = 5;

/** Dependencies of the renewer. */
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

/** Reads this host's entry at intervals, and holds the latest proof. */
export class ProofRenewer {
  /** Latest proof that may be forwarded; undefined before the first. */
  forwardable: ForwardableProof | undefined;
  /** Whether the latest read got no reply. */
  failing = false;
  /** Latest local time at which the hosts on the board are known to have been the listed ones; -Infinity before. */
  listedAt = Number.NEGATIVE_INFINITY;
  private reading = false;
  private lastSentAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ProofRenewerOptions) {}

  /**
   * Starts a read if one is due at `now`; the interval between reads is multiplied by `intervalFactor`.
   *
   * @returns whether a read was started
   */
  tick(now: number, intervalFactor = 1): boolean {
    const isDue =
      now - this.lastSentAt >= this.options.rules.intervalMs * intervalFactor - TICK_SLACK_MS;
    if (this.reading || !isDue) return false;
    void this.read();
    return true;
  }

  /**
   * Reads at once; resolves when this host holds every one of the gateway's own documents that the store had.
   *
   * @returns false when the store did not reply
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

  /** The latest list of hosts that this host knows; undefined before the first. */
  get latestHostList(): HostList | undefined {
    if (!Number.isFinite(this.listedAt)) return undefined;
    const { board, view } = this.options;
    const entries = [...board.hosts.values()];
    const hosts = new Map(entries.map((entry) => [entry.host, entry.incarnation] as const));
    const { listedHostCount } = board;
    return { readAt: this.listedAt, position: view.ownPosition, hosts, listed: listedHostCount };
  }

  /** Accepts a renewal by a majority of `list`, in a round that began at `sentAt`. */
  acceptPeerRenewal(sentAt: number, { position }: HostList): void {
    this.acceptProof({ sentAt, position, isFromStore: false });
  }

  /** Accepts a proof, read or forwarded; this host's own documents must be complete up to its position. */
  acceptProof(proof: ForwardableProof): void {
    const { board, self, view } = this.options;
    const { sentAt, isFromStore } = proof;
    // A store restored from a backup may name a primary that has been replaced since.
    if (isFromStore && !view.isEraSettled) return;
    if (isFromStore) this.listedAt = Math.max(this.listedAt, sentAt);
    if (sentAt > (this.forwardable?.sentAt ?? Number.NEGATIVE_INFINITY)) this.forwardable = proof;
    if (this.covers(proof, self.host, self.incarnation)) board.recordProof(sentAt);
  }

  /** The latest proof, if the given process was listed then; otherwise undefined. */
  forwardableTo(host: string, incarnation: number): ForwardableProof | undefined {
    const { forwardable } = this;
    return forwardable !== undefined && this.covers(forwardable, host, incarnation)
      ? forwardable
      : undefined;
  }

  /** A proof covers only processes that were listed at its position: a change of a primary revokes just those. */
  private covers({ position }: ForwardableProof, host: string, incarnation: number): boolean {
    return this.options.view.wasListed(host, incarnation, position);
  }

  private async readOnce(): Promise<boolean> {
    const { self, store, rules } = this.options;
    const sentAt = performance.now();
    this.lastSentAt = sentAt;
    const entry = await store.read(hostKey(self.host), StorePurpose.Proof, rules.timeoutMs);
    if (entry.isErr()) return this.noteFailure(entry.error);
    if (this.isOwn(entry.value)) return this.acceptRead(entry.value.position, sentAt);
    // A removed host has to see its removal first, since the registrar registers only hosts that are not listed.
    if (this.options.registrar.isListed) await this.readDocuments();
    void this.register();
    return true;
  }

  /** Whether the entry is that of this very process. */
  private isOwn({ item }: StoreEntry): boolean {
    if (item === undefined) return false;
    const reading = readOwnDocument(item.key, item.value);
    if (reading.verdict !== DocumentVerdict.Used || reading.document.kind !== 'host') return false;
    return reading.document.entry.incarnation === this.options.self.incarnation;
  }

  /** Accepts a read that showed `position` of the store, once this host holds the documents up to there. */
  private async acceptRead(position: StorePosition, sentAt: number): Promise<boolean> {
    const { view, follower, rules } = this.options;
    if (isLater(position, view.ownPosition) && follower.isActive) {
      await view.waitForOwnDocuments(position, rules.watchLagMs);
    }
    if (isLater(position, view.ownPosition)) return this.readDocuments();
    // Accepting the proof triggers the replies to waiting requests; those report the age of the documents.
    if (!isLater(position, view.position)) view.markCurrent(sentAt);
    this.acceptProof({ sentAt, position, isFromStore: true });
    this.checkWatch(position);
    return true;
  }

  /** Reads the gateway's own documents, for changes that no watch has delivered. */
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
   * Registers this host unless it is listed. If nothing else has changed since this host read the store, the
   * reply also serves as a proof: callers of a restarting host wait for its first one.
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
    const isComplete = !isLater(before, view.ownPosition);
    view.applyItems([item], performance.now());
    if (!isComplete) return;
    view.markOwnComplete(position);
    this.acceptProof({ sentAt, position, isFromStore: true });
  }

  /** Resyncs a watch that has not delivered a change within half an interval; without a watch reads everything. */
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
