import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { authorityModel, Variant } from '../src/authority-model/authority-model.js';
import type { AuthorityState } from '../src/authority-model/authority-state.js';
import type { Visit } from '../src/model/breadth-first.js';
import { visitAll } from '../src/model/breadth-first.js';

interface AuthorityModelWorld {
  visit: Visit<AuthorityState>;
}

const LIMIT = 400_000;
const TIMEOUT = { timeout: 60_000 };
const STORE =
  /(with a store that answers, late or not at all|with a store that is away|with a primary born anew)/;
const BORN_ANEW = 'with a primary born anew';
const AWAY = 'with a store that is away';

const VARIANTS = new Map<string, Variant>(Object.values(Variant).map((value) => [value, value]));

When(
  new RegExp(`^every state of (\\d+) hosts over (\\d+) ticks is visited ${STORE.source}$`),
  TIMEOUT,
  function (this: AuthorityModelWorld, hosts: string, ticks: string, store: string) {
    const bounds = {
      hosts: Number(hosts),
      ticks: Number(ticks),
      storeAway: store === AWAY,
      bornAnew: store === BORN_ANEW,
    };
    this.visit = visitAll(authorityModel(Variant.Designed, bounds), LIMIT);
  },
);

When(
  new RegExp(`^the variant "([^"]+)" is visited ${STORE.source}$`),
  TIMEOUT,
  function (this: AuthorityModelWorld, variant: string, store: string) {
    const known = VARIANTS.get(variant);
    assert.ok(known, variant);
    const storeAway = store === AWAY;
    const bornAnew = store === BORN_ANEW;
    const bounds = { hosts: storeAway ? 3 : 2, ticks: 6, storeAway, bornAnew };
    this.visit = visitAll(authorityModel(known, bounds), LIMIT);
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
