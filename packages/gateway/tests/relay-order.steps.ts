import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { HostId } from '@gladespool/coordination';
import { azId, hostId } from '@gladespool/coordination';
import type { HostEntry } from '../src/index.js';
import { GatewayBoard, RelayOrder } from '../src/index.js';

interface OrderWorld {
  listed: ReadonlyMap<HostId, HostEntry>;
}

const NARROW_MBPS = 20;
const WIDE_MBPS = 200;

function entryOf(index: number, zones: number, linkMbps: number): HostEntry {
  return {
    host: hostId(`h${index}`),
    az: azId(`z${index % zones}`),
    address: '127.0.0.1',
    port: index + 1,
    incarnation: 1,
    linkMbps,
  };
}

function list(entries: readonly HostEntry[]): ReadonlyMap<HostId, HostEntry> {
  return new Map(entries.map((entry) => [entry.host, entry]));
}

/** The order as a host sees it. */
function orderOn(world: OrderWorld, entry: HostEntry): RelayOrder {
  const board = new GatewayBoard(entry.host, entry.az);
  board.putHosts(world.listed);
  return new RelayOrder(board);
}

/** Every host with the one that it asks. */
function parents(world: OrderWorld): readonly (readonly [HostEntry, HostEntry | undefined])[] {
  return [...world.listed.values()].map((entry) => [entry, orderOn(world, entry).parent]);
}

Given('{int} zones of {int} hosts', function (this: OrderWorld, zones: number, hosts: number) {
  const indexes = Array.from({ length: zones * hosts }, (_, index) => index);
  this.listed = list(indexes.map((index) => entryOf(index, zones, NARROW_MBPS)));
});

Given(
  "{int} zones of {int} hosts, of which 1 in each zone has ten times the others' bandwidth",
  function (this: OrderWorld, zones: number, hosts: number) {
    const indexes = Array.from({ length: zones * hosts }, (_, index) => index);
    const widthOf = (index: number): number => (index < zones ? WIDE_MBPS : NARROW_MBPS);
    this.listed = list(indexes.map((index) => entryOf(index, zones, widthOf(index))));
  },
);

Then('{int} hosts read the store themselves', function (this: OrderWorld, count: number) {
  const readers = parents(this).filter(([, parent]) => parent === undefined);
  assert.equal(readers.length, count);
});

Then(
  '{int} hosts ask a host of another zone, all the same one, which reads the store',
  function (this: OrderWorld, count: number) {
    const all = parents(this);
    const reader = all.find(([, parent]) => parent === undefined)?.[0].host;
    const askers = all.filter(([entry, parent]) => parent !== undefined && parent.az !== entry.az);
    assert.equal(askers.length, count);
    assert.ok(askers.every(([, parent]) => parent?.host === reader));
  },
);

Then(
  'the other {int} hosts ask a host of their own zone, all of a zone the same one',
  function (this: OrderWorld, count: number) {
    const asking = parents(this).filter(([entry, parent]) => parent?.az === entry.az);
    assert.equal(asking.length, count);
    const asked = new Set(asking.map(([, parent]) => parent?.host));
    const zones = new Set(asking.map(([entry]) => entry.az));
    assert.equal(asked.size, zones.size);
  },
);

Then('a host of another name has nobody to ask', function (this: OrderWorld) {
  const unlisted = { ...entryOf(0, 1, NARROW_MBPS), host: hostId('new') };
  assert.equal(orderOn(this, unlisted).parent, undefined);
});

Then('the first host of each zone is the one with the wide link', function (this: OrderWorld) {
  for (const entry of this.listed.values()) {
    assert.equal(orderOn(this, entry).hosts[0]?.linkMbps, WIDE_MBPS);
  }
});
