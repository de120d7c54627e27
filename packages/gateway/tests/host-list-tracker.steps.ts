import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { HostId, StorePosition } from '@gladespool/coordination';
import { azId, DEFAULT_AUTHORITY, hostId } from '@gladespool/coordination';
import { HostMetrics } from '@gladespool/observability';
import type { FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import { HostListTracker } from '../src/control/hosts/host-list-tracker.js';
import type { StoreView } from '../src/control/store/store-view.js';
import type { HostEntry } from '../src/knowledge/board.js';
import { GatewayBoard } from '../src/knowledge/board.js';
import { RelayOrder } from '../src/knowledge/relay-order.js';
import { at } from './fakes/store-positions.js';

interface TrackerWorld {
  board: GatewayBoard;
  order: RelayOrder;
  tracker: HostListTracker;
  retirements: Map<HostId, StorePosition>;
}

const INCARNATION = 2;
const RETIRED = hostId('h9');

function entryOf(index: number): HostEntry {
  const az = azId(index % 2 === 0 ? 'a' : 'b');
  const address = '10.0.0.1';
  return { host: hostId(`h${index}`), az, address, port: 1, incarnation: INCARNATION, linkMbps: 1 };
}

const ENTRIES = new Map([0, 1, 2, 3].map(entryOf).map((entry) => [entry.host, entry]));

function boardOf({ host, az }: HostEntry): GatewayBoard {
  const board = new GatewayBoard(host, az);
  board.putHosts(ENTRIES);
  return board;
}

Given(
  'two zones of two hosts each, seen from the host that reads the store, which has the list up to revision {int}',
  function (this: TrackerWorld, revision: number) {
    const boards = [...ENTRIES.values()].map(boardOf);
    const reader = boards.find((board) => new RelayOrder(board).parent === undefined);
    assert.ok(reader);
    this.board = reader;
    this.order = new RelayOrder(reader);
    this.retirements = new Map();
    const view = {
      ownPosition: at(revision),
      listedSince: () => at(1),
      retirements: this.retirements,
    };
    this.tracker = new HostListTracker({
      board: reader,
      view: view as unknown as StoreView,
      order: this.order,
      authority: DEFAULT_AUTHORITY,
      metrics: new HostMetrics(),
    });
  },
);

Given(
  'a note of revision {int} that h9 was retired, which the reader knows since {int} ms',
  function (this: TrackerWorld, revision: number, since: number) {
    this.retirements.set(RETIRED, at(revision));
    this.tracker.tick(since);
  },
);

function requestOf(
  host: HostId,
  revision: number,
  incarnation: number,
): FrameOf<FrameKind.SyncRequest> {
  const position = at(revision);
  return {
    kind: FrameKind.SyncRequest,
    id: 1,
    host,
    incarnation,
    ownPosition: position,
    heard: position,
    waitMs: 0,
  };
}

When(
  /^the other host of its zone has the list up to (.+), and the first host of the other zone reports (none|\d+)$/,
  function (this: TrackerWorld, own: string, other: string) {
    const { board, order, tracker } = this;
    const neighbor = order.hosts.find(({ host }) => host !== board.host);
    const otherAz = azId(board.az === azId('a') ? 'b' : 'a');
    const [first] = order.hostsOf(otherAz);
    assert.ok(neighbor && first);
    const revision = Number.parseInt(own, 10);
    const incarnation = own.includes('earlier process') ? INCARNATION - 1 : INCARNATION;
    if (!Number.isNaN(revision)) {
      tracker.noteRequest(requestOf(neighbor.host, revision, incarnation));
    }
    if (other === 'none') return;
    const zoneLists = [{ az: otherAz, position: at(Number(other)) }];
    tracker.noteRequest({ ...requestOf(first.host, Number(other), INCARNATION), zoneLists });
  },
);

Then('the list is settled up to revision {int}', function (this: TrackerWorld, revision: number) {
  this.tracker.tick(0);
  assert.equal(this.tracker.settled.revision, revision);
});

Then(
  'at {int} ms the list is settled up to revision {int}',
  function (this: TrackerWorld, now: number, revision: number) {
    this.tracker.tick(now);
    assert.equal(this.tracker.settled.revision, revision);
  },
);

When('h9 registers again', function (this: TrackerWorld) {
  const entry = { ...entryOf(0), host: RETIRED };
  this.board.putHosts(new Map([...ENTRIES, [RETIRED, entry]]));
});

Then(
  /^for a claim that has read a list (with|without) h9, (\d+) retired hosts count$/,
  function (this: TrackerWorld, withRetired: string, retired: string) {
    const listed = [...ENTRIES.keys(), ...(withRetired === 'with' ? [RETIRED] : [])];
    const acks = this.tracker.countAcknowledgements(new Set(ENTRIES.keys()), listed, 1);
    assert.equal(acks.retired, Number(retired));
  },
);
