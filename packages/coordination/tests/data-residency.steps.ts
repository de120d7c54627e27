import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, PermittedRegions, RegionId } from '../src/index.js';
import { azId, isPermitted, permittedRegions, regionId, Topology } from '../src/index.js';

interface RegionsWorld {
  permitted: PermittedRegions;
  zones: readonly AzId[];
  topology: Topology;
}

function regionsOf(text: string): PermittedRegions {
  if (text === 'anywhere') return undefined;
  return text === 'nowhere' ? [] : text.split(',').map(regionId);
}

Given(
  'a route restricted to {string} and a workspace restricted to {string}',
  function (this: RegionsWorld, route: string, workspace: string) {
    this.permitted = permittedRegions(regionsOf(route), regionsOf(workspace));
  },
);

Then('its data may be in {string}', function (this: RegionsWorld, regions: string) {
  assert.deepEqual(this.permitted, regionsOf(regions));
});

Given('zones {string} with their regions', function (this: RegionsWorld, zones: string) {
  const pairs = zones.split(',').map((pair) => pair.split(':'));
  const regionByZone = new Map<AzId, RegionId>();
  for (const [az = '', region = '-'] of pairs) {
    if (region !== '-') regionByZone.set(azId(az), regionId(region));
  }
  this.zones = pairs.map(([az = '']) => azId(az));
  this.topology = new Topology(regionByZone);
});

When('data may be in {string}', function (this: RegionsWorld, regions: string) {
  this.permitted = regionsOf(regions);
});

Then('the zones that may be used are {string}', function (this: RegionsWorld, zones: string) {
  const permitted = this.zones.filter((az) => isPermitted(az, this.permitted, this.topology));
  assert.equal(permitted.join(','), zones);
});
