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
  newWorkEndsAt: number | undefined;
}

const KEY = `${UPSTREAM_PREFIX}${FORMER}`;
const TICK_MS = 10;
const FIRST_NEWS_AT = 10_000;
/** Time that passes after the last news, milliseconds: less than that until an upstream without an entry is gone. */
const MEANWHILE_MS = 4000;

/** Time in which documents are not known to be current. */
interface Away {
  readonly from: number;
  readonly to: number;
}

const NEVER_AWAY: Away = { from: Infinity, to: Infinity };

function write({ view }: BackWorld, value: string, revision: number, now: number): void {
  const position = { era: 0, revision };
  view.applyEvents([{ kind: 'written', item: { key: KEY, value, position } }], position, now);
}

function put(world: BackWorld, draining: boolean, revision: number, now: number): void {
  write(world, JSON.stringify({ ...ENTRY, draining }), revision, now);
}

function remove({ view }: BackWorld, revision: number, now: number): void {
  const position = { era: 0, revision };
  view.applyEvents([{ kind: 'removed', key: KEY, position }], position, now);
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

function run({ view }: BackWorld, from: number, to: number, away: Away = NEVER_AWAY): void {
  for (let now = from; now < to; now += TICK_MS) {
    if (now < away.from || now >= away.to) view.markCurrent(now - TICK_MS);
    view.expireDocuments(now);
  }
}

/** Applies one state of u0, such as "missing". */
function applyState(world: BackWorld, state: string, revision: number, now: number): void {
  if (state === 'missing') remove(world, revision, now);
  else if (state === 'unreadable') write(world, '{', revision, now);
  else put(world, state === 'draining', revision, now);
}

When(
  /^documents stay current except from "([\w-]+)", and u0 is "([\w, ]+)"$/,
  function (this: BackWorld, away: string, news: string) {
    const [from = Infinity, to = Infinity] = away === 'never' ? [] : away.split('-').map(Number);
    let now = FIRST_NEWS_AT;
    for (const [index, each] of news.split(', ').entries()) {
      const [state = '', at] = each.split(' at ');
      run(this, now, Number(at), { from, to });
      now = Number(at);
      applyState(this, state, index + 2, now);
    }
    run(this, now, now + TICK_MS, { from, to });
    this.newWorkEndsAt = this.board.departures.get(upstreamId(FORMER))?.newWorkEndsAt;
    run(this, now, now + MEANWHILE_MS, { from, to });
  },
);

Then('new work at u0 was to end at {string}', function (this: BackWorld, end: string) {
  assert.equal(String(this.newWorkEndsAt ?? 'never'), end);
  const departure = this.board.departures.get(upstreamId(FORMER));
  assert.ok(departure === undefined || departure.newWorkEndsAt === this.newWorkEndsAt, 'no later');
});

When(
  /^u0 (says that it is draining|goes without a word) at 10000 ms, and its entry is away from (\d+) to 17000 ms$/,
  function (this: BackWorld, news: string, from: string) {
    if (news === 'says that it is draining') put(this, true, 2, 10_000);
    run(this, 10_000, Number(from));
    remove(this, 3, Number(from));
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
