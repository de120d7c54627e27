import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, HostId, RegionId } from '@gladespool/coordination';
import {
  azId,
  hostId,
  SINGLE_REGION,
  regionId,
  SeededRandom,
  Topology,
} from '@gladespool/coordination';
import type { HostEntry } from '../src/index.js';
import { GatewayBoard, RelayOrder } from '../src/index.js';

interface OrderWorld {
  listed: ReadonlyMap<HostId, HostEntry>;
  /** Undefined without regions. */
  topology?: Topology;
  /** Deployments for which a property is checked. */
  lists: readonly OrderWorld[];
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
  const board = new GatewayBoard(entry.host, entry.az, world.topology ?? SINGLE_REGION);
  board.putHosts(world.listed);
  return new RelayOrder(board);
}

/** Every host with its parent, the host that it polls. */
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
  '{int} hosts poll a host of another zone, all the same one, which reads the store',
  function (this: OrderWorld, count: number) {
    const all = parents(this);
    const reader = all.find(([, parent]) => parent === undefined)?.[0].host;
    const askers = all.filter(([entry, parent]) => parent !== undefined && parent.az !== entry.az);
    assert.equal(askers.length, count);
    assert.ok(askers.every(([, parent]) => parent?.host === reader));
  },
);

Then(
  'the other {int} hosts poll a host of their own zone, all of a zone the same one',
  function (this: OrderWorld, count: number) {
    const asking = parents(this).filter(([entry, parent]) => parent?.az === entry.az);
    assert.equal(asking.length, count);
    const asked = new Set(asking.map(([, parent]) => parent?.host));
    const zones = new Set(asking.map(([entry]) => entry.az));
    assert.equal(asked.size, zones.size);
  },
);

Then('a host of another name has no host to poll', function (this: OrderWorld) {
  const unlisted = { ...entryOf(0, 1, NARROW_MBPS), host: hostId('new') };
  assert.equal(orderOn(this, unlisted).parent, undefined);
});

Then('the first host of each zone is the one with the wide link', function (this: OrderWorld) {
  for (const entry of this.listed.values()) {
    assert.equal(orderOn(this, entry).hosts[0]?.linkMbps, WIDE_MBPS);
  }
});

/** Parses "zone:region,…". */
function topologyOf(zones: string): Topology {
  const parsed = zones.split(',').map((zone) => zone.split(':'));
  const placed = parsed.filter(([, region]) => region !== '');
  return new Topology(
    new Map(placed.map(([az, region]) => [azId(az ?? ''), regionId(region ?? '')] as const)),
  );
}

/** Round trips that the hosts of a zone report, by the first letter of its name. */
function roundTripsOf(az: string, roundTrips: string): readonly number[] {
  const reported = roundTrips.split(',').find((each) => each.startsWith(`${az.charAt(0)}=`));
  return reported?.slice(2).split('/').map(Number) ?? [];
}

Given(
  'zones {string} of {int} hosts that took {string} ms to read the store',
  function (this: OrderWorld, zones: string, hosts: number, roundTrips: string) {
    this.topology = topologyOf(zones);
    const names = zones.split(',').map((zone) => zone.split(':')[0] ?? '');
    const entries = names.flatMap((az) => {
      const reported = roundTripsOf(az, roundTrips);
      return Array.from({ length: hosts }, (_, index): HostEntry => ({
        ...entryOf(index, 1, NARROW_MBPS),
        host: hostId(`${az}-${index}`),
        az: azId(az),
        storeRoundTripMs: reported[index % Math.max(1, reported.length)],
      }));
    });
    this.listed = list(entries);
  },
);

function firstHostOf(world: OrderWorld, az: string): HostId | undefined {
  const [entry] = world.listed.values();
  assert.ok(entry);
  return orderOn(world, entry).hostsOf(azId(az))[0]?.host;
}

When('the first host of zone {word} is off the list', function (this: OrderWorld, az: string) {
  const first = firstHostOf(this, az);
  this.listed = list([...this.listed.values()].filter(({ host }) => host !== first));
});

When('every host of zone {word} is off the list', function (this: OrderWorld, az: string) {
  this.listed = list([...this.listed.values()].filter((entry) => entry.az !== az));
});

Then(
  'the first hosts of the zones poll those of {string}, and the rest of each zone polls its first',
  function (this: OrderWorld, asked: string) {
    const ways = new Map(asked.split(',').map((way) => way.split('>') as [string, string]));
    assert.equal(ways.size, new Set([...this.listed.values()].map(({ az }) => az)).size);
    for (const [entry, parent] of parents(this)) {
      const first = firstHostOf(this, entry.az);
      const way = ways.get(entry.az) ?? '';
      const ofOtherZone = way === '-' ? undefined : firstHostOf(this, way);
      assert.equal(parent?.host, entry.host === first ? ofOtherZone : first, entry.host);
    }
  },
);

const PROPERTY_SEED = 1;
const MOST_ROUND_TRIP_MS = 100;

/** A random deployment in the given number of regions. */
function randomList(
  random: SeededRandom,
  zones: number,
  regions: number,
  most: number,
): OrderWorld {
  const below = (bound: number): number => random.integer(0, bound - 1);
  const names = Array.from({ length: zones }, (_, index) => azId(`z${index}`));
  const regionsOfZones = names.map((az, index): [AzId, RegionId] => [
    az,
    regionId(`r${index % regions}`),
  ]);
  const entries = names.flatMap((az) =>
    Array.from({ length: 1 + below(most) }, (_, index): HostEntry => ({
      ...entryOf(index, 1, below(WIDE_MBPS)),
      host: hostId(`${az}-${index}`),
      az,
      storeRoundTripMs: below(2) === 0 ? undefined : below(MOST_ROUND_TRIP_MS),
    })),
  );
  return { listed: list(entries), topology: new Topology(new Map(regionsOfZones)), lists: [] };
}

Given(
  '{int} lists of {int} zones in {int} regions, of 1 to {int} hosts each with any round trips',
  function (this: OrderWorld, count: number, zones: number, regions: number, hosts: number) {
    const random = new SeededRandom(PROPERTY_SEED);
    this.lists = Array.from({ length: count }, () => randomList(random, zones, regions, hosts));
  },
);

/** Regions on the path from a host to the reader, one for each time that the path enters a region. */
function regionsOnPath(world: OrderWorld, entry: HostEntry): readonly (RegionId | undefined)[] {
  const entered: (RegionId | undefined)[] = [];
  for (let at: HostEntry | undefined = entry; at !== undefined; at = orderOn(world, at).parent) {
    const region = world.topology?.regionOf(at.az);
    if (entered.at(-1) !== region) entered.push(region);
    assert.ok(entered.length <= world.listed.size, 'the path does not end');
  }
  return entered;
}

Then(
  "every host's path to the reader enters no region twice, and one host of each other region polls across regions",
  function (this: OrderWorld) {
    for (const world of this.lists) {
      const ways = [...world.listed.values()].map((entry) => regionsOnPath(world, entry));
      assert.ok(ways.every((way) => way.length <= 2));
      assert.equal(new Set(ways.map((way) => way.at(-1))).size, 1);
      const crossing = parents(world).filter(([entry, parent]) => {
        return parent && world.topology?.regionOf(parent.az) !== world.topology?.regionOf(entry.az);
      });
      assert.equal(crossing.length, (world.topology?.regions.length ?? 0) - 1);
    }
  },
);
