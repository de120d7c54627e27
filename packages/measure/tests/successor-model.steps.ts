import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { Visit } from '../src/model/breadth-first.js';
import { visitAll } from '../src/model/breadth-first.js';
import type { SuccessorState } from '../src/successor-model/successor-model.js';
import { successorModel, SuccessorVariant } from '../src/successor-model/successor-model.js';

interface SuccessorWorld {
  visit: Visit<SuccessorState>;
}

const MAX_STATES = 100_000;
const VARIANTS = new Map<string, SuccessorVariant>(
  Object.values(SuccessorVariant).map((value) => [value, value]),
);

When('every state of the design is visited', function (this: SuccessorWorld) {
  this.visit = visitAll(successorModel(SuccessorVariant.Designed), MAX_STATES);
});

When(
  'every state of the variant {string} is visited',
  function (this: SuccessorWorld, name: string) {
    const variant = VARIANTS.get(name);
    assert.ok(variant, name);
    this.visit = visitAll(successorModel(variant), MAX_STATES);
  },
);

Then(
  'the visit is complete and another leader than the one that serves is never found',
  function (this: SuccessorWorld) {
    assert.equal(this.visit.fault, undefined, this.visit.fault?.trace.join(', '));
    assert.ok(this.visit.complete, `${this.visit.states} states`);
  },
);

Then('another leader than the one that serves is found', function (this: SuccessorWorld) {
  assert.equal(this.visit.fault?.what, 'another one leads than serves');
});
