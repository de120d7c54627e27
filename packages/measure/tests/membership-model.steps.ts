import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { MembershipBounds } from '../src/membership-model/membership-model.js';
import { membershipModel, MembershipVariant } from '../src/membership-model/membership-model.js';
import type { MembershipState } from '../src/membership-model/membership-state.js';
import type { Visit } from '../src/model/breadth-first.js';
import { visitAll } from '../src/model/breadth-first.js';

interface MembershipModelWorld {
  membership: Visit<MembershipState>;
}

const MAX_STATES = 400_000;
const VARIANTS = new Map<string, MembershipVariant>(
  Object.values(MembershipVariant).map((value) => [value, value]),
);
const TIMEOUT = { timeout: 60_000 };

function visit(
  world: MembershipModelWorld,
  variant: MembershipVariant,
  bounds: MembershipBounds,
): void {
  world.membership = visitAll(membershipModel(variant, bounds), MAX_STATES);
}

When(
  'every state of {int} hosts is visited, with {int} partitioned, {int} joining, {int} retired',
  TIMEOUT,
  function (
    this: MembershipModelWorld,
    first: number,
    partitioned: number,
    joining: number,
    retiring: number,
  ) {
    visit(this, MembershipVariant.Designed, { first, partitioned, joining, retiring });
  },
);

When(
  '{string} is visited with {int} hosts, {int} partitioned, {int} joining, {int} retired',
  TIMEOUT,
  function (
    this: MembershipModelWorld,
    name: string,
    first: number,
    partitioned: number,
    joining: number,
    retiring: number,
  ) {
    const variant = VARIANTS.get(name);
    assert.ok(variant, name);
    visit(this, variant, { first, partitioned, joining, retiring });
  },
);

Then(
  'all states were visited, and no host uses the former primary after the call',
  function (this: MembershipModelWorld) {
    const { fault, complete, states } = this.membership;
    assert.equal(fault?.what, undefined, fault?.trace.join(', '));
    assert.ok(complete, `${states} states`);
  },
);

Then(
  'a host is found that uses the former primary after the call',
  function (this: MembershipModelWorld) {
    assert.equal(this.membership.fault?.what, 'the former primary is used after the call');
  },
);
