import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { StartTime, Position, PrimaryRecord, UpstreamIdentity } from '../src/index.js';
import {
  DEFAULT_AUTHORITY,
  groupId,
  hasAuthority,
  hasRegressed,
  hostId,
  mayBeSameUpstream,
  WatermarkLog,
  RecordPhase,
  upstreamId,
  withKnownStartTime,
} from '../src/index.js';

interface IdentityWorld {
  known: UpstreamIdentity | undefined;
  told: UpstreamIdentity;
  marks: WatermarkLog;
  position: Position | undefined;
}

const ID = upstreamId('u1');

function upstreamBornAt(text: string): UpstreamIdentity {
  const born: StartTime = text === '' ? undefined : Number(text);
  return { id: ID, born };
}

function positionOf(text: string): Position | undefined {
  const [term, offset] = text.split('.');
  return offset === undefined ? undefined : { term: Number(term), offset: Number(offset) };
}

Given(
  'a record that names an upstream born at {string}',
  function (this: IdentityWorld, born: string) {
    this.known = upstreamBornAt(born);
  },
);

When('its entry tells that it was born at {string}', function (this: IdentityWorld, born: string) {
  this.told = upstreamBornAt(born);
});

Then(
  /^it is (the same|another) upstream, which (may|may not) be used as the primary$/,
  function (this: IdentityWorld, which: string, may: string) {
    assert.ok(this.known);
    assert.equal(mayBeSameUpstream(this.known, this.told), which === 'the same');
    const record: PrimaryRecord = {
      group: groupId('g'),
      epoch: 1,
      phase: RecordPhase.Serving,
      primary: ID,
      born: this.known.born,
      holder: hostId('h'),
    };
    const view = { record, provedAt: 0, primaryStartTime: this.told.born };
    assert.equal(hasAuthority(view, 0, DEFAULT_AUTHORITY), may === 'may');
  },
);

Given('an entry of an upstream born at {string}', function (this: IdentityWorld, born: string) {
  this.known = born === 'none' ? undefined : upstreamBornAt(born);
});

When('its next entry tells a birth at {string}', function (this: IdentityWorld, born: string) {
  this.told = withKnownStartTime(this.known, upstreamBornAt(born));
});

Then('the birth known is {string}', function (this: IdentityWorld, born: string) {
  assert.equal(this.told.born, upstreamBornAt(born).born);
});

Given(
  'a primary that told the positions {string} under epoch {int}',
  function (this: IdentityWorld, seen: string, epoch: number) {
    this.marks = new WatermarkLog(epoch);
    for (const [index, text] of seen.split(',').entries()) {
      const position = positionOf(text);
      if (position !== undefined) this.marks.add({ sentAt: index, position });
    }
  },
);

When(
  'it tells {string} under epoch {int}',
  function (this: IdentityWorld, told: string, epoch: number) {
    this.marks.startEpoch(epoch);
    this.position = positionOf(told);
  },
);

Then(/^it (has|has not) lost its log$/, function (this: IdentityWorld, has: string) {
  assert.equal(hasRegressed(this.marks.highest, this.position), has === 'has');
});
