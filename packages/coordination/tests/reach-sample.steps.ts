import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, HostId } from '../src/index.js';
import { azId, hostId, hostsByZone, reachSample } from '../src/index.js';

interface SampleWorld {
  zones: ReadonlyMap<AzId, readonly HostId[]>;
  homes: ReadonlyMap<AzId, readonly HostId[]>;
  asker: HostId;
  sample: readonly HostId[];
}

function zoneOf(world: SampleWorld, host: HostId): AzId {
  const found = [...world.zones].find(([, hosts]) => hosts.includes(host));
  assert.ok(found, `zone of ${host}`);
  return found[0];
}

Given(
  '{int} zones of {int} hosts, each with {int} homes of the group',
  function (this: SampleWorld, zones: number, hosts: number, homes: number) {
    const listed = Array.from({ length: zones * hosts }, (_, index) => ({
      host: hostId(`h${index}`),
      az: azId(`z${index % zones}`),
    }));
    this.zones = hostsByZone(listed);
    this.homes = new Map([...this.zones].map(([az, ids]) => [az, ids.slice(-homes)]));
  },
);

When(
  'host {string} asks whether others reach the primary',
  function (this: SampleWorld, name: string) {
    this.asker = hostId(name);
    this.sample = reachSample(this.asker, this.zones, this.homes);
  },
);

Then(
  'it asks {int} hosts, {int} of its own zone and {int} of each other',
  function (this: SampleWorld, count: number, own: number, others: number) {
    assert.equal(this.sample.length, count);
    const ownZone = zoneOf(this, this.asker);
    for (const az of this.zones.keys()) {
      const asked = this.sample.filter((host) => zoneOf(this, host) === az).length;
      assert.equal(asked, az === ownZone ? own : others, az);
    }
  },
);

Then('the first {int} are of different zones', function (this: SampleWorld, count: number) {
  const first = this.sample.slice(0, count);
  assert.equal(new Set(first.map((host) => zoneOf(this, host))).size, first.length);
});

Then('every home except the asker is asked', function (this: SampleWorld) {
  const homes = [...this.homes.values()].flat().filter((host) => host !== this.asker);
  assert.ok(homes.every((host) => this.sample.includes(host)));
});

Then(
  'the samples of {int} askers name more than {int} hosts together',
  function (this: SampleWorld, askers: number, count: number) {
    const hosts = [...this.zones.values()].flat().slice(0, askers);
    const named = hosts.flatMap((asker) => reachSample(asker, this.zones, this.homes));
    assert.ok(new Set(named).size > count);
  },
);
