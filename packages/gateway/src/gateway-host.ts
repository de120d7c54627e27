/**
 * One gateway host: puts sessions, homes and control together around the board. Protocols and the
 * platform come in through interfaces.
 */
import type { Logger, HostMetrics } from '@gladespool/observability';
import { createLogger } from '@gladespool/observability';
import { SeededRandom } from '@gladespool/coordination';
import type { HostEntry } from './board.js';
import { BoardSection, GatewayBoard } from './board.js';
import type { MetadataStore } from './control/metadata-store.js';
import { DEFAULT_PROOFS, ProofKeeper } from './control/proof-keeper.js';
import { RecordFounder } from './control/record-founder.js';
import { Registrar } from './control/registrar.js';
import { DEFAULT_FOLLOWER, StoreFollower } from './control/store-follower.js';
import type { ForeignDocuments } from './control/store-view.js';
import { StoreView } from './control/store-view.js';
import type { CallerCodec } from './entry/caller-codec.js';
import { CallerServer } from './entry/caller-server.js';
import { RequestJournal } from './entry/request-journal.js';
import type { GatewayRules } from './gateway-rules.js';
import { LocalExecutor } from './home/local-executor.js';
import type { UpstreamDriver } from './model/upstream-wire.js';

/** What a gateway host is made of. */
export interface GatewayOptions {
  readonly self: HostEntry;
  readonly callers: { readonly address: string; readonly port: number };
  readonly store: MetadataStore;
  readonly documents: ForeignDocuments;
  readonly driver: UpstreamDriver;
  readonly createCodec: () => CallerCodec;
  readonly rules: GatewayRules;
  readonly metrics: HostMetrics;
  /** Seed of every random choice of this host. */
  readonly seed: number;
}

/** Time between two looks at what is due, milliseconds. */
const TICK_MS = 100;

/** A running gateway host. */
export class GatewayHost {
  readonly board: GatewayBoard;
  readonly metrics: HostMetrics;
  private readonly log: Logger;
  private readonly view: StoreView;
  private readonly follower: StoreFollower;
  private readonly registrar: Registrar;
  private readonly proofs: ProofKeeper;
  private readonly founder: RecordFounder;
  private readonly executor: LocalExecutor;
  private readonly callers: CallerServer;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: GatewayOptions) {
    const { self, store, documents, metrics } = options;
    this.metrics = metrics;
    this.board = new GatewayBoard(self.host, self.az);
    this.log = createLogger('gateway', { host: self.host });
    this.view = new StoreView(this.board, documents, this.log);
    this.follower = new StoreFollower({
      store,
      view: this.view,
      metrics,
      log: this.log,
      rules: DEFAULT_FOLLOWER,
    });
    this.registrar = new Registrar(self, this.board, store, this.log);
    this.proofs = this.createProofs();
    this.founder = new RecordFounder({ board: this.board, store, view: this.view, log: this.log });
    this.executor = this.createExecutor();
    this.callers = this.createCallers();
  }

  /** Whether callers should come here. */
  get isReady(): boolean {
    return !this.board.draining && this.board.catalog !== undefined;
  }

  async start(): Promise<void> {
    const { callers, self } = this.options;
    await this.callers.listen(callers.address, callers.port);
    this.follower.setActive(true);
    void this.registrar.ensure();
    this.board.onChange(BoardSection.Hosts, () => {
      this.metrics.liveHosts.set(this.board.hosts.size);
    });
    this.timer = setInterval(() => {
      this.tick(performance.now());
    }, TICK_MS);
    this.log.info('started', { incarnation: self.incarnation, port: callers.port });
  }

  /** Planned stop: tells the balancer, ends sessions as they rest, gives the entry back. */
  async drain(): Promise<void> {
    this.log.info('draining');
    this.board.draining = true;
    await this.callers.drain(this.options.rules.drain);
    clearInterval(this.timer);
    this.executor.stop();
    this.board.forgetProof();
    await this.registrar.remove();
    this.follower.setActive(false);
    this.log.info('stopped');
  }

  private tick(now: number): void {
    this.proofs.tick(now);
    this.view.review(now);
    this.founder.tick(now);
  }

  private createProofs(): ProofKeeper {
    const { self, store } = this.options;
    return new ProofKeeper({
      self,
      board: this.board,
      store,
      view: this.view,
      follower: this.follower,
      registrar: this.registrar,
      rules: DEFAULT_PROOFS,
      log: this.log,
    });
  }

  private createExecutor(): LocalExecutor {
    const { driver, rules, seed, self } = this.options;
    return new LocalExecutor({
      board: this.board,
      driver,
      rules: rules.home,
      random: new SeededRandom(seed),
      metrics: this.metrics,
      log: createLogger('home', { host: self.host }),
    });
  }

  private createCallers(): CallerServer {
    const { createCodec, rules, self } = this.options;
    const log = createLogger('caller', { host: self.host });
    return new CallerServer({
      session: {
        board: this.board,
        executor: this.executor,
        journal: new RequestJournal(this.metrics, log),
      },
      createCodec,
      maxCallers: rules.maxCallers,
      startTimeoutMs: rules.startTimeoutMs,
      metrics: this.metrics,
      log,
    });
  }
}
