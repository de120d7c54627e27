import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  azId,
  groupId,
  hostId,
  isLater,
  expiryRules,
  recordRank,
  RecordPhase,
  upstreamId,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import fc from 'fast-check';
import { PROMOTION_LEASE_KEY, primaryKey } from '../src/control/store/store-documents.js';
import type { StoreRange } from '../src/index.js';
import { GatewayBoard, ReportedRole, StoreView } from '../src/index.js';
import { CONFIG_KEY, fakeReader, UPSTREAM_PREFIX } from './fakes/fake-documents.js';
import { FakeStore } from './fakes/fake-store.js';

interface HistoriesWorld {
  store: FakeStore;
  host: ViewedHost;
  now: number;
}

const SEED = 38;
const RUNS = 400;
const STEP_MS = 50;
/** Time after which no document that differs from the store is retained any more, milliseconds. */
const SETTLED_MS = 20_000;
const GROUP = groupId('g1');
const UPSTREAM_KEY = `${UPSTREAM_PREFIX}u1`;
const EVACUATION_KEY = 'evacuation/z1';

/** One host's view of a store. */
class ViewedHost {
  readonly board = new GatewayBoard(hostId('h1'), azId('z1'));
  readonly view: StoreView;
  /** Result of a read that was answered but has not arrived yet. */
  late: StoreRange | undefined;
  private version = 0;
  private rank = 0;

  constructor() {
    const metrics = new HostMetrics();
    this.view = new StoreView({
      board: this.board,
      reader: fakeReader(this.board, metrics),
      metrics,
      log: createLogger('test'),
      startedAt: 0,
      expiry: expiryRules(1000),
    });
  }

  read(range: StoreRange, now: number): void {
    // An answer of a previous era is rejected.
    if (range.position.era >= this.view.newest.era) this.view.replace('', range, now);
  }

  watch(store: FakeStore, now: number): void {
    const { position } = this.view;
    const canContinue = store.era === position.era && !isLater(position, store.position);
    if (!canContinue) {
      this.read(allOf(store), now);
      return;
    }
    const fresh = store.events.filter(({ revision }) => revision > position.revision);
    const events = fresh.map(({ event }) => event);
    this.view.applyEvents(events, store.position, now);
  }

  syncFrom(other: ViewedHost, now: number): void {
    if (!isLater(other.view.position, this.view.position)) return;
    this.view.applyDelta(other.view.deltaSince(this.view.position), now);
  }

  assertNoRegression(): void {
    const version = this.board.catalog?.version ?? 0;
    const record = this.board.record(GROUP);
    const rank = record === undefined ? 0 : recordRank(record);
    assert.ok(version >= this.version, `configuration ${version} after ${this.version}`);
    assert.ok(rank >= this.rank, `record of rank ${rank} after ${this.rank}`);
    this.version = version;
    this.rank = rank;
  }
}

function allOf(store: FakeStore): StoreRange {
  const { era } = store;
  const items = [...store.items.values()].map((item) => ({
    ...item,
    position: { era, revision: item.position.revision },
  }));
  return { items, position: store.position };
}

function upstream(draining: boolean, born?: number): unknown {
  const entry = {
    id: upstreamId('u1'),
    group: GROUP,
    address: '127.0.0.1',
    port: 2,
    az: azId('z1'),
    role: ReportedRole.Primary,
    slots: 3,
    draining,
  };
  return born === undefined ? entry : { ...entry, born };
}

function record(epoch: number): unknown {
  return { group: 'g1', epoch, phase: RecordPhase.Serving, primary: 'u1', holder: 'h1' };
}

function duty(fence: number): unknown {
  return { holder: 'h1', incarnation: 1, fence, renewal: 1 };
}

/** One random run: a store, two hosts, and the last documents of owners that write them again after a restore. */
class RandomHistory {
  readonly store = new FakeStore();
  readonly hosts: readonly [ViewedHost, ViewedHost] = [new ViewedHost(), new ViewedHost()];
  private readonly owned = new Map<string, unknown>();
  private version = 1;
  private sequence = 1;
  private epoch = 1;
  private now = 0;

  constructor() {
    this.put(CONFIG_KEY, { version: 1, groups: ['g1'] });
    for (const host of this.hosts) host.read(allOf(this.store), 0);
  }

  run(steps: readonly number[]): void {
    for (const step of steps) {
      this.now += STEP_MS;
      this.applyStep(step);
      for (const host of this.hosts) host.assertNoRegression();
    }
    this.settle();
  }

  private applyStep(step: number): void {
    const [one, other] = this.hosts;
    const moves: readonly (() => void)[] = [
      () => {
        this.version += 1;
        this.put(CONFIG_KEY, { version: this.version, groups: ['g1'] });
      },
      () => {
        this.sequence += 1;
        const entry = upstream(this.sequence % 2 === 0);
        this.put(UPSTREAM_KEY, { entry, sequence: this.sequence });
      },
      () => {
        this.remove(UPSTREAM_KEY);
      },
      () => {
        this.put(EVACUATION_KEY, '');
      },
      () => {
        this.remove(EVACUATION_KEY);
      },
      () => {
        this.epoch += 1;
        this.store.put(primaryKey('g1'), record(this.epoch));
      },
      () => {
        this.store.restore(Math.min(step % 5, this.store.revision - 2));
      },
      () => {
        one.read(allOf(this.store), this.now);
      },
      () => {
        other.late = allOf(this.store);
      },
      () => {
        if (other.late !== undefined) other.read(other.late, this.now);
        other.late = undefined;
      },
      () => {
        one.watch(this.store, this.now);
      },
      () => {
        other.watch(this.store, this.now);
      },
      () => {
        other.syncFrom(one, this.now);
      },
      () => {
        one.syncFrom(other, this.now);
      },
    ];
    moves[step % moves.length]?.();
  }

  private put(key: string, value: unknown): void {
    this.owned.set(key, value);
    this.store.put(key, value);
  }

  private remove(key: string): void {
    this.owned.delete(key);
    if (this.store.items.has(key)) this.store.remove(key);
  }

  /** Lets the owners write their last documents again, and then time pass without other changes. */
  private settle(): void {
    for (const key of [UPSTREAM_KEY, EVACUATION_KEY]) {
      if (!this.owned.has(key) && this.store.items.has(key)) this.store.remove(key);
    }
    for (const [key, value] of this.owned) this.store.put(key, value);
    for (const host of this.hosts) {
      host.watch(this.store, this.now);
      advanceTime(host, this.now, SETTLED_MS);
      this.assertSameAsStore(host);
    }
  }

  private assertSameAsStore({ board }: ViewedHost): void {
    const { items } = this.store;
    assert.equal(board.catalog?.version, this.version);
    assert.equal(board.upstreams.size, items.has(UPSTREAM_KEY) ? 1 : 0);
    const draining = board.upstreams.get(upstreamId('u1'))?.draining;
    if (items.has(UPSTREAM_KEY)) assert.equal(draining, this.sequence % 2 === 0);
    assert.equal(board.evacuations.size, items.has(EVACUATION_KEY) ? 1 : 0);
  }
}

function advanceTime({ view }: ViewedHost, from: number, ms: number): void {
  for (let now = from; now <= from + ms; now += 2 * STEP_MS) {
    view.markCurrent(now);
    view.expireDocuments(now);
  }
}

Given(
  'random histories of a store that is written, read late, watched, passed on and restored from copies',
  function () {
    // The next step draws the histories and checks them.
  },
);

Then(
  'no view ever reverts to older documents, and all views end with the state of the store',
  function () {
    const steps = fc.array(fc.nat({ max: 1000 }), { maxLength: 40 });
    fc.assert(
      fc.property(steps, (drawn) => {
        new RandomHistory().run(drawn);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  },
);

/** Key and value of the document that a table describes; undefined for "nothing". */
function documentOf(words: string): readonly [string, unknown] | undefined {
  const number = Number(/\d+/.exec(words)?.[0]);
  const [kind] = words.split(/[ ,]/);
  switch (kind) {
    case 'configuration':
      return [CONFIG_KEY, { version: number, groups: ['g1'] }];
    case 'upstream': {
      const entry = upstream(
        words.includes('leaving'),
        words.includes('birth') ? number : undefined,
      );
      return [UPSTREAM_KEY, words.includes('write') ? { entry, sequence: number } : { entry }];
    }
    case 'record':
      return [primaryKey('g1'), record(number)];
    case 'duty':
      return [PROMOTION_LEASE_KEY, duty(number)];
    case 'evacuation':
      return [EVACUATION_KEY, ''];
    default:
      return undefined;
  }
}

Given(
  /^the store's new era shows (.*) in place of (.*)$/,
  function (this: HistoriesWorld, copy: string, known: string) {
    this.store = new FakeStore();
    this.host = new ViewedHost();
    this.now = 0;
    const shown = documentOf(copy);
    if (shown !== undefined) this.store.put(...shown);
    const former = documentOf(known);
    assert.ok(former);
    this.store.put(...former);
    this.host.read(allOf(this.store), this.now);
    this.store.restore(1);
    this.host.read(allOf(this.store), this.now);
  },
);

When(
  '{int} ms pass in which the store answers and nobody writes',
  function (this: HistoriesWorld, ms: number) {
    advanceTime(this.host, this.now, ms);
  },
);

Then(/^the host uses (.*)$/, function (this: HistoriesWorld, used: string) {
  const { board, view } = this.host;
  const number = Number(/\d+/.exec(used)?.[0]);
  const [kind] = used.split(/[ ,]/);
  const leaving = board.upstreams.get(upstreamId('u1'))?.draining;
  const shown: Readonly<Record<string, unknown>> = {
    configuration: board.catalog?.version,
    upstream: leaving === true ? 'leaving' : 'ready',
    record: board.record(GROUP)?.epoch,
    duty: view.seenPromotionLease?.fence,
    evacuation: board.evacuations.has(azId('z1')),
    nothing: board.evacuations.has(azId('z1')),
  };
  const expected: Readonly<Record<string, unknown>> = {
    upstream: used.includes('leaving') ? 'leaving' : 'ready',
    evacuation: true,
    nothing: false,
  };
  assert.ok(kind);
  assert.equal(shown[kind], expected[kind] ?? number);
});
