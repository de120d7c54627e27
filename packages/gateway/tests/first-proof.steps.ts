import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { azId, hostId, lapseRules } from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import { GatewayBoard } from '../src/board.js';
import { DEFAULT_PROOFS, ProofKeeper } from '../src/control/proof-keeper.js';
import { Registrar } from '../src/control/registrar.js';
import { DEFAULT_FOLLOWER, StoreFollower } from '../src/control/store-follower.js';
import { StoreView } from '../src/control/store-view.js';
import { FakeStore, FakeStoreClient } from './fakes/fake-store.js';

interface ProofWorld {
  store: FakeStore;
  board: GatewayBoard;
  keeper: ProofKeeper;
  registrar: Registrar;
}

const POLL_MS = 2;
const SERVES_ON_MS = 1000;

function createHost(world: ProofWorld): void {
  const self = {
    host: hostId('h1'),
    az: azId('z1'),
    address: '127.0.0.1',
    port: 1,
    incarnation: 7,
    linkMbps: 1000,
  };
  const log = createLogger('test');
  const board = new GatewayBoard(self.host, self.az);
  const store = new FakeStoreClient(world.store);
  const documents = { read: () => undefined };
  const view = new StoreView(board, documents, log, performance.now(), lapseRules(SERVES_ON_MS));
  const metrics = new HostMetrics();
  const follower = new StoreFollower({ store, view, metrics, log, rules: DEFAULT_FOLLOWER });
  const registrar = new Registrar(self, board, store, log);
  const rules = DEFAULT_PROOFS;
  world.board = board;
  world.registrar = registrar;
  world.keeper = new ProofKeeper({ self, board, store, view, follower, registrar, rules, log });
}

Given('a store that lists no host', function (this: ProofWorld) {
  this.store = new FakeStore();
  createHost(this);
});

When('a host reads its proof once', async function (this: ProofWorld) {
  assert.equal(await this.keeper.read(), true);
});

When(
  'a host reads its proof once, and the answer to its registration is lost',
  async function (this: ProofWorld) {
    this.store.loseAnswers = 1;
    assert.equal(await this.keeper.read(), true);
    while (this.store.loseAnswers > 0) await pause(POLL_MS);
  },
);

Then(
  'it is listed, and holds a proof without another tick',
  { timeout: 20_000 },
  async function (this: ProofWorld) {
    while (!Number.isFinite(this.board.provenSince)) await pause(POLL_MS);
    assert.equal(this.registrar.isListed, true);
  },
);

Then('it holds no proof before it has read again', async function (this: ProofWorld) {
  assert.equal(Number.isFinite(this.board.provenSince), false);
  assert.equal(await this.keeper.read(), true);
  assert.equal(Number.isFinite(this.board.provenSince), true);
});
