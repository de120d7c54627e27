import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { Departure, DepartureCause, ExpiryRules } from '../src/index.js';
import { departureOf, postponeDeparture, receivesNewWork } from '../src/index.js';

interface DepartureWorld {
  rules: ExpiryRules;
  departure: Departure;
}

When(
  /^a host that last knew one to stay at (\S+) learns at (\d+) ms of its departure by "([\w-]+)"$/,
  function (this: DepartureWorld, ready: string, learnedAt: string, cause: DepartureCause) {
    const lastReadyAt = ready === 'unknown' ? Number.NEGATIVE_INFINITY : Number(ready);
    this.departure = departureOf(cause, lastReadyAt, Number(learnedAt), this.rules);
  },
);

When('the store is available again at {int} ms', function (this: DepartureWorld, now: number) {
  this.departure = postponeDeparture(this.departure, now, this.rules);
});

Then('it receives new work until {int} ms', function (this: DepartureWorld, end: number) {
  assert.equal(receivesNewWork(this.departure, end - 1), true);
  assert.equal(receivesNewWork(this.departure, end), false);
});
