import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { authorityModel, Variant } from '../src/authority-model/authority-model.js';
import type { AuthorityState } from '../src/authority-model/authority-state.js';
import type { Visit } from '../src/model/breadth-first.js';
import { visitAll } from '../src/model/breadth-first.js';

interface AuthorityModelWorld {
  visit: Visit<AuthorityState>;
}

const MAX_STATES = 400_000;
const TIMEOUT = { timeout: 60_000 };
const CONDITION =
  /(with a store that answers, late or not at all|with a store that is away|with a primary born anew)/;
const PRIMARY_RESTARTS = 'with a primary born anew';
const STORE_UNAVAILABLE = 'with a store that is away';

const VARIANTS = new Map<string, Variant>(Object.values(Variant).map((value) => [value, value]));

When(
  new RegExp(`^every state of (\\d+) hosts over (\\d+) ticks is visited ${CONDITION.source}$`),
  TIMEOUT,
  function (this: AuthorityModelWorld, hosts: string, ticks: string, condition: string) {
    const bounds = {
      hosts: Number(hosts),
      ticks: Number(ticks),
      storeUnavailable: condition === STORE_UNAVAILABLE,
      primaryRestarts: condition === PRIMARY_RESTARTS,
    };
    this.visit = visitAll(authorityModel(Variant.Designed, bounds), MAX_STATES);
  },
);

When(
  new RegExp(`^the variant "([^"]+)" is visited ${CONDITION.source}$`),
  TIMEOUT,
  function (this: AuthorityModelWorld, variant: string, condition: string) {
    const known = VARIANTS.get(variant);
    assert.ok(known, variant);
    const storeUnavailable = condition === STORE_UNAVAILABLE;
    const primaryRestarts = condition === PRIMARY_RESTARTS;
    const bounds = { hosts: storeUnavailable ? 3 : 2, ticks: 6, storeUnavailable, primaryRestarts };
    this.visit = visitAll(authorityModel(known, bounds), MAX_STATES);
  },
);

Then('all states were visited and nothing is violated', function (this: AuthorityModelWorld) {
  assert.equal(this.visit.fault, undefined, this.visit.fault?.trace.join(', '));
  assert.ok(this.visit.complete, `${this.visit.states} states`);
});

Then(
  'a confirmation under the former primary after the call is found',
  function (this: AuthorityModelWorld) {
    assert.equal(this.visit.fault?.what, 'confirmed under the former primary after the call');
  },
);

Then(
  'a confirmation by a primary that had lost its log is found',
  function (this: AuthorityModelWorld) {
    assert.equal(this.visit.fault?.what, 'confirmed by a primary that had lost its log');
  },
);
