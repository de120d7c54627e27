import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { renewalDueAge, renewalIntervalMs } from '../src/index.js';

interface RenewalWorld {
  zones: number;
  hosts: number;
}

const MS_PER_S = 1000;
/** Number of consecutive failed rounds after which the interval no longer grows. */
const MANY_FAILED = 10;

Then(
  'the host of rank {int} in zone {int} starts a round at a proof age of {int} ms',
  function (rank: number, zone: number, ageMs: number) {
    assert.equal(renewalDueAge({ zone, rank }), ageMs);
  },
);

Then(
  'the host of rank {int} in zone {int} of several regions starts a round at a proof age of {int} ms',
  function (rank: number, zone: number, ageMs: number) {
    assert.equal(renewalDueAge({ zone, rank }, true), ageMs);
  },
);

Then(
  /^after (\d+) failed rounds rank (\d+) waits for "(\w+)" ms, (proven|isolated)$/,
  function (failed: string, rank: string, pauseMs: string, state: string) {
    const place = { zone: 0, rank: Number(rank) };
    assert.equal(renewalIntervalMs(place, Number(failed), state === 'isolated'), Number(pauseMs));
  },
);

Given(
  '{int} zones of {int} hosts whose proofs have expired',
  function (this: RenewalWorld, zones: number, hosts: number) {
    this.zones = zones;
    this.hosts = hosts;
  },
);

Then(
  'they start at most {int} rounds per second together',
  function (this: RenewalWorld, most: number) {
    let rounds = 0;
    for (let zone = 0; zone < this.zones; zone += 1) {
      for (let rank = 0; rank < this.hosts; rank += 1) {
        rounds += MS_PER_S / renewalIntervalMs({ zone, rank }, MANY_FAILED, true);
      }
    }
    assert.ok(rounds <= most, `${rounds} rounds a second`);
  },
);
