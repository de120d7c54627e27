/**
 * The control plane of a host: store, proofs, other hosts and promotions, driven by one timer.
 */
import { connect } from 'node:net';
import type { GroupId } from '@gladespool/coordination';
import { azId, EventLoopMonitor } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { ControlTraffic, createLogger, DISTANCE_LABELS } from '@gladespool/observability';
import type { PeerAddress, PeerNetworkOptions } from '@gladespool/peers';
import { PeerNetwork } from '@gladespool/peers';
import type { GatewayBoard, HostEntry } from '../knowledge/board.js';
import type { HomeDirectory } from '../knowledge/home-directory.js';
import type { ReachabilityReports } from '../knowledge/reachability-reports.js';
import type { GatewayRules } from '../gateway-rules.js';
import type { GroupHome } from '../home/group-home.js';
import { UpstreamProbe } from '../home/upstream-probe.js';
import type { UpstreamDriver } from '../model/upstream-driver.js';
import { ClaimLock } from './promotion/claim-lock.js';
import { DocumentExchange } from './store/document-exchange.js';
import { DocumentReader } from './store/document-reader.js';
import { EraOpener } from './store/era-opener.js';
import { GuardedStore } from './store/guarded-store.js';
import { HostRound } from './hosts/host-round.js';
import { HostListTracker } from './hosts/host-list-tracker.js';
import { HostRetirer } from './hosts/host-retirer.js';
import type { MetadataStore } from './store/metadata-store.js';
import { PeerCalls } from '../peering/peer-calls.js';
import { PeerProofRenewer } from './proofs/peer-proof-renewer.js';
import { DEFAULT_MONITOR_RULES, PrimaryMonitor } from './promotion/primary-monitor.js';
import type { PromotionPort } from './promotion/promotion-port.js';
import { PromotionController } from './promotion/promotion-controller.js';
import { DEFAULT_PROOF_RULES, ProofRenewer } from './proofs/proof-renewer.js';
import { InitialRecordWriter } from './promotion/initial-record-writer.js';
import { HostRegistrar } from './store/registrar.js';
import { RelayOrder } from '../knowledge/relay-order.js';
import { DEFAULT_FOLLOWER, StoreFollower } from './store/store-follower.js';
import type { ForeignDocumentReader } from './store/foreign-documents.js';
import { StoreView } from './store/store-view.js';
import { SyncResponder } from './proofs/sync-responder.js';
import { SyncService } from './proofs/sync-service.js';
import type { WriteHolds } from '../knowledge/write-holds.js';

/** Dependencies of the control plane. */
export interface ControlPlaneOptions {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly store: MetadataStore;
  readonly documents: ForeignDocumentReader;
  readonly driver: UpstreamDriver;
  readonly promotions: PromotionPort;
  readonly holds: WriteHolds;
  readonly home: (group: GroupId) => GroupHome;
  readonly reachability: ReachabilityReports;
  readonly directory: HomeDirectory;
  readonly peerKey: Buffer;
  readonly dial?: PeerNetworkOptions['dial'];
  readonly seeds: readonly PeerAddress[];
  readonly rules: GatewayRules;
  readonly metrics: HostMetrics;
}

/** Interval of the timer, milliseconds. */
const TICK_MS = 100;
/** Timeout of the handshake of a link between hosts, milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 1000;

/** Control plane of one host. */
export class ControlPlane {
  readonly network: PeerNetwork;
  readonly calls: PeerCalls;
  private readonly log: Logger;
  private readonly view: StoreView;
  private readonly store: MetadataStore;
  private readonly order: RelayOrder;
  private readonly lists: HostListTracker;
  private readonly follower: StoreFollower;
  private readonly registrar: HostRegistrar;
  private readonly proofs: ProofRenewer;
  private readonly initialRecords: InitialRecordWriter;
  private readonly documents: DocumentExchange;
  private readonly round: HostRound;
  private readonly sync: SyncService;
  private readonly responder: SyncResponder;
  private readonly renewer: PeerProofRenewer;
  private readonly retirer: HostRetirer;
  private readonly opener: EraOpener;
  private readonly probe: UpstreamProbe;
  private readonly promotions: PromotionController;
  private readonly loop = new EventLoopMonitor(TICK_MS, performance.now());
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ControlPlaneOptions) {
    const { self, board, store, documents, metrics, rules } = options;
    this.log = createLogger('control', { host: self.host });
    const reader = new DocumentReader(board, documents, metrics, this.log);
    this.view = new StoreView({
      board,
      reader,
      metrics,
      log: this.log,
      startedAt: performance.now(),
      expiry: rules.expiry,
    });
    this.store = new GuardedStore(store, this.view, this.log);
    this.order = new RelayOrder(board);
    const { authority } = rules.home;
    this.lists = new HostListTracker({
      ...{ board, view: this.view, order: this.order, authority, metrics },
    });
    this.follower = this.createFollower();
    this.registrar = new HostRegistrar(self, board, this.store, this.view, this.log);
    this.proofs = this.createProofs();
    this.initialRecords = new InitialRecordWriter({
      board,
      store: this.store,
      view: this.view,
      log: this.log,
    });
    this.network = this.createNetwork();
    this.calls = new PeerCalls(this.network, this.log);
    this.round = new HostRound({ board, order: this.order, calls: this.calls });
    const { view, lists, calls, round, log } = this;
    this.documents = new DocumentExchange({ view, calls, log });
    this.sync = this.createSync();
    this.responder = new SyncResponder({ board, view, proofs: this.proofs, lists });
    this.renewer = this.createRenewer();
    this.retirer = this.createRetirer();
    this.opener = this.createOpener();
    this.probe = this.createProbe();
    this.promotions = this.createPromotions();
    const { sync, responder, renewer, retirer, promotions } = this;
    for (const handler of [
      calls,
      round,
      this.documents,
      sync,
      responder,
      renewer,
      retirer,
      promotions,
    ]) {
      this.network.addHandler(handler);
    }
  }

  /** Whether the gateway's own documents, as read from the store, can be relied on. */
  get isStoreSettled(): boolean {
    return this.view.hasLoaded && this.view.isEraSettled;
  }

  /** Listens for other hosts and starts to follow the store. */
  async start(): Promise<void> {
    const { self } = this.options;
    await this.network.listen(self.address, self.port);
    this.tick();
    this.timer = setInterval(() => {
      this.tick();
    }, TICK_MS);
  }

  /** Revokes all proofs of this host, removes it from the list within `timeoutMs`, and closes all links. */
  async stop(timeoutMs: number): Promise<void> {
    clearInterval(this.timer);
    this.probe.stop();
    this.sync.stop();
    this.options.board.revokeProofs();
    await this.registrar.remove(timeoutMs);
    this.follower.setActive(false);
    await this.network.stop();
  }

  private tick(): void {
    const now = performance.now();
    const isOnTime = this.loop.recordTick(now);
    this.lists.tick(now);
    this.sync.tick(now);
    if (isOnTime) this.runTimeouts(now);
    else this.log.info('host-paused', { late_ms: Math.round(this.loop.delayMs) });
  }

  /** Runs what acts on time-outs at `now`; not called on a late tick, so that replies that wait are read first. */
  private runTimeouts(now: number): void {
    this.calls.tick(now);
    this.sync.syncFromFallbacks(now);
    this.responder.tick(now);
    this.renewer.tick(now);
    this.retirer.tick(now);
    this.opener.tick(now);
    this.view.expireDocuments(now);
    this.initialRecords.tick(now);
    this.promotions.tick(now);
  }

  private createFollower(): StoreFollower {
    const { metrics } = this.options;
    const { store, view, log } = this;
    return new StoreFollower({ store, view, metrics, log, rules: DEFAULT_FOLLOWER });
  }

  private createProofs(): ProofRenewer {
    const { self, board } = this.options;
    const { store, view, follower, registrar, log } = this;
    const rules = DEFAULT_PROOF_RULES;
    return new ProofRenewer({ self, board, store, view, follower, registrar, rules, log });
  }

  private createProbe(): UpstreamProbe {
    const { driver, metrics } = this.options;
    return new UpstreamProbe(driver, () => {
      metrics.upstreamConnections.inc();
    });
  }

  private createNetwork(): PeerNetwork {
    const { self, board, peerKey, dial = connect, metrics } = this.options;
    const { host, az, incarnation } = self;
    return new PeerNetwork({
      identity: { host, az, key: peerKey, incarnation },
      dial,
      handshakeTimeoutMs: HANDSHAKE_TIMEOUT_MS,
      onControlBytes: (bytes) => {
        metrics.controlBytes.inc({ traffic: ControlTraffic.Peers }, bytes);
      },
      onSentBytes: (bytes, peerAz) => {
        const distance = board.topology.distance(az, azId(peerAz));
        metrics.peerBytes.inc({ distance: DISTANCE_LABELS[distance] }, bytes);
      },
      log: this.log,
    });
  }

  private createSync(): SyncService {
    const { self, board, seeds, rules } = this.options;
    return new SyncService({
      self,
      board,
      view: this.view,
      proofs: this.proofs,
      follower: this.follower,
      order: this.order,
      documents: this.documents,
      lists: this.lists,
      calls: this.calls,
      loop: this.loop,
      seeds,
      rules: rules.sync,
      log: this.log,
    });
  }

  private createRetirer(): HostRetirer {
    const { board, rules } = this.options;
    const { store, view, order, lists, calls, round, log } = this;
    return new HostRetirer({
      ...{ board, view, store, order, lists, calls, round },
      ...{ rules: rules.retirement, log },
    });
  }

  private createOpener(): EraOpener {
    const { self, board, metrics, rules } = this.options;
    const { view, store, order, round, proofs, log } = this;
    const { authority } = rules.home;
    const reloadOwnDocuments = (): Promise<boolean> => proofs.read();
    return new EraOpener({
      ...{ self, board, view, store, order, round },
      ...{ authority, reloadOwnDocuments, metrics, log },
    });
  }

  private createRenewer(): PeerProofRenewer {
    const { self, board, rules } = this.options;
    return new PeerProofRenewer({
      self,
      board,
      view: this.view,
      order: this.order,
      proofs: this.proofs,
      round: this.round,
      loop: this.loop,
      authority: rules.home.authority,
      log: this.log,
    });
  }

  private createPromotions(): PromotionController {
    const { self, board, directory, promotions } = this.options;
    const { holds, home, reachability, rules, metrics } = this.options;
    const monitor = new PrimaryMonitor({
      board,
      directory,
      home,
      probe: this.probe,
      rules: DEFAULT_MONITOR_RULES,
    });
    return new PromotionController({
      monitor,
      reachability,
      context: {
        self,
        board,
        directory,
        store: this.store,
        view: this.view,
        proofs: this.proofs,
        lists: this.lists,
        calls: this.calls,
        round: this.round,
        probe: this.probe,
        holds,
        claimLock: new ClaimLock(),
        port: promotions,
        authority: rules.home.authority,
        rules: rules.failover,
        metrics,
        log: createLogger('promotion', { host: self.host }),
      },
    });
  }
}
