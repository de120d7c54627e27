import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { ExpiryRules, ExpiryStage } from '../src/index.js';
import {
  countedSince,
  expiryRules,
  expiryStage,
  mayHaveLapsed,
  missingUntil,
} from '../src/index.js';

interface ExpiryWorld {
  rules: ExpiryRules;
  since: number;
  now: number;
  confirmedAt: number;
}

/** A time from a table cell. */
function timeOf(text: string): number {
  return text === 'never' ? Number.NEGATIVE_INFINITY : Number(text);
}

Given(
  'upstreams that accept work for {int} ms after they are known to leave',
  function (this: ExpiryWorld, servesOnMs: number) {
    this.rules = expiryRules(servesOnMs);
  },
);

Then(
  'one whose entry has been missing for {int} ms counts as {string}',
  function (this: ExpiryWorld, missingMs: number, stage: string) {
    assert.equal(expiryStage(missingMs, this.rules), stage);
  },
);

When(
  /^an entry counts as missing since (\d+), and documents at (\d+) are current up to (\w+)$/,
  function (this: ExpiryWorld, since: string, now: string, current: string) {
    this.since = Number(since);
    this.now = Number(now);
    this.confirmedAt = timeOf(current);
  },
);

Then(
  /^it counts as missing since (\d+) up to (\w+), as "(\w+)"$/,
  function (this: ExpiryWorld, since: string, until: string, stage: ExpiryStage) {
    const { now, confirmedAt, rules } = this;
    const lapsed = mayHaveLapsed(confirmedAt, now);
    const counted = lapsed ? countedSince(stage, this.since, now, rules) : this.since;
    assert.equal(counted, Number(since));
    assert.equal(missingUntil(confirmedAt, now), timeOf(until));
  },
);
