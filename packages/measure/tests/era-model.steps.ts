import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { eraModel, EraVariant } from '../src/era-model/era-model.js';
import type { EraState } from '../src/era-model/era-state.js';
import type { Visit } from '../src/model/breadth-first.js';
import { visitAll } from '../src/model/breadth-first.js';

interface EraModelWorld {
  visit: Visit<EraState>;
}

const MAX_STATES = 400_000;
const VARIANTS = new Map<string, EraVariant>(
  Object.values(EraVariant).map((value) => [value, value]),
);
const TIMEOUT = { timeout: 120_000 };

When(
  'every state with {int} returns of the store from a copy is visited',
  TIMEOUT,
  function (this: EraModelWorld, returns: number) {
    this.visit = visitAll(eraModel(EraVariant.Designed, returns), MAX_STATES);
  },
);

When(
  'the variant {string} of the opening is visited',
  TIMEOUT,
  function (this: EraModelWorld, name: string) {
    const variant = VARIANTS.get(name);
    assert.ok(variant, name);
    this.visit = visitAll(eraModel(variant, 1), MAX_STATES);
  },
);

Then('all of them are without a fault', function (this: EraModelWorld) {
  const { fault, complete, states } = this.visit;
  assert.equal(fault, undefined, `${fault?.what}: ${fault?.trace.join(', ')}`);
  assert.ok(complete, `${states} states`);
});

Then('the fault {string} is found', function (this: EraModelWorld, what: string) {
  assert.equal(this.visit.fault?.what, what, `${this.visit.states} states`);
});
