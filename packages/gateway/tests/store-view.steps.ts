import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  azId,
  groupId,
  hostId,
  expiryRules,
  RecordPhase,
  STORE_START,
  upstreamId,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { HostEntry } from '../src/knowledge/board.js';
import { BoardSection, GatewayBoard } from '../src/knowledge/board.js';
import type { StoreEvent, StoreItem } from '../src/control/store/metadata-store.js';
import { PROMOTION_LEASE_KEY, hostKey, primaryKey } from '../src/control/store/store-documents.js';
import { StoreView } from '../src/control/store/store-view.js';
import type { UpstreamEntry } from '../src/model/catalog.js';
import { ReportedRole } from '../src/model/catalog.js';
import { at } from './fakes/store-positions.js';
import type { StoredConfig } from './fakes/fake-documents.js';
import { CONFIG_KEY, fakeReader, UPSTREAM_PREFIX } from './fakes/fake-documents.js';

interface ViewWorld {
  board: GatewayBoard;
  view: StoreView;
  revision: number;
  changes: Map<BoardSection, number>;
  metrics: HostMetrics;
}

const STARTED_AT = 0;
const LEAVING_AFTER_MS = 1000;
const CHANGED_AT = 100;

function hostEntry(name: string, incarnation = 1): HostEntry {
  const address = '127.0.0.1';
  return { host: hostId(name), az: azId('z1'), address, port: 1, incarnation, linkMbps: 20 };
}

function upstreamEntry(draining = false): UpstreamEntry {
  return {
    id: upstreamId('u1'),
    group: groupId('g1'),
    address: '127.0.0.1',
    port: 2,
    az: azId('z1'),
    role: ReportedRole.Primary,
    slots: 3,
    draining,
  };
}

function itemOf(key: string, value: unknown, revision: number): StoreItem {
  return { key, value: JSON.stringify(value), position: at(revision) };
}

const UPSTREAM_KEY = `${UPSTREAM_PREFIX}u1`;
const RECORD = {
  group: 'g1',
  epoch: 1,
  phase: RecordPhase.Serving,
  primary: 'u1',
  holder: 'h1',
};

/** Events at a given revision, by the text that describes them in the tables. */
const EVENTS: Readonly<Record<string, (revision: number) => readonly StoreEvent[]>> = {
  nothing: () => [],
  'h1 as it was': () => [written(itemOf(hostKey('h1'), hostEntry('h1'), 1))],
  'h1 written again, unchanged': (now) => [written(itemOf(hostKey('h1'), hostEntry('h1'), now))],
  'h1 with a new incarnation': (now) => [written(itemOf(hostKey('h1'), hostEntry('h1', 2), now))],
  'a new host h3': (now) => [written(itemOf(hostKey('h3'), hostEntry('h3'), now))],
  'h2 removed': (now) => [removed(hostKey('h2'), now)],
  'a key removed that is unknown': (now) => [removed(hostKey('h9'), now)],
  'u1 written again, unchanged': (now) => [written(itemOf(UPSTREAM_KEY, upstreamEntry(), now))],
  'u1 draining': (now) => [written(itemOf(UPSTREAM_KEY, upstreamEntry(true), now))],
  'u1 removed': (now) => [removed(UPSTREAM_KEY, now)],
  'a record of a primary': (now) => [written(itemOf(primaryKey('g1'), RECORD, now))],
  'u1 unreadable': (now) => [written(broken(UPSTREAM_KEY, now))],
  'a record that is unreadable': (now) => [written(broken(primaryKey('g1'), now))],
  'a duty that is unreadable': (now) => [written(broken(PROMOTION_LEASE_KEY, now))],
  'h1 unreadable': (now) => [written(broken(hostKey('h1'), now))],
  'h2 unreadable': (now) => [written(broken(hostKey('h2'), now))],
  'h3 unreadable': (now) => [written(broken(hostKey('h3'), now))],
  'h3 at a port that does not exist': (now) => [
    written(itemOf(hostKey('h3'), { ...hostEntry('h3'), port: 65_536 }, now)),
  ],
  'h2 under the key of h3': (now) => [written(itemOf(hostKey('h3'), hostEntry('h2'), now))],
  'a configuration of g1': (now) => [written(itemOf(CONFIG_KEY, config(7, 'g1'), now))],
  'a configuration of g2': (now) => [written(itemOf(CONFIG_KEY, config(8, 'g2'), now))],
  'a newer configuration of g1': (now) => [written(itemOf(CONFIG_KEY, config(9, 'g1'), now))],
  'a configuration that is unreadable': (now) => [written(broken(CONFIG_KEY, now))],
  'an evacuation of z1': (now) => [written(broken('evacuation/z1', now))],
  'an evacuation of no zone': (now) => [written(broken('evacuation/', now))],
  'a foreign key': (now) => [written(broken('other/key', now))],
  'an own key of no known kind': (now) => [written(broken('gladespool/other', now))],
};

function written(item: StoreItem): StoreEvent {
  return { kind: 'written', item };
}

function removed(key: string, revision: number): StoreEvent {
  return { kind: 'removed', key, position: at(revision) };
}

function broken(key: string, revision: number): StoreItem {
  return { key, value: '{', position: at(revision) };
}

function config(version: number, ...groups: readonly string[]): StoredConfig {
  return { version, groups };
}

function viewOf(board: GatewayBoard, metrics: HostMetrics): StoreView {
  return new StoreView({
    board,
    reader: fakeReader(board, metrics),
    metrics,
    log: createLogger('test'),
    startedAt: STARTED_AT,
    expiry: expiryRules(LEAVING_AFTER_MS),
  });
}

function countChanges(world: ViewWorld, section: BoardSection): void {
  world.board.onChange(section, () => {
    world.changes.set(section, (world.changes.get(section) ?? 0) + 1);
  });
}

Given('a board with the hosts h1 and h2 and the upstream u1', function (this: ViewWorld) {
  this.board = new GatewayBoard(hostId('h1'), azId('z1'));
  this.metrics = new HostMetrics();
  this.view = viewOf(this.board, this.metrics);
  this.revision = 3;
  const items = [
    itemOf(hostKey('h1'), hostEntry('h1'), 1),
    itemOf(hostKey('h2'), hostEntry('h2'), 2),
    itemOf(UPSTREAM_KEY, upstreamEntry(), 3),
  ];
  this.view.replace('', { items, position: at(this.revision) }, STARTED_AT);
  this.changes = new Map();
  countChanges(this, BoardSection.Hosts);
  countChanges(this, BoardSection.Upstreams);
});

When(/^the store reports (.*)$/, function (this: ViewWorld, news: string) {
  this.revision += 1;
  const events = EVENTS[news];
  assert.ok(events, `unknown news: ${news}`);
  this.view.applyEvents(events(this.revision), at(this.revision), CHANGED_AT);
});

When('the store is restored without the entry of h2', function (this: ViewWorld) {
  const position = { era: 1, revision: 1 };
  const entry = { ...itemOf(hostKey('h1'), hostEntry('h1'), 1), position };
  this.view.replace('', { items: [entry], position }, CHANGED_AT);
});

Then(/^(\d+) ms later the hosts are (.*)$/, function (this: ViewWorld, ms: string, hosts: string) {
  const now = CHANGED_AT + Number(ms);
  this.view.markCurrent(now);
  this.view.expireDocuments(now);
  assert.equal([...this.board.hosts.keys()].sort().join(' '), hosts);
});

When('all documents are applied again', function (this: ViewWorld) {
  this.view.applyDelta(this.view.deltaSince(STORE_START), CHANGED_AT);
});

Then(
  'the hosts have changed {int} times and the upstreams {int} times',
  function (this: ViewWorld, hosts: number, upstreams: number) {
    assert.equal(this.changes.get(BoardSection.Hosts) ?? 0, hosts);
    assert.equal(this.changes.get(BoardSection.Upstreams) ?? 0, upstreams);
  },
);

Then('the upstreams on the board are u1', function (this: ViewWorld) {
  assert.deepEqual([...this.board.upstreams.values()], [upstreamEntry()]);
});

Then(
  /^the board holds the upstreams (.*), the hosts (.*), and unknown ones (.*)$/,
  function (this: ViewWorld, upstreams: string, hosts: string, unknown: string) {
    assert.equal([...this.board.upstreams.keys()].join(' ') || 'none', upstreams);
    assert.equal([...this.board.hosts.keys()].join(' '), hosts);
    assert.equal([...this.board.unreadableHosts].join(' ') || 'none', unknown);
  },
);

Then('{int} keys were {word}', async function (this: ViewWorld, count: number, verdict: string) {
  const { values } = await this.metrics.storeDocuments.get();
  assert.equal(values.find(({ labels }) => labels.verdict === verdict)?.value, count);
});

When('the missing upstreams are reviewed {int} ms later', function (this: ViewWorld, ms: number) {
  this.view.markCurrent(CHANGED_AT + ms);
  this.view.expireDocuments(CHANGED_AT + ms);
});

Then('upstream u1 counts as {word}', function (this: ViewWorld, state: string) {
  const entry = this.board.upstreams.get(upstreamId('u1'));
  const words = entry?.draining === true ? 'leaving' : 'present';
  assert.equal(entry === undefined ? 'gone' : words, state);
});

Then('the configuration in force has version {int}', function (this: ViewWorld, version: number) {
  assert.equal(this.board.catalog?.version, version);
});

Then(
  'the record of g1 is at epoch {int} in phase {word} with primary {string}',
  function (this: ViewWorld, epoch: number, phase: string, primary: string) {
    const record = this.board.record(groupId('g1'));
    assert.deepEqual([record?.epoch, record?.phase, record?.primary], [epoch, phase, primary]);
  },
);

Then(
  'the promotion lease is held under fence {int} since {int}',
  function (this: ViewWorld, fence: number, at: number) {
    assert.deepEqual(
      [this.view.seenPromotionLease?.fence, this.view.seenPromotionLease?.seenAt],
      [fence, at],
    );
  },
);

Then('zone {string} is evacuated', function (this: ViewWorld, az: string) {
  assert.ok(this.board.evacuations.has(azId(az)));
});

Then(
  'a host that has received everything from this one has the same state',
  function (this: ViewWorld) {
    const board = new GatewayBoard(hostId('h9'), azId('z1'));
    const view = viewOf(board, new HostMetrics());
    view.applyDelta(this.view.deltaSince(STORE_START), CHANGED_AT);
    assert.deepEqual([...board.hosts.keys()], [...this.board.hosts.keys()]);
    assert.deepEqual(board.unreadableHosts, this.board.unreadableHosts);
    assert.deepEqual(board.allRecords, this.board.allRecords);
    assert.equal(board.catalog?.version, this.board.catalog?.version);
  },
);
