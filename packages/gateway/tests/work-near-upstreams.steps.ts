import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, GladespoolError, GroupId, HostId } from '@gladespool/coordination';
import {
  Access,
  azId,
  Consistency,
  gladespoolError,
  hostId,
  RecordPhase,
  regionId,
  Step,
  Topology,
  upstreamId,
} from '@gladespool/coordination';
import type { PeerAddress } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { WatermarkExchange } from '../src/forward/watermark-exchange.js';
import { RoutedExecutor } from '../src/forward/routed-executor.js';
import type { GroupHome, HomeContext, StatementJob, UpstreamEntry } from '../src/index.js';
import { GatewayBoard, LocalExecutor, ReportedRole } from '../src/index.js';
import type { PeerCalls } from '../src/peering/peer-calls.js';
import { DATABASE, GROUP } from './fakes/fake-deployment.js';
import { homeContext } from './fakes/fake-home.js';

interface NearWorld {
  topology: Topology;
  zones: readonly AzId[];
  upstreams: readonly UpstreamEntry[];
  /** Homes that were sent a request, in order. */
  requested: string[];
  /** Connections that this host tried to open. */
  connectCount: number;
  home: GroupHome;
  marks: WatermarkExchange;
  now: number;
  told: Frame | undefined;
}

const HOSTS_A_ZONE = 4;
const STATEMENT_MS = 200;
const FAILED = gladespoolError({ step: Step.PeerConnect, peer: 'p' }, 'fails');
const PRIMARY = upstreamId('u0');
const RECORD = {
  group: GROUP,
  epoch: 1,
  phase: RecordPhase.Serving,
  primary: PRIMARY,
  holder: hostId('a1-0'),
};

Given(
  'zones {string} in one region and {string} in another, {int} hosts each, and upstreams in {string}, the first of them the primary',
  function (this: NearWorld, near: string, far: string, hosts: number, upstreams: string) {
    assert.equal(hosts, HOSTS_A_ZONE);
    const regions = [near, far].flatMap((zones, index) =>
      zones.split(' ').map((zone) => [azId(zone), regionId(`r${index}`)] as const),
    );
    this.topology = new Topology(new Map(regions));
    this.zones = regions.map(([az]) => az);
    this.upstreams = upstreams.split(' ').map((zone, index) => ({
      id: upstreamId(`u${index}`),
      group: GROUP,
      address: '127.0.0.1',
      port: 1,
      az: azId(zone),
      role: index === 0 ? ReportedRole.Primary : ReportedRole.Replica,
      slots: 4,
      draining: false,
    }));
    this.requested = [];
    this.connectCount = 0;
    this.now = performance.now();
  },
);

/** Context of the homes of one host, which knows the whole deployment. */
function contextOf(world: NearWorld, host: HostId, az: AzId): HomeContext {
  const board = new GatewayBoard(host, az, world.topology);
  const context = homeContext(board, {
    connect: () => {
      world.connectCount += 1;
      return Promise.resolve(err(FAILED));
    },
    readStatus: () => undefined,
  });
  const hosts = world.zones.flatMap((zone) =>
    Array.from({ length: HOSTS_A_ZONE }, (_, index) => hostAt(zone, index)),
  );
  board.putHosts(new Map(hosts.map((entry) => [entry.host, entry])));
  board.putUpstreams(new Map(world.upstreams.map((entry) => [entry.id, entry])));
  const bounds = { group: GROUP, connectionsPerUpstream: 70, syncReplicas: 0 };
  board.putCatalog({
    version: 1,
    routes: new Map(),
    groups: new Map([[GROUP, bounds]]),
    keys: undefined,
    workspaces: new Map(),
    transactionIdleMs: 1000,
  });
  board.putRecord(RECORD);
  board.recordProof(world.now);
  return context;
}

type HostAt = ReturnType<GatewayBoard['hosts']['get']> & object;

function hostAt(az: AzId, index: number): HostAt {
  const host = hostId(`${az}-${index}`);
  return { host, az, address: '127.0.0.1', port: 1, incarnation: 1, linkMbps: 20 };
}

/** A host of the zone that is a home of the group, or one that is not. */
function hostOf(world: NearWorld, zone: string, isHome: boolean): HomeContext {
  const az = azId(zone);
  for (let index = 0; index < HOSTS_A_ZONE; index += 1) {
    const context = contextOf(world, hostAt(az, index).host, az);
    if (context.directory.isHome(GROUP) === isHome) return context;
  }
  throw new Error(`no such host in ${zone}`);
}

function jobOf(access: Access): StatementJob {
  const now = performance.now();
  const route = {
    database: DATABASE,
    group: GROUP,
    consistency: Consistency.BoundedStaleness,
    maxStalenessMs: 1500,
    timeoutMs: STATEMENT_MS,
    targetLatencyMs: STATEMENT_MS,
    priority: 1,
    isPublic: true,
  };
  const session = { values: new Map<string, string>(), own: undefined, workspace: undefined };
  const work = { kind: 'text', access, text: 'x' } as const;
  return { route, id: 'r', work, ...session, beganAt: now, arrivedAt: now };
}

/** Peer calls that record the hosts contacted; all fail but requests for a watermark, which get the prepared reply. */
function callsOf(world: NearWorld): PeerCalls {
  const request = (
    peer: PeerAddress,
    build: (id: number) => Frame,
  ): Promise<Result<Frame, GladespoolError>> => {
    world.requested.push(peer.host);
    const isMark = build(1).kind === FrameKind.WatermarkRequest;
    return Promise.resolve(isMark && world.told ? ok(world.told) : err(FAILED));
  };
  return { isReachable: () => true, request, notify: () => undefined } as unknown as PeerCalls;
}

async function runRouted(
  world: NearWorld,
  context: HomeContext,
  access: Access,
  startedAt: number,
): Promise<void> {
  const { board, directory, reachability, metrics, log } = context;
  const local = new LocalExecutor(context);
  const home = (group: GroupId): GroupHome => local.home(group);
  const calls = callsOf(world);
  const shared = { board, local, home, calls, directory, reachability, metrics, log };
  await new RoutedExecutor({ ...shared, startedAt }).run(jobOf(access));
}

When(
  /^a host of zone "(\w+)" that is not a home runs a (read|write)$/,
  async function (this: NearWorld, zone: string, work: string) {
    const access = work === 'read' ? Access.Read : Access.Write;
    await runRouted(this, hostOf(this, zone, false), access, Number.NEGATIVE_INFINITY);
  },
);

Then(
  'the first host that it forwards to is a home of zone {string}',
  function (this: NearWorld, zone: string) {
    const [first = ''] = this.requested;
    assert.equal(first.split('-')[0], zone);
    const context = hostOf(this, zone, true);
    assert.ok(context.directory.plan(GROUP).homes.get(azId(zone))?.includes(hostId(first)));
  },
);

When(
  'a host of zone {string} that is not a home started {int} ms ago and all homes refuse its work',
  async function (this: NearWorld, zone: string, ago: number) {
    await runRouted(this, hostOf(this, zone, false), Access.Write, this.now - ago);
  },
);

Then(
  /^it opens (no connection|a connection) to upstreams itself$/,
  function (this: NearWorld, connections: string) {
    assert.ok(this.requested.length > 0);
    assert.equal(this.connectCount > 0, connections === 'a connection');
  },
);

Given(
  /^a home of zone "(\w+)" whose newest watermark is (\w+) ms old, for reads that may be 1500 ms old$/,
  function (this: NearWorld, zone: string, age: string) {
    const context = hostOf(this, zone, true);
    const { board, directory } = context;
    const local = new LocalExecutor(context);
    this.home = local.home(GROUP);
    const calls = callsOf(this);
    this.marks = new WatermarkExchange({ board, directory, calls, home: () => this.home });
    if (age === 'none') return;
    this.home.marks.startEpoch(1);
    this.home.marks.add({ sentAt: this.now - Number(age), position: { term: 1, offset: 1 } });
  },
);

When(
  /^it runs a read, and the home that it asks reports a watermark of epoch (\w+) that is (\d+) ms old$/,
  async function (this: NearWorld, epoch: string, ageMs: string) {
    const mark = { position: { term: 1, offset: 2 }, ageMs: Number(ageMs) };
    const reply = { kind: FrameKind.WatermarkReply, id: 1 } as const;
    this.told = epoch === 'none' ? reply : { ...reply, mark };
    this.marks.refreshIfStale(jobOf(Access.Read), this.now);
    // A second read at the same time sends no further request.
    this.marks.refreshIfStale(jobOf(Access.Read), this.now);
    await new Promise((resolve) => setImmediate(resolve));
  },
);

Then(
  /^it sent (\d) requests, and its newest watermark is (kept|told)$/,
  function (this: NearWorld, asked: string, newest: string) {
    assert.equal(this.requested.length, Number(asked));
    assert.equal(this.home.marks.newest?.position.offset, newest === 'told' ? 2 : 1);
    if (newest === 'told') assert.ok(this.home.marks.newest.sentAt <= performance.now() - 10);
  },
);

When(
  'its proof has expired, and it receives a watermark that is {int} ms old',
  function (this: NearWorld, ageMs: number) {
    const later = this.now + 10_000;
    const watermark = { sentAt: later - ageMs, position: { term: 1, offset: 2 } };
    this.home.addWatermark(RECORD, watermark, later);
  },
);

Then('it has no watermark', function (this: NearWorld) {
  assert.equal(this.home.marks.newest, undefined);
});
