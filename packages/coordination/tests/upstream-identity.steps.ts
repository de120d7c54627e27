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
  reported: UpstreamIdentity;
  watermarks: WatermarkLog;
  position: Position | undefined;
}

const ID = upstreamId('u1');

function upstreamStartedAt(text: string): UpstreamIdentity {
  const born: StartTime = text === '' ? undefined : Number(text);
  return { id: ID, born };
}

function positionOf(text: string): Position | undefined {
  const [term, offset] = text.split('.');
  return offset === undefined ? undefined : { term: Number(term), offset: Number(offset) };
}

Given(
  'a record that names an upstream started at {string}',
  function (this: IdentityWorld, born: string) {
    this.known = upstreamStartedAt(born);
  },
);

When('its entry reports the start time {string}', function (this: IdentityWorld, born: string) {
  this.reported = upstreamStartedAt(born);
});

Then(
  /^it is (the same|another) upstream, which (may|may not) be used as the primary$/,
  function (this: IdentityWorld, which: string, may: string) {
    assert.ok(this.known);
    assert.equal(mayBeSameUpstream(this.known, this.reported), which === 'the same');
    const record: PrimaryRecord = {
      group: groupId('g'),
      epoch: 1,
      phase: RecordPhase.Serving,
      primary: ID,
      born: this.known.born,
      holder: hostId('h'),
    };
    const view = { record, provedAt: 0, primaryStartTime: this.reported.born };
    assert.equal(hasAuthority(view, 0, DEFAULT_AUTHORITY), may === 'may');
  },
);

Given('an entry of an upstream started at {string}', function (this: IdentityWorld, born: string) {
  this.known = born === 'none' ? undefined : upstreamStartedAt(born);
});

When(
  'its next entry reports the start time {string}',
  function (this: IdentityWorld, born: string) {
    this.reported = withKnownStartTime(this.known, upstreamStartedAt(born));
  },
);

Then('the known start time is {string}', function (this: IdentityWorld, born: string) {
  assert.equal(this.reported.born, upstreamStartedAt(born).born);
});

Given(
  'a primary that reported the positions {string} under epoch {int}',
  function (this: IdentityWorld, seen: string, epoch: number) {
    this.watermarks = new WatermarkLog(epoch);
    for (const [index, text] of seen.split(',').entries()) {
      const position = positionOf(text);
      if (position !== undefined) this.watermarks.add({ sentAt: index, position });
    }
  },
);

When(
  'it reports {string} under epoch {int}',
  function (this: IdentityWorld, told: string, epoch: number) {
    this.watermarks.startEpoch(epoch);
    this.position = positionOf(told);
  },
);

Then(/^it (has|has not) lost its log$/, function (this: IdentityWorld, has: string) {
  assert.equal(hasRegressed(this.watermarks.highest, this.position), has === 'has');
});
