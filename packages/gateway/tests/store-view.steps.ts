import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  azId,
  groupId,
  hostId,
  lapseRules,
  RecordPhase,
  upstreamId,
} from '@gladespool/coordination';
import { createLogger } from '@gladespool/observability';
import type { HostEntry } from '../src/knowledge/board.js';
import { BoardSection, GatewayBoard } from '../src/knowledge/board.js';
import type { StoreEvent, StoreItem } from '../src/control/store/metadata-store.js';
import { hostKey, primaryKey } from '../src/control/store/store-documents.js';
import { StoreView } from '../src/control/store/store-view.js';
import type { UpstreamEntry } from '../src/model/catalog.js';
import { ReportedRole } from '../src/model/catalog.js';

interface ViewWorld {
  board: GatewayBoard;
  view: StoreView;
  revision: number;
  changes: Map<BoardSection, number>;
}

const STARTED_AT = 0;
const SERVES_ON_MS = 1000;
const NEWS_AT = 100;
const UPSTREAM_PREFIX = 'upstream/';

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
  return { key, value: JSON.stringify(value), revision };
}

const UPSTREAM_KEY = `${UPSTREAM_PREFIX}u1`;
const RECORD = {
  group: 'g1',
  epoch: 1,
  phase: RecordPhase.Serving,
  primary: 'u1',
  holder: 'h1',
};

/** What a table's words stand for, as events of the revision given. */
const NEWS: Readonly<Record<string, (revision: number) => readonly StoreEvent[]>> = {
  nothing: () => [],
  'h1 as it was': () => [written(itemOf(hostKey('h1'), hostEntry('h1'), 1))],
  'h1 written again, unchanged': (at) => [written(itemOf(hostKey('h1'), hostEntry('h1'), at))],
  'h1 with a new incarnation': (at) => [written(itemOf(hostKey('h1'), hostEntry('h1', 2), at))],
  'a new host h3': (at) => [written(itemOf(hostKey('h3'), hostEntry('h3'), at))],
  'h2 removed': (at) => [removed(hostKey('h2'), at)],
  'a key removed that is unknown': (at) => [removed(hostKey('h9'), at)],
  'u1 written again, unchanged': (at) => [written(itemOf(UPSTREAM_KEY, upstreamEntry(), at))],
  'u1 draining': (at) => [written(itemOf(UPSTREAM_KEY, upstreamEntry(true), at))],
  'u1 removed': (at) => [removed(UPSTREAM_KEY, at)],
  'a record of a primary': (at) => [written(itemOf(primaryKey('g1'), RECORD, at))],
};

function written(item: StoreItem): StoreEvent {
  return { kind: 'written', item };
}

function removed(key: string, revision: number): StoreEvent {
  return { kind: 'removed', key, revision };
}

function countChanges(world: ViewWorld, section: BoardSection): void {
  world.board.onChange(section, () => {
    world.changes.set(section, (world.changes.get(section) ?? 0) + 1);
  });
}

Given('a board with the hosts h1 and h2 and the upstream u1', function (this: ViewWorld) {
  this.board = new GatewayBoard(hostId('h1'), azId('z1'));
  const documents = {
    read: (key: string, text: string) =>
      key.startsWith(UPSTREAM_PREFIX)
        ? ({ kind: 'upstream', entry: JSON.parse(text) as UpstreamEntry } as const)
        : undefined,
  };
  const lapse = lapseRules(SERVES_ON_MS);
  this.view = new StoreView(this.board, documents, createLogger('test'), STARTED_AT, lapse);
  this.revision = 3;
  const items = [
    itemOf(hostKey('h1'), hostEntry('h1'), 1),
    itemOf(hostKey('h2'), hostEntry('h2'), 2),
    itemOf(UPSTREAM_KEY, upstreamEntry(), 3),
  ];
  this.view.replace('', { items, revision: this.revision }, STARTED_AT);
  this.changes = new Map();
  countChanges(this, BoardSection.Hosts);
  countChanges(this, BoardSection.Upstreams);
});

When(/^the store's news bring (.*)$/, function (this: ViewWorld, news: string) {
  this.revision += 1;
  const events = NEWS[news];
  assert.ok(events, `unknown news: ${news}`);
  this.view.apply(events(this.revision), this.revision, NEWS_AT);
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
