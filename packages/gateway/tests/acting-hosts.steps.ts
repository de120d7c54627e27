import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, HostId, SeenPromotionLease } from '@gladespool/coordination';
import {
  azId,
  DEFAULT_FAILOVER,
  groupId,
  hostId,
  SINGLE_REGION,
  regionId,
  Topology,
  upstreamId,
} from '@gladespool/coordination';
import type { HostEntry, UpstreamEntry } from '../src/index.js';
import { GatewayBoard, ReportedRole } from '../src/index.js';
import { FailoverOrder } from '../src/control/promotion/failover-order.js';

interface OrderWorld {
  topology: Topology;
  entries: readonly HostEntry[];
  upstreams: readonly AzId[];
  duty: SeenPromotionLease | undefined;
  /** The board and the failover order of one host, kept across changes of the board. */
  board: GatewayBoard;
  acting: FailoverOrder;
}

const GROUP = groupId('g');
const NOW = 1000;

function upstreamsIn(zones: readonly AzId[]): GatewayBoard['upstreams'] {
  const entries = zones.map((az, index): UpstreamEntry => {
    const id = upstreamId(`u${index}`);
    const role = ReportedRole.Replica;
    const place = { az, address: '127.0.0.1', port: 1 };
    return { ...place, id, group: GROUP, role, slots: 1, draining: false };
  });
  return new Map(entries.map((entry) => [entry.id, entry]));
}

/** The board of a host. */
function boardOf(world: OrderWorld, self: HostEntry, topology = world.topology): GatewayBoard {
  const board = new GatewayBoard(self.host, self.az, topology);
  board.putHosts(new Map(world.entries.map((entry) => [entry.host, entry])));
  board.putUpstreams(upstreamsIn(world.upstreams));
  return board;
}

function orderOn(world: OrderWorld, board: GatewayBoard): FailoverOrder {
  const view = {
    get seenPromotionLease(): SeenPromotionLease | undefined {
      return world.duty;
    },
  };
  return new FailoverOrder({ board, view, rules: DEFAULT_FAILOVER });
}

Given(
  '{int} hosts of zones {string}, and a group with upstreams in zones {string}',
  function (this: OrderWorld, count: number, regions: string, upstreams: string) {
    const zones = regions.split(',').map((each) => each.split(':') as [string, string]);
    this.topology = new Topology(
      new Map(zones.map(([az, region]) => [azId(az), regionId(region)])),
    );
    this.entries = Array.from({ length: count }, (_, index): HostEntry => {
      const [az] = zones[index % zones.length] ?? [''];
      const place = { az: azId(az), address: '127.0.0.1', port: index + 1 };
      return { ...place, host: hostId(`h${index}`), incarnation: 1, linkMbps: 20 };
    });
    this.upstreams = upstreams.split(',').map(azId);
    const [self] = this.entries;
    assert.ok(self);
    this.board = boardOf(this, self);
    this.acting = orderOn(this, this.board);
    // A cached order must be updated when the board changes.
    this.acting.hostsFor(GROUP, NOW);
  },
);

When('nobody holds the promotion lease', function (this: OrderWorld) {
  this.duty = undefined;
});

When(
  'a host of region {string} holds the promotion lease',
  function (this: OrderWorld, name: string) {
    const { topology } = this;
    const holder = this.entries.find(({ az }) => topology.regionOf(az) === regionId(name));
    assert.ok(holder);
    this.duty = { holder: holder.host, incarnation: 1, fence: 1, seenAt: NOW };
  },
);

When("the group's upstreams move to zones {string}", function (this: OrderWorld, zones: string) {
  this.board.putUpstreams(upstreamsIn(zones.split(',').map(azId)));
});

Then(
  'the first {int} to act are of regions {string}',
  function (this: OrderWorld, count: number, regions: string) {
    const first = this.acting.hostsFor(GROUP, NOW).slice(0, count);
    const expected = regions.split(',');
    for (const [index, host] of first.entries()) {
      const az = this.board.hosts.get(host)?.az;
      assert.ok(az);
      if (expected[index] !== '?') assert.equal(this.topology.regionOf(az), expected[index]);
    }
  },
);

Then('they act in the same order as without regions', function (this: OrderWorld) {
  const [self] = this.entries;
  assert.ok(self);
  const withoutRegions = orderOn(this, boardOf(this, self, SINGLE_REGION));
  assert.deepEqual(this.acting.hostsFor(GROUP, NOW), withoutRegions.hostsFor(GROUP, NOW));
});

Then(
  'each host has a different rank, and all of them compute the same order',
  function (this: OrderWorld) {
    const order = this.acting.hostsFor(GROUP, NOW);
    const ranks = this.entries.map((entry): [HostId, number] => {
      const acting = orderOn(this, boardOf(this, entry));
      return [entry.host, acting.ownRanks(NOW)(GROUP)];
    });
    assert.deepEqual(
      new Map(ranks),
      new Map(this.entries.map(({ host }) => [host, order.indexOf(host)])),
    );
    assert.equal(new Set(order).size, this.entries.length);
  },
);
