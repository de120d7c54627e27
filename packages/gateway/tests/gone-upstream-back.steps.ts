import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { azId, expiryRules, hostId, receivesNewWork, upstreamId } from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import { GatewayBoard, ReportedRole, StoreView } from '../src/index.js';
import { FORMER } from './fakes/action-world.js';
import { fakeReader, UPSTREAM_PREFIX } from './fakes/fake-documents.js';
import { GROUP } from './fakes/fake-deployment.js';

interface BackWorld {
  board: GatewayBoard;
  view: StoreView;
}

const KEY = `${UPSTREAM_PREFIX}${FORMER}`;
const TICK_MS = 10;

function put({ view }: BackWorld, draining: boolean, revision: number, now: number): void {
  const position = { era: 0, revision };
  const value = JSON.stringify({ ...ENTRY, draining });
  view.applyEvents([{ kind: 'written', item: { key: KEY, value, position } }], position, now);
}

const ENTRY = {
  id: FORMER,
  group: GROUP,
  address: '127.0.0.1',
  port: 1,
  az: azId('z0'),
  role: ReportedRole.Primary,
  slots: 3,
};

Given(
  'a host with current documents that has never had an entry of u0',
  function (this: BackWorld) {
    this.board = new GatewayBoard(hostId('h1'), azId('z1'));
    this.view = new StoreView({
      board: this.board,
      reader: fakeReader(this.board),
      metrics: new HostMetrics(),
      log: createLogger('test'),
      startedAt: 0,
      expiry: expiryRules(7000),
    });
    run(this, 13_000, 17_000);
  },
);

function run({ view }: BackWorld, from: number, to: number): void {
  for (let now = from; now < to; now += TICK_MS) {
    view.markCurrent(now - TICK_MS);
    view.expireDocuments(now);
  }
}

When(
  /^u0 (says that it is draining|goes without a word) at 10000 ms, and its entry is away from (\d+) to 17000 ms$/,
  function (this: BackWorld, news: string, from: string) {
    if (news === 'says that it is draining') put(this, true, 2, 10_000);
    run(this, 10_000, Number(from));
    const position = { era: 0, revision: 3 };
    this.view.applyEvents([{ kind: 'removed', key: KEY, position }], position, Number(from));
    run(this, Number(from), 17_000);
    assert.equal(this.board.upstreams.has(FORMER), false, 'gone');
  },
);

When('it is back as draining at {int} ms', function (this: BackWorld, at: number) {
  put(this, true, 4, at);
  run(this, at, at + 50);
});

Then('no new work may go to u0 at {int} ms', function (this: BackWorld, at: number) {
  const id = upstreamId(FORMER);
  const departure = this.board.departures.get(id);
  assert.ok(
    !this.board.upstreams.has(id) || !receivesNewWork(departure, at),
    `new work until ${String(departure?.newWorkEndsAt)} ms`,
  );
});
