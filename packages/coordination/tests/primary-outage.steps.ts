import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { OutageView } from '../src/index.js';
import {
  DEFAULT_OUTAGE_ESTIMATES,
  expectedOutageEnd,
  shouldHoldStatement,
  updatedPromotionMs,
} from '../src/index.js';

interface OutageWorld {
  promotionMs: number;
  view: OutageView;
  arrivedAt: number;
  timeoutMs: number;
}

Given('promotions that take {int} ms', function (this: OutageWorld, promotionMs: number) {
  this.promotionMs = promotionMs;
});

Given('an outage known by {string}', function (this: OutageWorld, known: string) {
  const since = new Map(
    known.split(',').map((fact) => {
      const [what, at] = fact.split(':');
      return [what, Number(at)] as const;
    }),
  );
  this.view = {
    unprovedSince: since.get('unproven'),
    claimedAt: since.get('claimed'),
    failingSince: since.get('failing'),
  };
});

Then(
  'at {int} ms the primary is expected at {int} ms',
  function (this: OutageWorld, now: number, expected: number) {
    const estimates = { promotionMs: this.promotionMs, ...DEFAULT_OUTAGE_ESTIMATES };
    assert.equal(expectedOutageEnd(this.view, estimates, now), expected);
  },
);

Given(
  'a statement of {int} ms that arrived at {int} ms',
  function (this: OutageWorld, timeoutMs: number, arrivedAt: number) {
    this.timeoutMs = timeoutMs;
    this.arrivedAt = arrivedAt;
  },
);

Then(
  /^it (waits|is refused) for a primary expected at (\d+) ms$/,
  function (this: OutageWorld, does: string, expected: string) {
    const holds = shouldHoldStatement(Number(expected), this.arrivedAt, this.timeoutMs);
    assert.equal(holds, does === 'waits');
  },
);

When('one takes {int} ms', function (this: OutageWorld, tookMs: number) {
  this.promotionMs = updatedPromotionMs(this.promotionMs, tookMs);
});

Then('promotions are expected to take {int} ms', function (this: OutageWorld, expected: number) {
  assert.equal(this.promotionMs, expected);
});
