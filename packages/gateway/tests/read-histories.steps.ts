import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { HistoryResult } from './fakes/read-history.js';
import { ReadHistory } from './fakes/read-history.js';

interface ReadHistoriesWorld {
  results: readonly HistoryResult[];
}

Given(
  '{int} random histories of a group whose answers tell no position in {int} of 10 cases',
  { timeout: 120_000 },
  async function (this: ReadHistoriesWorld, count: number, untold: number) {
    const results: HistoryResult[] = [];
    for (let seed = 1; seed <= count; seed += 1) {
      results.push(await new ReadHistory(seed, untold / 10).play());
    }
    this.results = results;
  },
);

Then(
  'each read ran on a log with every commit that it had to see, in over {int} reads',
  function (this: ReadHistoriesWorld, least: number) {
    for (const [index, { missed }] of this.results.entries()) {
      assert.deepEqual(missed, [], `seed ${index + 1}`);
    }
    const reads = this.results.reduce((sum, each) => sum + each.reads, 0);
    assert.ok(reads > least, `${reads} reads`);
  },
);

Then(
  'each confirmed commit was made by the primary of its time, and primaries were replaced over {int} times',
  function (this: ReadHistoriesWorld, least: number) {
    for (const [index, { deposed }] of this.results.entries()) {
      assert.deepEqual(deposed, [], `seed ${index + 1}`);
    }
    const promotions = this.results.reduce((sum, each) => sum + each.promotions, 0);
    assert.ok(promotions > least, `${promotions} promotions`);
  },
);
