import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { GladespoolError, PrimaryRecord } from '@gladespool/coordination';
import {
  azId,
  DEFAULT_AUTHORITY,
  groupId,
  hostId,
  expiryRules,
  RecordPhase,
  upstreamId,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { Result } from 'neverthrow';
import { HostRound } from '../src/control/hosts/host-round.js';
import { EraOpener } from '../src/control/store/era-opener.js';
import { GuardedStore } from '../src/control/store/guarded-store.js';
import type { ChangeResult } from '../src/index.js';
import {
  eraKey,
  GatewayBoard,
  primaryKey,
  RelayOrder,
  StorePurpose,
  StoreView,
} from '../src/index.js';
import { fakeReader } from './fakes/fake-documents.js';
import { FakeStore, FakeStoreClient } from './fakes/fake-store.js';
import { at } from './fakes/store-positions.js';

interface GuardWorld {
  store: FakeStore;
  guarded: GuardedStore;
  taken: Result<unknown, GladespoolError>;
  changed: Result<ChangeResult, GladespoolError>;
  view: StoreView;
  opener: EraOpener;
}

const KEY = 'gladespool/some';
const TIMEOUT_MS = 100;
const GROUP = groupId('g1');
const STEP_MS = 20;

Given('a host that knows era {int} of the store', function (this: GuardWorld, era: number) {
  this.store = new FakeStore();
  this.store.put(KEY, 1);
  const client = new FakeStoreClient(this.store);
  this.guarded = new GuardedStore(client, { era }, createLogger('test'));
});

When(
  'the store answers a {word} in era {int}',
  async function (this: GuardWorld, call: string, era: number) {
    this.store.era = era;
    const { guarded } = this;
    if (call === 'read') this.taken = await guarded.read(KEY, StorePurpose.Proof, TIMEOUT_MS);
    else if (call === 'range')
      this.taken = await guarded.range('', StorePurpose.Follow, TIMEOUT_MS);
    else this.taken = await guarded.watch('', at(1, era), TIMEOUT_MS);
  },
);

Then(/^the host takes (the answer|nothing of it)$/, function (this: GuardWorld, taken: string) {
  assert.equal(this.taken.isOk(), taken === 'the answer');
});

When(
  'it changes a key under a condition of era {int}, at a store of era {int} whose era {int} is opened',
  async function (this: GuardWorld, condition: number, era: number, opened: number) {
    this.store.era = era;
    this.store.put(eraKey(opened), {});
    const { revision = 0 } = this.store.items.get(KEY)?.position ?? {};
    const change = {
      conditions: [{ key: KEY, position: at(revision, condition) }],
      writes: [{ key: KEY, value: '2' }],
      removals: [],
    };
    this.changed = await this.guarded.change(change, StorePurpose.Record, TIMEOUT_MS);
  },
);

Then(
  /^the change ends as (done|conflict|not certain), and is (made|not made)$/,
  function (this: GuardWorld, end: string, made: string) {
    const ended = this.changed.isErr() ? 'not certain' : this.changed.value.kind;
    assert.equal(ended, end);
    assert.equal(this.store.items.get(KEY)?.value, made === 'made' ? '2' : '1');
  },
);

function recordOf(epoch: number): PrimaryRecord {
  const phase = RecordPhase.Serving;
  return { group: GROUP, epoch, phase, primary: upstreamId(`u${epoch}`), holder: hostId('h2') };
}

Given(
  'a host that knows era 0 of the store, with a primary of epoch {int}',
  async function (this: GuardWorld, epoch: number) {
    this.store = new FakeStore();
    this.store.put(primaryKey(GROUP), recordOf(epoch - 1));
    this.store.put(primaryKey(GROUP), recordOf(epoch));
    createOpener(this);
    await readAll(this);
  },
);

Given(
  'a host that reads a store which is empty in era {int}',
  async function (this: GuardWorld, era: number) {
    this.store = new FakeStore();
    this.store.era = era;
    createOpener(this);
    await readAll(this);
  },
);

Then('the host marks era {int} as opened', async function (this: GuardWorld, era: number) {
  while (!this.store.items.has(eraKey(era))) {
    this.opener.tick(performance.now());
    await pause(STEP_MS);
  }
});

function createOpener(world: GuardWorld): void {
  const self = {
    host: hostId('h1'),
    az: azId('z1'),
    address: '127.0.0.1',
    port: 1,
    incarnation: 1,
    linkMbps: 20,
  };
  const board = new GatewayBoard(self.host, self.az);
  const metrics = new HostMetrics();
  const log = createLogger('test');
  const view = new StoreView({
    board,
    reader: fakeReader(board, metrics),
    metrics,
    log,
    startedAt: performance.now(),
    expiry: expiryRules(1000),
  });
  const store = new GuardedStore(new FakeStoreClient(world.store), view, log);
  const order = new RelayOrder(board);
  const calls = { request: unexpectedCall, notify: unexpectedCall, isReachable: () => false };
  const round = new HostRound({ board, order, calls });
  world.view = view;
  world.opener = new EraOpener({
    ...{ self, board, view, store, order, round, metrics, log },
    authority: DEFAULT_AUTHORITY,
    reloadOwnDocuments: () => readAll(world),
  });
}

function unexpectedCall(): never {
  throw new Error('no other host is asked');
}

async function readAll({ view, store }: GuardWorld): Promise<void> {
  const range = await new FakeStoreClient(store).range('');
  view.replace('', range._unsafeUnwrap(), performance.now());
}

When(
  'the store is restored in era 1 with the primary of epoch 5, and is opened by others',
  async function (this: GuardWorld) {
    this.store.restore(1);
    this.store.put(eraKey(1), {});
    await readAll(this);
  },
);

Then('the host takes no proof from the store', function (this: GuardWorld) {
  assert.ok(this.view.isEraOpened);
  assert.ok(!this.view.isEraSettled);
});

Then(
  'it writes the record back as claimed under epoch {int}',
  async function (this: GuardWorld, epoch: number) {
    const stored = (): PrimaryRecord =>
      JSON.parse(this.store.items.get(primaryKey(GROUP))?.value ?? '{}') as PrimaryRecord;
    while (stored().epoch !== epoch) {
      this.opener.tick(performance.now());
      await pause(STEP_MS);
    }
    assert.deepEqual([stored().phase, stored().primary], [RecordPhase.Claimed, 'u6']);
  },
);

Then('the host takes proofs from the store again', function (this: GuardWorld) {
  assert.ok(this.view.isEraSettled);
});
