import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { renewalDueAge, renewalIntervalMs } from '../src/index.js';

interface RenewalWorld {
  zones: number;
  hosts: number;
}

const MS_PER_S = 1000;
/** Rounds in a row without an answer after which the pause grows no more. */
const MANY_FAILED = 10;

Then(
  'the host of place {int} in zone {int} asks from an age of {int} ms on',
  function (rank: number, zone: number, ageMs: number) {
    assert.equal(renewalDueAge({ zone, rank }), ageMs);
  },
);

Then(
  'the host of place {int} in zone {int} of several regions asks from an age of {int} ms on',
  function (rank: number, zone: number, ageMs: number) {
    assert.equal(renewalDueAge({ zone, rank }, true), ageMs);
  },
);

Then(
  /^after (\d+) failed rounds place (\d+) pauses for "(\w+)" ms, (proven|isolated)$/,
  function (failed: string, rank: string, pauseMs: string, state: string) {
    const place = { zone: 0, rank: Number(rank) };
    assert.equal(renewalIntervalMs(place, Number(failed), state === 'isolated'), Number(pauseMs));
  },
);

Given(
  '{int} zones of {int} hosts whose proofs have run out',
  function (this: RenewalWorld, zones: number, hosts: number) {
    this.zones = zones;
    this.hosts = hosts;
  },
);

Then(
  'they begin at most {int} rounds a second together',
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
