import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { MajorityRule, PrimaryCommitRule, SeededRandom } from '@gladespool/coordination';
import type { Exploration } from '../src/model/explore.js';
import { exploreAll, walkAtRandom } from '../src/model/explore.js';
import { initialState } from '../src/model/model-state.js';
import type { ModelRules } from '../src/model/model-steps.js';

interface ModelWorld {
  result: Exploration;
}

const DESIGNED: ModelRules = {
  acknowledgement: new MajorityRule(),
  fences: true,
  reportsFollowedTerm: false,
  eagerReads: true,
  attempts: 1,
};
const MAX_STATES = 150_000;
const NO_FAULTS = { crashes: 0, losses: 0 };
const FAULTS = { crashes: 3, losses: 3 };
const WALK_SEED = 3;

When(
  'every state of {int} write and {int} promoter is visited',
  function (this: ModelWorld, writes: number, promoters: number) {
    const initial = initialState({ writes, promoters, budget: NO_FAULTS });
    this.result = exploreAll(initial, DESIGNED, MAX_STATES);
  },
);

When(
  '{int} walks of {int} steps with {int} writes, {int} promoters and seed {int} are made',
  function (
    this: ModelWorld,
    walks: number,
    steps: number,
    writes: number,
    promoters: number,
    seed: number,
  ) {
    const rules = { ...DESIGNED, eagerReads: false, attempts: 3 };
    const initial = initialState({ writes, promoters, budget: FAULTS });
    this.result = walkAtRandom(initial, rules, walks, steps, new SeededRandom(seed));
  },
);

When('the rule is broken so that {string}', function (this: ModelWorld, fault: string) {
  const small = initialState({ writes: 1, promoters: 1, budget: NO_FAULTS });
  const two = initialState({ writes: 2, promoters: 1, budget: NO_FAULTS });
  const large = initialState({ writes: 4, promoters: 3, budget: FAULTS });
  if (fault === 'the primary alone confirms') {
    const rules = { ...DESIGNED, acknowledgement: new PrimaryCommitRule() };
    this.result = exploreAll(small, rules, MAX_STATES);
  } else if (fault === "fences don't hold") {
    this.result = exploreAll(two, { ...DESIGNED, fences: false }, MAX_STATES);
  } else {
    const rules = { ...DESIGNED, eagerReads: false, attempts: 3, reportsFollowedTerm: true };
    this.result = walkAtRandom(large, rules, 20_000, 150, new SeededRandom(WALK_SEED));
  }
});

Then(
  'all states were visited, some commits were confirmed, and nothing is violated',
  function (this: ModelWorld) {
    assert.equal(this.result.violation?.what, undefined);
    assert.ok(this.result.complete);
    assert.ok(this.result.confirmed > 0);
  },
);

Then(
  'some commits were confirmed and some superseded, and nothing is violated',
  function (this: ModelWorld) {
    assert.equal(this.result.violation?.what, undefined);
    assert.ok(this.result.confirmed > 0);
    assert.ok(this.result.superseded > 0);
  },
);

Then('the exploration finds {string}', function (this: ModelWorld, what: string) {
  assert.ok(this.result.violation?.what.startsWith(what), this.result.violation?.what);
});
