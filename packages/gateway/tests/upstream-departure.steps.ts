import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { azId, expiryRules, hostId } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { UpstreamEntry } from '../src/index.js';
import { GatewayBoard, ReportedRole, StoreView } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, host, PRIMARY_KEY } from './fakes/action-world.js';
import { fakeReader, UPSTREAM_PREFIX } from './fakes/fake-documents.js';
import { GROUP } from './fakes/fake-deployment.js';

interface NewsWorld {
  board: GatewayBoard;
  view: StoreView;
  events: LoggedEvent[];
}

interface LoggedEvent {
  readonly event: string;
  readonly fields: Required<Parameters<Logger['info']>>[1];
}

interface DepartureWorld extends ActionWorld {
  /** Local time at which the store took the news that an upstream leaves. */
  storedAt: number;
}

const TIMEOUT = { timeout: 20_000 };
const SERVES_ON_MS = 7000;
const KEY = `${UPSTREAM_PREFIX}${FORMER}`;
const ENTRY: UpstreamEntry = {
  id: FORMER,
  group: GROUP,
  address: '127.0.0.1',
  port: 1,
  az: azId('z0'),
  role: ReportedRole.Primary,
  slots: 3,
  draining: false,
};

function loggerOf(events: LoggedEvent[]): Logger {
  return {
    ...createLogger('test'),
    info: (event, fields = {}) => {
      events.push({ event, fields });
    },
  };
}

/** Applies one news of u0 that was stored at `revision`. */
function applyNews({ view }: NewsWorld, news: string, revision: number, now: number): void {
  const position = { era: 0, revision };
  if (news === 'the entry of u0 goes') {
    view.applyEvents([{ kind: 'removed', key: KEY, position }], position, now);
    return;
  }
  const value = JSON.stringify({ ...ENTRY, draining: news === 'u0 is draining' });
  view.applyItems([{ key: KEY, value, position }], now);
}

Given(
  /^a host that knows upstream u0, and whose documents were last current at (\w+)$/,
  function (this: NewsWorld, current: string) {
    this.board = new GatewayBoard(hostId('h1'), azId('z1'));
    this.events = [];
    this.view = new StoreView({
      board: this.board,
      reader: fakeReader(this.board),
      metrics: new HostMetrics(),
      log: loggerOf(this.events),
      startedAt: 0,
      expiry: expiryRules(SERVES_ON_MS),
    });
    applyNews(this, 'u0 is ready', 1, 0);
    if (current !== 'never') this.view.markCurrent(Number(current));
  },
);

When('it learns at {int} ms that {string}', function (this: NewsWorld, now: number, news: string) {
  for (const [index, each] of news.split(', ').entries()) applyNews(this, each, index + 2, now);
});

Then(
  'new work at u0 ends at {string}, and the host tells when it learned and when new work ended',
  function (this: NewsWorld, end: string) {
    const ended = (): readonly LoggedEvent[] =>
      this.events.filter(({ event }) => event === 'upstream-departed');
    const [learned, ...more] = this.events.filter(({ event }) => event === 'upstream-departing');
    assert.ok(learned !== undefined && more.length === 0);
    const departure = this.board.departures.get(FORMER);
    assert.equal(String(departure?.newWorkEndsAt ?? 'never'), end);
    if (departure === undefined) return;
    const { learnedAt, newWorkEndsAt, lastReadyAt } = departure;
    assert.equal(learned.fields.new_work_ms, newWorkEndsAt - learnedAt);
    assert.equal(learned.fields.at_most_ms, learnedAt - lastReadyAt);
    this.view.expireDocuments(newWorkEndsAt - 1);
    assert.equal(ended().length, 0);
    this.view.expireDocuments(newWorkEndsAt);
    this.view.expireDocuments(newWorkEndsAt + 1);
    assert.equal(ended().length, 1);
  },
);

When(
  'only one host reaches the store, and the primary reports that it is draining',
  TIMEOUT,
  async function (this: DepartureWorld) {
    const { deployment } = this;
    for (const each of deployment.hosts.slice(1)) each.store.cut = true;
    await deployment.until(() =>
      deployment.hosts.every(({ gateway }) => Number.isFinite(gateway.board.catalogConfirmedAt)),
    );
    this.storedAt = performance.now();
    const { store } = deployment;
    const entry = JSON.parse(store.items.get(PRIMARY_KEY)?.value ?? '') as UpstreamEntry;
    store.put(PRIMARY_KEY, { ...entry, draining: true });
  },
);

Then(
  'no host takes the primary to have been ready after that',
  TIMEOUT,
  async function (this: DepartureWorld) {
    const { deployment } = this;
    const departureAt = (index: number) => host(this, index).gateway.board.departures.get(FORMER);
    for (const index of deployment.hosts.keys()) {
      await deployment.until(() => departureAt(index) !== undefined);
      const { lastReadyAt = Infinity, learnedAt = Infinity } = departureAt(index) ?? {};
      assert.ok(Number.isFinite(lastReadyAt) && lastReadyAt <= this.storedAt);
      assert.ok(Number.isFinite(learnedAt) && learnedAt >= this.storedAt);
    }
  },
);
