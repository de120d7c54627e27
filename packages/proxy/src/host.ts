/**
 * One entry host: creates its services around a shared blackboard and connects them.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { Socket } from 'node:net';
import { Socket as NetSocket } from 'node:net';
import type { AzId, GroupRecord, Member, ReadRouting } from '@gladespool/coordination';
import {
  Blackboard,
  CoveringReplicaRouting,
  DEFAULT_DAMPING,
  MemberState,
  SeededRandom,
  Section,
  activeHosts,
  zonesOfGroup,
} from '@gladespool/coordination';
import { ControlTraffic, createLogger, HostMetrics } from '@gladespool/observability';
import type { Logger } from '@gladespool/observability';
import type { PlatformStore } from '@gladespool/platform';
import { HttpHostList, HttpStoreClient } from '@gladespool/platform';
import type { HostSettings } from '@gladespool/protocol';
import { TokenCodec } from '@gladespool/protocol';
import type { PartFetch } from './control/bundle-service.js';
import { BundleService } from './control/bundle-service.js';
import { MembershipService } from './control/membership-service.js';
import { PromotionService } from './control/promotion-service.js';
import { RelayService } from './control/relay-service.js';
import { ZoneStatusReporter } from './control/zone-status.js';
import { StoreRelay } from './control/store-relay.js';
import type { CallerTls } from './entry/caller-server.js';
import { CallerServer } from './entry/caller-server.js';
import { HomeRouter } from './entry/home-router.js';
import { RemoteHomes } from './entry/remote-homes.js';
import { LedgerCleaner } from './home/ledger-cleaner.js';
import { HomeService } from './home/home-service.js';
import { StatusServer } from './http/status-server.js';
import { PeerNetwork } from '@gladespool/peers';

/** Outgoing network access of a host; tests and experiments substitute their own. */
export interface HostPorts {
  /** Opens a connection. */
  readonly dial: (port: number, address: string) => Socket;
  /** Creates a socket for a library that connects it itself. */
  readonly createSocket: () => Socket;
}

/** Options of a host. */
export interface HostOptions {
  readonly settings: HostSettings;
  readonly ports?: HostPorts;
  readonly tls?: CallerTls;
  readonly routing?: ReadRouting;
  /** Seed of the random number generators of this host. */
  readonly seed: number;
  /** Start time of the process, milliseconds since the epoch; distinguishes restarts. */
  readonly incarnation: number;
}

/** Network access through plain TCP sockets. */
export const NET_PORTS: HostPorts = {
  dial: (port, address) => new NetSocket().connect(port, address),
  createSocket: () => new NetSocket(),
};

const STORE_RETRY_MS = 200;
const STORE_MAX_RETRY_MS = 5000;
const ZONE_STATUS_INTERVAL_MS = 500;
const PUSH_DELAY_MS = 10;
const HANDSHAKE_TIMEOUT_MS = 2000;
const ATTEMPT_TIMEOUT_MS = 5000;
const FENCE_GRACE_MS = 400;
const STALLED_AFTER_MS = 2000;
const HANDOVER_WAIT_MS = 5000;

/** A running host. */
export class Host {
  readonly board: Blackboard;
  readonly metrics = new HostMetrics();
  readonly network: PeerNetwork;
  readonly homes: HomeService;
  readonly callers: CallerServer;
  readonly status: StatusServer;
  readonly bundle: BundleService;
  readonly relay: RelayService;
  readonly membership: MembershipService;
  readonly promotions: PromotionService;
  private readonly store: PlatformStore;
  private readonly hostList: HttpHostList;
  private readonly storeRelay: StoreRelay;
  private readonly log: Logger;
  private readonly zoneStatus: ZoneStatusReporter;
  private readonly ledgerCleaner: LedgerCleaner;
  private storedHead: StoredHead | undefined;
  private listTimer: NodeJS.Timeout | undefined;
  /** Entries of the host list that could not be read the last time. */
  private unreadableEntries = '';

  constructor(private readonly options: HostOptions) {
    const { settings, incarnation } = options;
    const { host, az, peer } = settings;
    this.log = createLogger('host', { host, az });
    this.board = new Blackboard(host, az);
    const ports = options.ports ?? NET_PORTS;
    this.store = new HttpStoreClient({ ...endpoint(settings.store), dial: ports.dial });
    const listEndpoint = { ...settings.hostList, timeout_ms: settings.store.timeout_ms };
    this.hostList = new HttpHostList({ ...endpoint(listEndpoint), dial: ports.dial });
    this.network = new PeerNetwork({
      identity: { host, az, key: peer.key, incarnation },
      dial: ports.dial,
      handshakeTimeoutMs: HANDSHAKE_TIMEOUT_MS,
      onControlBytes: (bytes) => {
        this.metrics.controlBytes.inc({ traffic: ControlTraffic.Peers }, bytes);
      },
      log: this.log,
    });
    this.bundle = this.createBundle();
    this.relay = new RelayService(
      az,
      incarnation,
      { expireMs: peer.expire_ms, pushDelayMs: PUSH_DELAY_MS },
      (hash) => this.bundle.part(hash),
    );
    this.network.addHandler(this.relay);
    this.network.addHandler(this.bundle);
    this.membership = this.createMembership();
    this.homes = this.createHomes(ports);
    this.network.addHandler(this.homes);
    this.storeRelay = this.createStoreRelay();
    this.promotions = this.createPromotions();
    this.zoneStatus = this.createZoneStatus();
    this.ledgerCleaner = new LedgerCleaner(() => this.homes.held, {
      keepMs: settings.upstream.ledger_keep_ms,
      homesPerGroup: peer.homes_per_group,
    });
    this.callers = this.createCallers();
    this.status = new StatusServer({ metrics: this.metrics, notReady: () => this.notReady() });
    this.board.onChange(Section.Members, () => {
      this.metrics.liveHosts.set(activeHosts(this.board.members, az).length);
      this.storeRelay.setActive(this.membership.isRelay);
      this.offerStoredHead();
    });
  }

  /** Opens the listening ports and joins the deployment. */
  async start(): Promise<void> {
    const { listen, hostList } = this.options.settings;
    await this.network.listen(listen.address, listen.peer_port);
    await this.callers.listen(listen.address, listen.caller_port);
    await this.status.listen(listen.address, listen.metrics_port);
    this.board.putMembers([this.self()]);
    void this.readHostList();
    this.membership.sendHeartbeats(performance.now());
    this.listTimer = setInterval(() => {
      void this.readHostList();
    }, hostList.interval_ms);
    this.log.info('started', { caller_port: this.callers.port, peer_port: this.network.port });
  }

  /** Planned stop: announces that it leaves, accepts no new work, finishes its work, then stops. */
  async drain(): Promise<void> {
    const { drain_ms: drainMs } = this.options.settings.caller;
    this.log.info('draining');
    this.board.draining = true;
    this.membership.sendHeartbeats(performance.now());
    await this.callers.drain(drainMs);
    await pause(this.options.settings.peer.heartbeat_ms);
    await this.homes.drain(drainMs);
    await this.stop();
  }

  /** Closes all services and connections immediately. */
  async stop(): Promise<void> {
    clearInterval(this.listTimer);
    this.promotions.stop();
    this.membership.stop();
    this.relay.stop();
    this.storeRelay.stop();
    this.zoneStatus.stop();
    this.ledgerCleaner.stop();
    this.homes.close();
    await Promise.all([
      this.callers.drain(0),
      this.network.stop(),
      this.status.stop(),
      this.store.close(),
      this.hostList.close(),
    ]);
    this.log.info('stopped');
  }

  private self(): Member {
    const { host, az, listen } = this.options.settings;
    const state = this.board.draining ? MemberState.Leaving : MemberState.Live;
    const { port } = this.network;
    return {
      host,
      az,
      address: listen.address,
      port,
      incarnation: this.options.incarnation,
      state,
    };
  }

  private notReady(): string | undefined {
    if (this.board.draining) return 'draining';
    return this.board.bundle === undefined ? 'no bundle yet' : undefined;
  }

  private async readHostList(): Promise<void> {
    const listed = await this.hostList.list();
    if (listed.isOk()) {
      this.membership.putListed(listed.value.hosts);
      this.noteUnreadableEntries(listed.value.unreadable);
      return;
    }
    const { step, peer, message } = listed.error;
    this.log.warn('host-list-failed', { step, peer, error: message });
  }

  /** Logs entries of the host list that cannot be read, once for each set of them. */
  private noteUnreadableEntries(places: readonly string[]): void {
    const text = places.join('; ');
    if (text !== '' && text !== this.unreadableEntries) {
      this.log.warn('host-list-entries-unreadable', { count: places.length, first: places[0] });
    }
    this.unreadableEntries = text;
  }

  private handleRecord(record: GroupRecord): void {
    this.board.putRecord(record, performance.now());
    if (this.relay.news.putRecord(record)) this.relay.push();
  }

  /**
   * Offers a head from the store, but only after relays of the zone could have reported a newer one: a
   * starting host must not install a bundle version that the other hosts have already replaced.
   */
  private handleStoredHead(stored: StoredHead): void {
    if (this.board.membersKnown) this.bundle.offer(stored.head, stored.fetch);
    else this.storedHead = stored;
  }

  private offerStoredHead(): void {
    const stored = this.storedHead;
    if (stored === undefined || !this.board.membersKnown) return;
    this.storedHead = undefined;
    this.bundle.offer(stored.head, stored.fetch);
  }

  private createBundle(): BundleService {
    return new BundleService({
      board: this.board,
      root: this.options.settings.trust,
      metrics: this.metrics,
      log: this.log,
      onInForce: (head) => {
        this.relay.news.putBundle(head);
        this.relay.push();
      },
    });
  }

  private createMembership(): MembershipService {
    const { peer } = this.options.settings;
    return new MembershipService({
      board: this.board,
      network: this.network,
      self: () => this.self(),
      rules: { heartbeatMs: peer.heartbeat_ms, expireMs: peer.expire_ms, relays: peer.relays },
      exchangeZones: () => this.exchangeZones(),
      log: this.log,
      listener: {
        onRecord: (record) => {
          this.handleRecord(record);
        },
        onBundleHead: (head, link) => {
          this.bundle.offerFromLink(head, link);
        },
        onForeignMember: (member) => {
          if (this.relay.news.putMember(member)) this.relay.push();
        },
      },
    });
  }

  /** Other zones that share a group with this one; without a bundle, all other listed zones. */
  private exchangeZones(): readonly AzId[] {
    const { az } = this.options.settings;
    const groups = [...(this.board.bundle?.groups.values() ?? [])];
    const shared = groups.map(zonesOfGroup).filter((zones) => zones.includes(az));
    const zones = new Set(shared.flat());
    if (groups.length === 0) for (const listed of this.membership.listedZones) zones.add(listed);
    zones.delete(az);
    return [...zones];
  }

  private createHomes(ports: HostPorts): HomeService {
    const { settings, seed, routing } = this.options;
    const { upstream, caller, peer } = settings;
    return new HomeService(
      {
        board: this.board,
        access: {
          user: upstream.user,
          password: upstream.password,
          connectTimeoutMs: upstream.connect_timeout_ms,
          maxAnswerBytes: caller.max_answer_bytes,
          applicationName: 'gladespool',
          createSocket: ports.createSocket,
        },
        rules: {
          statusIntervalMs: upstream.status_interval_ms,
          statusTimeoutMs: upstream.status_timeout_ms,
          suspectAfterMs: upstream.suspect_after_ms,
          replicaWaitMs: caller.replica_wait_ms,
          maxWaiting: caller.max_waiting,
        },
        routing: routing ?? new CoveringReplicaRouting(),
        random: new SeededRandom(seed),
        metrics: this.metrics,
        log: createLogger('home', { host: settings.host, az: settings.az }),
      },
      { homesPerGroup: peer.homes_per_group, releaseTimeoutMs: peer.expire_ms + peer.heartbeat_ms },
    );
  }

  private createStoreRelay(): StoreRelay {
    return new StoreRelay({
      store: this.store,
      metrics: this.metrics,
      log: this.log,
      retryMs: STORE_RETRY_MS,
      maxRetryMs: STORE_MAX_RETRY_MS,
      listener: {
        onBundleHead: (head, fetch) => {
          this.handleStoredHead({ head, fetch });
        },
        onRecord: (record) => {
          this.handleRecord(record);
        },
      },
    });
  }

  private createZoneStatus(): ZoneStatusReporter {
    return new ZoneStatusReporter({
      az: this.options.settings.az,
      store: this.store,
      version: () => this.bundle.inForce,
      hostVersions: () => this.relay.hostVersions,
      reports: () => this.membership.isFirstRelay,
      intervalMs: ZONE_STATUS_INTERVAL_MS,
    });
  }

  private createPromotions(): PromotionService {
    const { settings, seed } = this.options;
    return new PromotionService({
      homes: this.homes,
      network: this.network,
      store: this.store,
      random: new SeededRandom(seed + 1),
      metrics: this.metrics,
      log: createLogger('promotion', { host: settings.host, az: settings.az }),
      onRecord: (record) => {
        this.handleRecord(record);
      },
      rules: {
        homesPerGroup: settings.peer.homes_per_group,
        suspectAfterMs: settings.upstream.suspect_after_ms,
        damping: DEFAULT_DAMPING,
        attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
        graceMs: FENCE_GRACE_MS,
        stalledAfterMs: STALLED_AFTER_MS,
        handoverWaitMs: HANDOVER_WAIT_MS,
      },
    });
  }

  private createCallers(): CallerServer {
    const { settings, incarnation, tls } = this.options;
    const { caller } = settings;
    const router = new HomeRouter({
      board: this.board,
      local: this.homes,
      remote: new RemoteHomes(this.network, incarnation),
      homesPerGroup: settings.peer.homes_per_group,
      metrics: this.metrics,
    });
    return new CallerServer({
      board: this.board,
      users: settings.users,
      tls,
      loginTimeoutMs: caller.login_timeout_ms,
      maxCallers: caller.max_callers,
      metrics: this.metrics,
      log: createLogger('caller', { host: settings.host, az: settings.az }),
      session: {
        host: settings.host,
        router,
        tokens: new TokenCodec(settings.tokenKeys),
        metrics: this.metrics,
        maxMessageBytes: caller.max_message_bytes,
        maxAnswerBytes: caller.max_answer_bytes,
        defaultDeadlineMs: caller.default_deadline_ms,
      },
    });
  }
}

/** Head of a bundle that was read from the store, with the function that fetches its parts. */
interface StoredHead {
  readonly head: string;
  readonly fetch: PartFetch;
}

interface Endpoint {
  readonly address: string;
  readonly port: number;
  readonly timeout_ms: number;
}

function endpoint(from: Endpoint): {
  readonly address: string;
  readonly port: number;
  readonly timeoutMs: number;
} {
  return { address: from.address, port: from.port, timeoutMs: from.timeout_ms };
}
