import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, HostId, RegionId } from '../src/index.js';
import {
  azId,
  hostId,
  prioritizeRegion,
  regionId,
  dominantRegion,
  Topology,
  fallbackZones,
} from '../src/index.js';

interface RegionWorld {
  topology: Topology;
  zones: readonly AzId[];
  order: readonly HostId[];
}

Given('the regions {string}', function (this: RegionWorld, regions: string) {
  const pairs = regions === 'none' ? [] : regions.split(',').map((each) => each.split(':'));
  this.topology = new Topology(
    new Map(pairs.map(([az, region]) => [azId(az ?? ''), regionId(region ?? '')] as const)),
  );
});

When('upstreams are in zones {string}', function (this: RegionWorld, zones: string) {
  this.zones = zones.split(',').map(azId);
});

Then('most of them are in region {string}', function (this: RegionWorld, region: string) {
  assert.equal(dominantRegion(this.zones, this.topology) ?? 'none', region);
});

When(
  'hosts ranked {string} act on a group of region {string}',
  function (this: RegionWorld, ranked: string, region: string) {
    const hosts = ranked.split(',').map(hostId);
    const regionOf = (host: HostId): RegionId | undefined =>
      this.topology.regionOf(azId(host.split('-')[0] ?? ''));
    this.order = prioritizeRegion(
      hosts,
      region === 'none' ? undefined : regionId(region),
      regionOf,
    );
  },
);

Then('the order is {string}', function (this: RegionWorld, order: string) {
  assert.equal(this.order.join(','), order);
});

Then(
  'at a proof age of {int} ms it asks hosts of zones {string} out of {string}',
  function (this: RegionWorld, ageMs: number, asked: string, zones: string) {
    const all = zones.split(',').map(azId);
    const found = fallbackZones(azId('a1'), all, this.topology, ageMs);
    assert.equal(found.join(','), asked);
  },
);
