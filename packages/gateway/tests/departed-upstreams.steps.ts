import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { azId, expiryRules, groupId, upstreamId } from '@gladespool/coordination';
import { DepartedUpstreams } from '../src/control/store/departed-upstreams.js';
import type { UpstreamEntry } from '../src/model/catalog.js';
import { ReportedRole } from '../src/model/catalog.js';
import { at } from './fakes/store-positions.js';

interface DepartedWorld {
  departed: DepartedUpstreams;
}

/** Interval at which hosts advance the times of departed upstreams, milliseconds. */
const TICK_MS = 100;

function entryOf(id: string, address: string): UpstreamEntry {
  return {
    id: upstreamId(id),
    group: groupId('g1'),
    address,
    port: 80,
    az: azId('z1'),
    role: ReportedRole.Replica,
    slots: 3,
    draining: false,
  };
}

const LEFT = entryOf('u1', '10.0.0.1');

Given(
  'upstreams that serve on for {int} ms, and u1 whose entry disappears at 0 ms',
  function (this: DepartedWorld, servesOnMs: number) {
    this.departed = new DepartedUpstreams(expiryRules(servesOnMs));
    const item = { key: 'servers/u1', value: JSON.stringify(LEFT), position: at(1) };
    this.departed.add(LEFT, item, 0);
  },
);

When('nothing else happens', function () {
  // Only time passes.
});

When('u1 is listed again', function (this: DepartedWorld) {
  this.departed.removeReplaced(LEFT);
});

When('another upstream is listed at its address', function (this: DepartedWorld) {
  this.departed.removeReplaced(entryOf('u4', LEFT.address));
});

When('another upstream is listed elsewhere', function (this: DepartedWorld) {
  this.departed.removeReplaced(entryOf('u4', '10.0.0.4'));
});

When('the store is away until {int} ms', function (this: DepartedWorld, until: number) {
  for (let now = 0; now <= until; now += TICK_MS) {
    this.departed.tick(Number.NEGATIVE_INFINITY, now);
  }
});

Then(
  /^at (\d+) ms u1 (may|may not) confirm commits$/,
  function (this: DepartedWorld, ms: string, may: string) {
    const now = Number(ms);
    this.departed.tick(now, now);
    const ids = this.departed.of(LEFT.group).map(({ entry }) => entry.id);
    assert.deepEqual(ids, may === 'may' ? [LEFT.id] : []);
  },
);
