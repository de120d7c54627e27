import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  azId,
  hostId,
  expiryRules,
  SINGLE_REGION,
  regionId,
  Topology,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import { GatewayBoard } from '../src/knowledge/board.js';
import { DEFAULT_PROOF_RULES, ProofRenewer } from '../src/control/proofs/proof-renewer.js';
import { HostRegistrar } from '../src/control/store/registrar.js';
import { DEFAULT_FOLLOWER, StoreFollower } from '../src/control/store/store-follower.js';
import { hostKey } from '../src/control/store/store-documents.js';
import { StoreView } from '../src/control/store/store-view.js';
import { fakeReader } from './fakes/fake-documents.js';
import { FakeStore, FakeStoreClient } from './fakes/fake-store.js';

interface ProofWorld {
  store: FakeStore;
  board: GatewayBoard;
  client: FakeStoreClient;
  renewer: ProofRenewer;
  registrar: HostRegistrar;
  follower: StoreFollower;
  view: StoreView;
  provenBefore: number;
}

const POLL_MS = 2;
const SERVES_ON_MS = 1000;
const ROUND_TRIP_MS = 20;

const SELF = {
  host: hostId('h1'),
  az: azId('z1'),
  address: '127.0.0.1',
  port: 1,
  incarnation: 7,
  linkMbps: 1000,
};

const TWO_REGIONS = new Topology(
  new Map([
    [SELF.az, regionId('r1')],
    [azId('z2'), regionId('r2')],
  ]),
);

function createHost(world: ProofWorld, topology = SINGLE_REGION): void {
  const self = SELF;
  const log = createLogger('test');
  const board = new GatewayBoard(self.host, self.az, topology);
  const store = new FakeStoreClient(world.store);
  const metrics = new HostMetrics();
  const view = new StoreView({
    board,
    reader: fakeReader(board),
    metrics,
    log,
    startedAt: performance.now(),
    expiry: expiryRules(SERVES_ON_MS),
  });
  const follower = new StoreFollower({ store, view, metrics, log, rules: DEFAULT_FOLLOWER });
  const registrar = new HostRegistrar(self, board, store, view, log);
  const rules = DEFAULT_PROOF_RULES;
  world.board = board;
  world.client = store;
  world.registrar = registrar;
  world.view = view;
  world.follower = follower;
  world.renewer = new ProofRenewer({ self, board, store, view, follower, registrar, rules, log });
}

Given('a store that lists no host', function (this: ProofWorld) {
  this.store = new FakeStore();
  createHost(this);
});

Given('a store that lists no host, in a deployment of two regions', function (this: ProofWorld) {
  this.store = new FakeStore();
  createHost(this, TWO_REGIONS);
});

When('a host reads the store and lists itself', async function (this: ProofWorld) {
  await this.follower.readOnce();
  await this.renewer.register();
});

When(
  'another process of the host has been listed since revision {int}',
  function (this: ProofWorld, revision: number) {
    this.provenBefore = Number.NEGATIVE_INFINITY;
    const former = { ...SELF, incarnation: SELF.incarnation - 1 };
    this.store.put(hostKey(SELF.host), former);
    assert.equal(this.store.revision, revision);
  },
);

When(
  'a host reads the store and lists itself, the other process being removed in between',
  async function (this: ProofWorld) {
    await this.follower.readOnce();
    this.store.remove(hostKey(SELF.host));
    await this.renewer.register();
  },
);

Then('it joined the list at revision {int}', function (this: ProofWorld, revision: number) {
  assert.deepEqual(this.view.listedSince(SELF.host), { era: 0, revision });
});

Then('it joined the list when it listed itself', function (this: ProofWorld) {
  const entry = this.store.items.get(hostKey(SELF.host));
  assert.ok(entry);
  assert.deepEqual(this.view.listedSince(SELF.host), entry.position);
});

When(
  'a host reads the store and lists itself, another one listing itself in between',
  async function (this: ProofWorld) {
    await this.follower.readOnce();
    this.store.put(hostKey('h2'), { ...SELF, host: 'h2' });
    await this.renewer.register();
  },
);

When(
  'a host reads the store and lists itself, and the answer to its registration is lost',
  async function (this: ProofWorld) {
    await this.follower.readOnce();
    this.store.loseAnswers = 1;
    await this.renewer.register();
    assert.equal(this.store.loseAnswers, 0);
  },
);

When(
  'a host reads the store and lists itself, and its measuring read is lost',
  async function (this: ProofWorld) {
    await this.follower.readOnce();
    this.client.loseReads = 1;
    await this.renewer.register();
    assert.equal(this.client.loseReads, 0);
  },
);

When(
  'a host reads the store and begins to stop while it measures its round trip',
  async function (this: ProofWorld) {
    await this.follower.readOnce();
    this.client.roundTripMs = ROUND_TRIP_MS;
    const registering = this.renewer.register();
    this.board.draining = true;
    await registering;
  },
);

When(
  'a host reads the store and lists itself, and reads it once more',
  async function (this: ProofWorld) {
    await this.follower.readOnce();
    await this.renewer.register();
    await this.renewer.read();
  },
);

Then(
  /^a tick ([\d.]+) ms after that read (begins|does not begin) the next one$/,
  function (this: ProofWorld, ms: string, begins: string) {
    const began = this.renewer.tick(this.board.latestProofAt + Number(ms));
    assert.equal(began, begins === 'begins');
  },
);

Then('the store lists no host', function (this: ProofWorld) {
  assert.equal(this.store.items.has(hostKey(SELF.host)), false);
});

Then('it reports no round trip to the store', function (this: ProofWorld) {
  const entry = this.board.hosts.get(SELF.host);
  assert.ok(entry);
  assert.equal(entry.storeRoundTripMs, undefined);
});

When('it is taken off the list', function (this: ProofWorld) {
  this.store.remove(hostKey(SELF.host));
  this.provenBefore = this.board.latestProofAt;
});

Then('it is listed, and holds a proof without reading again', function (this: ProofWorld) {
  assert.equal(Number.isFinite(this.board.latestProofAt), true);
  assert.equal(this.registrar.isListed, true);
});

Then('it holds no proof before it has read again', async function (this: ProofWorld) {
  assert.equal(Number.isFinite(this.board.latestProofAt), false);
  assert.equal(await this.renewer.read(), true);
  assert.equal(Number.isFinite(this.board.latestProofAt), true);
});

Then(
  'it lists itself again with its next reads, and holds a proof of then',
  { timeout: 20_000 },
  async function (this: ProofWorld) {
    while (this.board.latestProofAt <= this.provenBefore || !this.registrar.isListed) {
      assert.equal(await this.renewer.read(), true);
      await pause(POLL_MS);
    }
  },
);
