/**
 * One gateway host: wires the caller server, the homes (connection pools of the groups), the routing and the
 * control plane together around the shared board. Protocols and the platform are injected as interfaces.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GroupId, Topology } from '@gladespool/coordination';
import { SeededRandom } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { createLogger } from '@gladespool/observability';
import type { PeerAddress, PeerNetworkOptions } from '@gladespool/peers';
import type { HostEntry } from './knowledge/board.js';
import { BoardSection, GatewayBoard } from './knowledge/board.js';
import { ControlPlane } from './control/control-plane.js';
import type { MetadataStore } from './control/store/metadata-store.js';
import type { PromotionPort } from './control/promotion/promotion-port.js';
import type { ForeignDocumentReader } from './control/store/foreign-documents.js';
import { WriteHolds } from './knowledge/write-holds.js';
import type { CallerCodec } from './entry/caller-codec.js';
import { CallerServer } from './entry/caller-server.js';
import { IsolationGuard } from './entry/isolation-guard.js';
import { RequestRecorder } from './entry/request-recorder.js';
import { ForwardService } from './forward/forward-service.js';
import { HomeDirectory } from './knowledge/home-directory.js';
import { ReachabilityReports } from './knowledge/reachability-reports.js';
import { WatermarkRefreshingExecutor, WatermarkExchange } from './forward/watermark-exchange.js';
import { RoutedExecutor } from './forward/routed-executor.js';
import type { GatewayRules } from './gateway-rules.js';
import { AllowanceOwner } from './limits/allowance-owner.js';
import { AllowanceOwnerDirectory } from './knowledge/allowance-owner-directory.js';
import type { OperationLimits } from './limits/operation-limits.js';
import { FleetLimits } from './limits/operation-limits.js';
import type { GroupHome } from './home/group-home.js';
import type { Executor } from './home/job.js';
import { LocalExecutor } from './home/local-executor.js';
import { PromotionTracker } from './knowledge/promotion-tracker.js';
import type { UpstreamDriver } from './model/upstream-driver.js';

/** Dependencies and settings of a gateway host. */
export interface GatewayOptions {
  readonly self: HostEntry;
  /** Regions of the availability zones of the deployment. */
  readonly topology?: Topology;
  readonly callers: { readonly address: string; readonly port: number };
  readonly store: MetadataStore;
  readonly documents: ForeignDocumentReader;
  readonly driver: UpstreamDriver;
  readonly promotions: PromotionPort;
  readonly createCodec: () => CallerCodec;
  /** Secret shared by the hosts of one deployment; links from hosts without it are rejected. */
  readonly peerKey: Buffer;
  /** Opens a connection to another host; a TCP connection if it is not given. */
  readonly dial?: PeerNetworkOptions['dial'];
  /** Hosts to contact when the store is unreachable at startup; some of them may no longer exist. */
  readonly seeds: readonly PeerAddress[];
  readonly rules: GatewayRules;
  readonly metrics: HostMetrics;
  /** Seed of the random number generator of this host. */
  readonly seed: number;
}

/** Interval of the periodic checks, milliseconds; far below the load balancer's check interval of one second. */
const TICK_MS = 200;

export class GatewayHost {
  readonly board: GatewayBoard;
  private readonly log: Logger;
  private readonly holds: WriteHolds;
  private readonly directory: HomeDirectory;
  private readonly reachability = new ReachabilityReports();
  private readonly executor: LocalExecutor;
  private readonly control: ControlPlane;
  private readonly callers: CallerServer;
  private readonly forwards: ForwardService;
  private readonly isolation: IsolationGuard;
  private timer: NodeJS.Timeout | undefined;
  /** Runs the statements of sessions, on this host or on another one. */
  readonly routing: RoutedExecutor;
  /** Enforces the rate limits of workspaces. */
  readonly limits: OperationLimits;

  constructor(private readonly options: GatewayOptions) {
    const { self, metrics } = options;
    this.board = new GatewayBoard(self.host, self.az, options.topology);
    this.log = createLogger('gateway', { host: self.host });
    this.holds = new WriteHolds(this.board);
    this.directory = new HomeDirectory(this.board);
    this.executor = this.createExecutor();
    this.control = new ControlPlane({
      ...options,
      board: this.board,
      holds: this.holds,
      reachability: this.reachability,
      directory: this.directory,
      home: (group) => this.executor.home(group),
    });
    const local = this.createWatermarkExecutor();
    this.forwards = new ForwardService(local, this.board);
    this.control.network.addHandler(this.forwards);
    this.routing = this.createRouting(local);
    this.limits = this.createLimits();
    this.callers = this.createCallers();
    this.isolation = this.createIsolationGuard();
    this.board.onChange(BoardSection.Hosts, () => {
      metrics.liveHosts.set(this.board.hosts.size);
    });
    this.board.onChange(BoardSection.Evacuations, () => {
      metrics.evacuatedZones.set(this.board.evacuations.size);
    });
  }

  /** Whether the gateway's own documents, as read from the store, can be relied on. */
  get isStoreSettled(): boolean {
    return this.control.isStoreSettled;
  }

  /** Whether the load balancer should route callers to this host at `now`. */
  isReady(now: number): boolean {
    if (this.board.draining || this.board.catalog === undefined) return false;
    return !this.isolation.isIsolated(now);
  }

  /** Listens for callers and other hosts, and starts watching the store. */
  async start(): Promise<void> {
    const { callers, self } = this.options;
    await this.callers.listen(callers.address, callers.port);
    await this.control.start();
    this.timer = setInterval(() => {
      const now = performance.now();
      this.isolation.tick(now);
      this.executor.tick(now);
    }, TICK_MS);
    this.log.info('started', { incarnation: self.incarnation, port: callers.port });
  }

  /**
   * Planned stop: closes sessions as they become idle, ends the work of other hosts, then closes upstream connections
   * and deregisters the host.
   */
  async drain(): Promise<void> {
    this.log.info('draining');
    this.board.draining = true;
    clearInterval(this.timer);
    const { drain } = this.options.rules;
    const startedAt = performance.now();
    const deregisterAt = startedAt + drain.deregisterMs;
    const callersClosed = this.callers.drain(drain);
    // Other hosts are sent elsewhere as late as possible, since some of them need new upstream connections then.
    await Promise.race([callersClosed, pause(drain.transactionsMs, undefined, { ref: false })]);
    await Promise.all([callersClosed, this.forwards.drain(drain, startedAt)]);
    this.executor.stop();
    await this.control.stop(deregisterAt - performance.now());
    this.log.info('stopped');
  }

  /** Permanently closes the links to all other hosts. */
  closePeers(): Promise<void> {
    return this.control.network.stop();
  }

  private createExecutor(): LocalExecutor {
    const { driver, rules, seed, self, metrics } = this.options;
    return new LocalExecutor({
      board: this.board,
      driver,
      rules: rules.home,
      holds: this.holds,
      promotionTracker: new PromotionTracker(this.board, performance.now()),
      directory: this.directory,
      reachability: this.reachability,
      random: new SeededRandom(seed),
      evacuationMs: rules.evacuationMs,
      metrics,
      log: createLogger('home', { host: self.host }),
    });
  }

  /** Executor of this host's homes, which fetch watermarks of a primary from the homes near it. */
  private createWatermarkExecutor(): Executor {
    const { board, directory, executor, control } = this;
    const { calls, network } = control;
    const home = (group: GroupId): GroupHome => executor.home(group);
    const marks = new WatermarkExchange({ board, directory, calls, home });
    network.addHandler(marks);
    return new WatermarkRefreshingExecutor(executor, marks);
  }

  private createRouting(local: Executor): RoutedExecutor {
    const { self, metrics } = this.options;
    return new RoutedExecutor({
      board: this.board,
      local,
      home: (group) => this.executor.home(group),
      calls: this.control.calls,
      directory: this.directory,
      reachability: this.reachability,
      metrics,
      log: createLogger('forward', { host: self.host }),
      startedAt: performance.now(),
    });
  }

  private createLimits(): FleetLimits {
    const { rules, self, metrics } = this.options;
    const { tolerance } = rules;
    const { board } = this;
    const directory = new AllowanceOwnerDirectory(board, performance.now());
    const { calls, network } = this.control;
    const keeper = new AllowanceOwner({
      board,
      directory,
      isReachable: (host, now) => {
        const peer = board.hosts.get(host);
        return peer !== undefined && calls.isReachable(peer, now);
      },
      tolerance,
      authority: rules.home.authority,
      log: createLogger('limits', { host: self.host }),
    });
    network.addHandler(keeper);
    board.onChange(BoardSection.Proof, () => {
      keeper.noteProof(performance.now());
    });
    board.onChange(BoardSection.Hosts, () => {
      keeper.noteHosts();
    });
    return new FleetLimits({ board, directory, keeper, calls, tolerance, metrics });
  }

  private createIsolationGuard(): IsolationGuard {
    const { rules, self } = this.options;
    return new IsolationGuard({
      board: this.board,
      authority: rules.home.authority,
      balancerDelayMs: rules.drain.acceptMs,
      closeSessionsWhenIdle: () => {
        this.callers.closeSessionsWhenIdle();
      },
      log: createLogger('gateway', { host: self.host }),
    });
  }

  private createCallers(): CallerServer {
    const { createCodec, rules, self, metrics } = this.options;
    const log = createLogger('caller', { host: self.host });
    const recorder = new RequestRecorder(this.board, metrics, log);
    return new CallerServer({
      session: {
        board: this.board,
        executor: this.routing,
        limits: this.limits,
        keys: rules.keys,
        recorder,
      },
      createCodec,
      maxCallers: rules.maxCallers,
      startTimeoutMs: rules.startTimeoutMs,
      metrics,
      log,
    });
  }
}
