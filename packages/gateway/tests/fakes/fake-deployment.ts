/**
 * A few gateway hosts in one process: real peer links on loopback, everything else in memory.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  AzId,
  RegionId,
  Topology,
  UpstreamId,
  WorkspaceLimit,
} from '@gladespool/coordination';
import {
  Access,
  azId,
  Consistency,
  DEFAULT_AUTHORITY,
  DEFAULT_FAILOVER,
  DEFAULT_OUTAGE_ESTIMATES,
  expiryRules,
  groupId,
  hashKey,
  hostId,
  NO_TOLERANCE,
  SINGLE_REGION,
  upstreamId,
  workspaceId,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import { freePort, LoopbackNetwork } from '@gladespool/standins';
import type {
  DocumentReadResult,
  ForeignDocument,
  GatewayRules,
  Outcome,
  UpstreamEntry,
} from '../../src/index.js';
import {
  DEFAULT_SYNC_RULES,
  GatewayHost,
  UNRELATED_KEY,
  ReportedRole,
  RequestRecorder,
  Session,
  StatementKind,
  usedDocument,
} from '../../src/index.js';
import { FakeDriver, FakeGroup, FakeUpstream } from './fake-group.js';
import { FakeLinks } from './fake-links.js';
import { FakeStore, FakeStoreClient } from './fake-store.js';

export const DATABASE = 'db1';
export const GROUP = groupId('g1');

/** API key of the callers; the configuration requires none unless `limit` is set. */
const KEY = 'k1';
/** Workspace of that key, if keys are required. */
export const WORKSPACE = workspaceId('w1');

/** Start time that the first upstream reports, Unix milliseconds; each other one starts a little later. */
export const BIRTH = 1_700_000_000_000;
/** Prefix of the key of a zone's evacuation. */
export const EVACUATION_PREFIX = 'evacuate/';

const LOOPBACK = '127.0.0.1';
const POLL_MS = 5;
const RULES: GatewayRules = {
  sync: DEFAULT_SYNC_RULES,
  failover: DEFAULT_FAILOVER,
  retirement: { pingMs: 100, silentMs: 800 },
  expiry: {
    leavingAfterMs: 1500,
    goneAfterMs: 60_000,
    newWorkMs: 60_000,
    lateNewsMs: 60_000,
    confirmsForMs: 90_000,
  },
  home: {
    authority: DEFAULT_AUTHORITY,
    connectTimeoutMs: 200,
    maxWaiting: 16,
    outageEstimates: DEFAULT_OUTAGE_ESTIMATES,
  },
  keys: { unconfirmedTtlMs: undefined },
  tolerance: NO_TOLERANCE,
  warmupTolerance: { overrun: 1, slack: 0 },
  evacuationMs: 5000,
  drain: { acceptMs: 0, transactionsMs: 10, statementsMs: 20, deregisterMs: 2000 },
  maxCallers: 10,
  startTimeoutMs: 1000,
};

/** One host of the deployment with its connections to the store and the upstreams. */
export interface FakeHost {
  readonly gateway: GatewayHost;
  readonly store: FakeStoreClient;
  readonly driver: FakeDriver;
  readonly metrics: HostMetrics;
  /** Address at which the other hosts reach it. */
  readonly address: string;
}

/** Hosts, a store, and one group of upstreams, three unless said otherwise. */
export class FakeDeployment {
  readonly store = new FakeStore();
  readonly group = new FakeGroup();
  readonly hosts: FakeHost[] = [];
  readonly links = new FakeLinks();
  private readonly network = new LoopbackNetwork();

  /** Limit of the workspace of the callers' key; undefined if no keys are required. */
  limit: WorkspaceLimit | undefined;

  /** Maximum age of the data that reads may return, milliseconds; 0 for reads of the primary. */
  maxStalenessMs = 0;

  /** Whether upstreams report their start times. */
  tellsBirths = false;

  /** Upstreams of the group, in zones z0, z1 and so on. */
  upstreams = 3;

  /** Replicas that must have received a commit before it is confirmed. */
  syncReplicas = 0;

  /** Time for which upstreams of an evacuated zone may be used in part, milliseconds. */
  evacuationMs = 5000;

  /** Time for which leaving upstreams accept work, milliseconds; undefined if it does not end in a scenario. */
  servesOnMs: number | undefined;

  /** Time limit of a statement, milliseconds. */
  timeoutMs = 3000;

  /** Topology of zones and regions. */
  topology: Topology = SINGLE_REGION;

  /** Regions that the data of the route may not leave; undefined where it may be anywhere. */
  regions: readonly RegionId[] | undefined;

  /** The same for the workspace of the callers' key, where there is one. */
  workspaceRegions: readonly RegionId[] | undefined;

  /** Time that hosts of a zone need to read one key of the store, milliseconds; 0 if it is missing. */
  readonly roundTripsMs = new Map<AzId, number>();

  /** Interval between two pings of the next host in the list, milliseconds. */
  pingMs = RULES.retirement.pingMs;

  /** Starts `count` hosts and waits until each may use the primary. */
  async start(count: number): Promise<void> {
    this.putCatalog();
    for (let index = 0; index < this.upstreams; index += 1) this.addUpstream(index);
    for (let index = 0; index < count; index += 1) await this.addHost(index);
    await this.until(() => this.hosts.every(({ gateway }) => this.mayWrite(gateway)));
    await this.until(() => this.hosts.every(({ gateway }) => gateway.board.hosts.size === count));
  }

  async stop(): Promise<void> {
    this.store.away = false;
    await Promise.all(this.hosts.map(({ gateway }) => gateway.drain()));
  }

  /** Runs one statement in a session of its own. */
  async run(host: FakeHost, text: string): Promise<Outcome> {
    const { board } = host.gateway;
    const journal = new RequestRecorder(board, host.metrics, createLogger('test'));
    const { routing: executor, limits } = host.gateway;
    const session = new Session(DATABASE, KEY, {
      board,
      executor,
      limits,
      keys: RULES.keys,
      recorder: journal,
    });
    const access = text.startsWith('READ') ? Access.Read : Access.Write;
    const statement = { kind: StatementKind.Run, access, text } as const;
    const { outcome } = await session.handle(text, statement, performance.now());
    session.close();
    return outcome;
  }

  /** Waits until a condition is true. */
  async until(condition: () => boolean): Promise<void> {
    while (!condition()) await pause(POLL_MS);
  }

  primary(): UpstreamId | undefined {
    return this.hosts[0]?.gateway.board.record(GROUP)?.primary;
  }

  private mayWrite(gateway: GatewayHost): boolean {
    const { board } = gateway;
    return board.record(GROUP) !== undefined && Number.isFinite(board.latestProofAt);
  }

  /** Adds an upstream and its entry; the first one is the primary unless said otherwise. */
  addUpstream(index: number, isPrimary = index === 0): FakeUpstream {
    const id = upstreamId(`u${index}`);
    const upstream = new FakeUpstream(id);
    upstream.isPrimary = isPrimary;
    this.group.upstreams.set(id, upstream);
    const role = isPrimary ? ReportedRole.Primary : ReportedRole.Replica;
    const entry: UpstreamEntry = {
      id,
      group: GROUP,
      address: LOOPBACK,
      port: 1,
      az: azId(`z${index}`),
      role,
      slots: 3,
      draining: false,
      ...(this.tellsBirths && { born: BIRTH + index }),
    };
    this.store.put(`upstream/${id}`, entry);
    return upstream;
  }

  /** Adds a host whose reads of the whole store take `fullReadMs`. */
  async addHost(index: number, fullReadMs = 0): Promise<void> {
    const store = new FakeStoreClient(this.store);
    const az = azId(`z${index % 3}`);
    store.fullReadMs = fullReadMs;
    store.roundTripMs = this.roundTripsMs.get(az) ?? 0;
    const driver = new FakeDriver(this.group);
    const metrics = new HostMetrics();
    const address = this.network.address(index);
    const gateway = new GatewayHost({
      self: {
        host: hostId(`h${index}`),
        az,
        address,
        port: await freePort(address),
        incarnation: index + 1,
        linkMbps: 100,
      },
      callers: { address: LOOPBACK, port: 0 },
      store,
      documents: { read: (key, text) => readDocument(key, text, this) },
      driver,
      promotions: this.group,
      createCodec: () => {
        throw new Error('no caller connects in these tests');
      },
      peerKey: Buffer.from('test'),
      dial: this.links.dialFrom(address),
      seeds: [],
      rules: {
        ...RULES,
        evacuationMs: this.evacuationMs,
        expiry: this.servesOnMs === undefined ? RULES.expiry : expiryRules(this.servesOnMs),
        retirement: { ...RULES.retirement, pingMs: this.pingMs },
      },
      topology: this.topology,
      metrics,
      seed: index,
    });
    await gateway.start();
    this.hosts.push({ gateway, store, driver, metrics, address });
  }

  private putCatalog(): void {
    this.store.put('catalog', { version: 1 });
  }
}

/** Reads the documents of the tests: a fixed catalog, and upstreams and evacuations as they were stored. */
function readDocument(
  key: string,
  text: string,
  { maxStalenessMs, timeoutMs, limit, regions, workspaceRegions, syncReplicas }: FakeDeployment,
): DocumentReadResult<ForeignDocument> {
  if (key.startsWith('upstream/')) {
    return usedDocument({ kind: 'upstream', entry: JSON.parse(text) as UpstreamEntry });
  }
  if (key.startsWith(EVACUATION_PREFIX)) {
    return usedDocument({ kind: 'evacuation', az: azId(key.slice(EVACUATION_PREFIX.length)) });
  }
  if (key !== 'catalog') return UNRELATED_KEY;
  const route = {
    database: DATABASE,
    group: GROUP,
    consistency: maxStalenessMs > 0 ? Consistency.BoundedStaleness : Consistency.Primary,
    maxStalenessMs,
    timeoutMs,
    targetLatencyMs: 500,
    priority: 1,
    isPublic: false,
    ...(regions && { regions }),
  };
  const ofWorkspace = workspaceRegions && { regions: workspaceRegions };
  const workspace = { id: WORKSPACE, limit, ...ofWorkspace };
  const bounds = { group: GROUP, connectionsPerUpstream: 20, syncReplicas };
  return usedDocument({
    kind: 'catalog',
    catalog: {
      version: (JSON.parse(text) as { readonly version: number }).version,
      routes: new Map([[DATABASE, route]]),
      groups: new Map([[GROUP, bounds]]),
      keys: limit && new Map([[hashKey(KEY), workspace]]),
      workspaces: new Map(limit && [[WORKSPACE, workspace]]),
      transactionIdleMs: 1000,
    },
  });
}
