import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { ExpiryRules } from '../src/index.js';
import { expiryRules, expiryStage } from '../src/index.js';

interface ExpiryWorld {
  rules: ExpiryRules;
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
