/**
 * Renews this host's proof of who the primaries are, by reading the records from the store.
 */
import type { GladespoolError, HostId } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../board.js';
import type { MetadataStore, StoreItem, StoreRange } from './metadata-store.js';
import { StorePurpose } from './metadata-store.js';
import type { Registrar } from './registrar.js';
import type { StoreFollower } from './store-follower.js';
import { OWN_PREFIX, readOwnDocument } from './store-documents.js';
import type { StoreView } from './store-view.js';

/** Times of the proofs' renewal. */
export interface ProofRules {
  /** Time between two reads, milliseconds: less than a third of a proof's life, so that two may fail. */
  readonly intervalMs: number;
  /** Longest time for one read, milliseconds. */
  readonly timeoutMs: number;
}

/** Times in force, for proofs that live 1 s. */
export const DEFAULT_PROOFS: ProofRules = { intervalMs: 280, timeoutMs: 700 };

/** The hosts that were listed in the store at one time. */
export interface HostList {
  /** Local time at which the read was sent, or at which a list that others passed on was surely current. */
  readonly readAt: number;
  /** Incarnations by host. */
  readonly hosts: ReadonlyMap<HostId, number>;
}

/** A proof that this host got from the store or a majority itself; only such ones are passed on. */
export interface FirstHandProof {
  readonly sentAt: number;
  readonly list: HostList;
}

/** What the keeper works on. */
export interface ProofKeeperOptions {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly store: MetadataStore;
  readonly view: StoreView;
  readonly follower: StoreFollower;
  readonly registrar: Registrar;
  readonly rules: ProofRules;
  readonly log: Logger;
}

/** Reads records and hosts at intervals while it is wanted. */
export class ProofKeeper {
  /** Newest proof that may be passed on; undefined before the first. */
  firstHand: FirstHandProof | undefined;
  /** The hosts listed at the latest read; undefined before the first. */
  list: HostList | undefined;
  /** Whether the latest read got no answer. */
  failing = false;
  private reading = false;
  private lastSentAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ProofKeeperOptions) {}

  /** Starts a read if one is due at `now`. */
  tick(now: number): void {
    if (this.reading || now - this.lastSentAt < this.options.rules.intervalMs) return;
    void this.read();
  }

  /** Reads at once; false when the store did not answer. */
  async read(): Promise<boolean> {
    const { store, rules } = this.options;
    this.reading = true;
    const sentAt = performance.now();
    this.lastSentAt = sentAt;
    const range = await store.range(OWN_PREFIX, StorePurpose.Proof, rules.timeoutMs);
    this.reading = false;
    this.failing = range.isErr();
    if (range.isErr()) this.noteFailure(range.error, performance.now());
    else this.take(range.value, sentAt, performance.now());
    return range.isOk();
  }

  /**
   * The newest list of hosts that this host knows: that of its own latest read, or that of the documents
   * which others passed on, as of the time at which these were surely the store's.
   */
  get newestList(): HostList | undefined {
    const { board, view } = this.options;
    const passedOnAt = view.currentSince;
    const isOwnAsNew = this.list !== undefined && this.list.readAt >= passedOnAt;
    if (!Number.isFinite(passedOnAt) || isOwnAsNew) return this.list;
    const hosts = [...board.hosts.values()].map(
      (entry) => [entry.host, entry.incarnation] as const,
    );
    return { readAt: passedOnAt, hosts: new Map(hosts) };
  }

  /** Notes that a majority of `list` renewed the proof, by a round that began at `sentAt`. */
  noteRenewal(sentAt: number, list: HostList): void {
    this.options.board.prove(sentAt);
    this.firstHand = { sentAt, list };
  }

  private noteFailure({ step, peer, message }: GladespoolError, now: number): void {
    const { board, log } = this.options;
    const age = Math.round(now - board.provenSince);
    log.warn('proof-read-failed', { step, peer, error: message, proof_age_ms: age });
  }

  /** Takes what a read brought that was sent at `sentAt`; it proves this host's records if it lists it. */
  private take(range: StoreRange, sentAt: number, now: number): void {
    const { self, view, board } = this.options;
    const behind = view.revision < range.revision;
    view.replace(OWN_PREFIX, range, now);
    const hosts = listedHosts(range.items);
    this.list = { readAt: sentAt, hosts };
    this.firstHand = { sentAt, list: this.list };
    if (hosts.get(self.host) === self.incarnation) board.prove(sentAt);
    else void this.register();
    if (!behind) view.noteCurrent(sentAt);
    this.checkWatch(behind, range.revision);
  }

  /** Lists this host and reads again at once: callers of a host that restarts wait for its first proof. */
  private async register(): Promise<void> {
    if (await this.options.registrar.ensure()) await this.read();
  }

  /** A watch that has not brought a change within an interval has lost it; without one all is read. */
  private checkWatch(behind: boolean, revision: number): void {
    if (!behind) return;
    const { view, follower, log, rules } = this.options;
    if (!follower.watches) {
      void follower.catchUp();
      return;
    }
    setTimeout(() => {
      if (view.revision >= revision) return;
      log.info('watch-behind', { revision: view.revision, store_revision: revision });
      follower.resync();
    }, rules.intervalMs / 2);
  }
}

function listedHosts(items: readonly StoreItem[]): ReadonlyMap<HostId, number> {
  const hosts = new Map<HostId, number>();
  for (const item of items) {
    const document = readOwnDocument(item.key, item.value);
    if (document?.kind === 'host') hosts.set(document.entry.host, document.entry.incarnation);
  }
  return hosts;
}
