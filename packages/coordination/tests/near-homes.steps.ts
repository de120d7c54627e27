import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, HomePlan, HostId } from '../src/index.js';
import {
  azId,
  connectionsOf,
  groupId,
  homesNear,
  hostId,
  planHomes,
  planNearHomes,
  regionId,
  Topology,
} from '../src/index.js';

interface NearHomesWorld {
  zones: ReadonlyMap<AzId, readonly HostId[]>;
  topology: Topology;
  upstreamZones: ReadonlySet<AzId>;
  plan: HomePlan;
  transactions: number;
  holdMs: number;
  callersAz: AzId;
  upstreamAz: AzId;
}

const GROUP = groupId('g');
const SLOTS = 4;
const CONNECTIONS = 70;

function namesOf(text: string): readonly string[] {
  return text.split(' ');
}

Given(
  'zones {string} in region {string} and {string} in region {string}, each of {int} hosts',
  function (
    this: NearHomesWorld,
    zones: string,
    region: string,
    others: string,
    other: string,
    count: number,
  ) {
    const regions = new Map([
      ...namesOf(zones).map((zone) => [azId(zone), regionId(region)] as const),
      ...namesOf(others).map((zone) => [azId(zone), regionId(other)] as const),
    ]);
    this.topology = new Topology(regions);
    const hostsOf = (zone: AzId): readonly HostId[] =>
      Array.from({ length: count }, (_, index) => hostId(`${zone}-${index}`));
    this.zones = new Map([...regions.keys()].map((zone) => [zone, hostsOf(zone)]));
  },
);

Given(
  'upstreams in zones {string} that allow {int} connections and {int} more from other regions',
  function (this: NearHomesWorld, zones: string, usable: number, farUsable: number) {
    this.upstreamZones = new Set(namesOf(zones).map(azId));
    const { upstreamZones } = this;
    const near = { group: GROUP, upstreamZones, usable, farUsable, isDedicated: false };
    this.plan = planNearHomes(near, this.zones, this.topology);
  },
);

Then('zone {string} has {int} homes', function (this: NearHomesWorld, zone: string, homes: number) {
  assert.equal(this.plan.homes.get(azId(zone))?.length, homes);
  assert.deepEqual([...this.plan.homes.keys()].sort(), [...this.upstreamZones].sort());
});

Then(
  'a home of zone {string} may hold {int} connections to its own upstream and {int} to that of zone {string}',
  function (this: NearHomesWorld, zone: string, own: number, far: number, other: string) {
    assert.equal(connectionsOf(this.plan, azId(zone), azId(zone)), own);
    assert.equal(connectionsOf(this.plan, azId(zone), azId(other)), far);
  },
);

Then(
  'the homes together hold at most {int} connections to each upstream',
  function (this: NearHomesWorld, most: number) {
    for (const upstreamAz of this.upstreamZones) {
      const held = [...this.plan.homes].map(
        ([az, homes]) => homes.length * connectionsOf(this.plan, az, upstreamAz),
      );
      const sum = held.reduce((total, part) => total + part, 0);
      assert.ok(sum <= most, `${sum} > ${most}`);
    }
  },
);

Then(
  'a host asks homes of zones {string} in this order for work in zone {string}',
  function (this: NearHomesWorld, order: string, zone: string) {
    const homes = homesNear(this.plan, azId(zone), hostId('asker'), this.topology);
    const azOf = (host: HostId): string => host.split('-')[0] ?? '';
    const zones = homes.map(azOf);
    assert.equal(zones[0], namesOf(order)[0]);
    const distances = homes.map((host) => this.topology.distance(azId(zone), azId(azOf(host))));
    assert.deepEqual(distances, [...distances].sort());
    assert.deepEqual([...new Set(zones)].sort(), [...namesOf(order)].sort());
  },
);

When(
  '{int} transactions from zone {string} each hold a connection to the upstream of zone {string} for {int} ms, all at once',
  function (
    this: NearHomesWorld,
    transactions: number,
    callers: string,
    upstream: string,
    holdMs: number,
  ) {
    const pair = { callersAz: azId(callers), upstreamAz: azId(upstream) };
    Object.assign(this, { transactions, holdMs, ...pair });
  },
);

Then(
  'the last of them waits {int} ms, and {int} ms where each zone has homes of its own',
  function (this: NearHomesWorld, waitMs: number, evenMs: number) {
    const { plan, callersAz, upstreamAz } = this;
    const near = plan.homes.get(upstreamAz) ?? [];
    assert.equal(lastWait(this, near.length * connectionsOf(plan, upstreamAz, upstreamAz)), waitMs);
    const capacity = { connections: CONNECTIONS, slots: SLOTS, workspaces: 0 };
    const even = planHomes(GROUP, this.zones, capacity);
    const own = even.homes.get(callersAz) ?? [];
    assert.equal(lastWait(this, own.length * even.connectionsPerHome), evenMs);
  },
);

/** Time for which the last transaction waits for one of `connections`, milliseconds. */
function lastWait({ transactions, holdMs }: NearHomesWorld, connections: number): number {
  return Math.floor((transactions - 1) / connections) * holdMs;
}
