import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { PreviousEraHosts, PrimaryRecord } from '../src/index.js';
import {
  DEFAULT_AUTHORITY,
  groupId,
  hostId,
  mayOpenEra,
  initialFence,
  placeholderRecord,
  RecordPhase,
  upstreamId,
} from '../src/index.js';

interface OpeningWorld {
  former: PreviousEraHosts;
  placeholder: PrimaryRecord;
}

Given(
  '{int} hosts were listed in the previous era, of which {int} answer and {int} are replaced',
  function (this: OpeningWorld, listed: number, answered: number, replaced: number) {
    this.former = { listed, answered, replaced, held: { listed, answered } };
  },
);

Given(
  'the opener held a list of {int} of them, of which {int} answer',
  function (this: OpeningWorld, listed: number, answered: number) {
    this.former = { ...this.former, held: { listed, answered } };
  },
);

Given('the opener held no list that was valid', function (this: OpeningWorld) {
  this.former = { ...this.former, held: undefined };
});

Then(
  /^(\d+) ms after the era was first observed it (may|may not) be opened$/,
  function (this: OpeningWorld, ms: string, may: string) {
    assert.equal(mayOpenEra(this.former, Number(ms), DEFAULT_AUTHORITY), may === 'may');
  },
);

Then(
  'with a highest known fence of {int} the era starts at {int}',
  function (this: OpeningWorld, known: number, fence: number) {
    assert.equal(initialFence(known, this.former), fence);
  },
);

Given(
  /^a record of epoch (\d+) that is unreadable at store position (\d+)\.(\d+)$/,
  function (this: OpeningWorld, epoch: string, era: string, revision: string) {
    const group = groupId('g1');
    const former = {
      group,
      epoch: Number(epoch),
      phase: RecordPhase.Serving,
      primary: upstreamId('u1'),
      holder: hostId('h1'),
    };
    const position = { era: Number(era), revision: Number(revision) };
    this.placeholder = placeholderRecord(group, former, position);
  },
);

Then('it counts as claimed under epoch {int}', function (this: OpeningWorld, epoch: number) {
  assert.deepEqual([this.placeholder.phase, this.placeholder.epoch], [RecordPhase.Claimed, epoch]);
});
