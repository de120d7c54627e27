import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { GroupRecord, PrimaryWatermark, UpstreamId } from '../src/index.js';
import {
  AcknowledgementKind,
  authorityAt,
  azId,
  DEFAULT_DAMPING,
  groupId,
  SessionGuarantee,
  isSuspectedByMajority,
  isSuspect,
  requiredSuspicionMs,
  UpstreamState,
} from '../src/index.js';
import { parseTimedReports } from './notation.js';

interface SuspicionWorld {
  members: readonly UpstreamId[];
  record: GroupRecord;
  since: number;
  marks: readonly PrimaryWatermark[];
  now: number;
  reports: ReturnType<typeof parseTimedReports>;
}

const SUSPECT_AFTER_MS = 1000;

Given(
  'the home has monitored the term since {int} and recorded watermarks {string}',
  function (this: SuspicionWorld, since: number, marks: string) {
    this.since = since;
    this.marks = marks === '' ? [] : marks.split(', ').map(watermarkOf);
  },
);

Given(
  'at time {int} the timed reports are {string}',
  function (this: SuspicionWorld, now: number, reports: string) {
    this.now = now;
    this.reports = parseTimedReports(reports);
  },
);

Then(/^the primary is (suspect|not suspect)$/, function (this: SuspicionWorld, verdict: string) {
  const spec = {
    id: groupId('g'),
    upstreams: this.members.map((id) => ({
      id,
      az: azId('az1'),
      address: '127.0.0.1',
      port: 1,
      state: UpstreamState.Active,
    })),
    connectionsPerUpstream: 12,
    defaultMaxAgeMs: 0,
    acknowledgement: AcknowledgementKind.Majority,
    sessionGuarantee: SessionGuarantee.Monotonic,
  };
  const { record, marks, members } = this;
  const input = {
    spec,
    record,
    marks,
    reports: this.reports.map((timed) => timed.report),
    authority: authorityAt(members, this.reports, record.term),
    watchingSince: this.since,
  };
  const suspect = isSuspect(input, this.now, SUSPECT_AFTER_MS);
  assert.equal(suspect ? 'suspect' : 'not suspect', verdict);
});

Then(
  /^suspicion by "(.*)" of zones "(.*)" is (agreed|not agreed)$/,
  (suspecting: string, zones: string, agreed: string) => {
    const list = zones.split(', ').map(azId);
    const named = suspecting.split(', ');
    const votes = list.map((az) => ({ az, suspects: named.includes(az) }));
    assert.equal(isSuspectedByMajority(list, votes) ? 'agreed' : 'not agreed', agreed);
  },
);

Then(
  'at time {int} suspicion must last {int} ms, and {int} ms after a promotion at {int}',
  (now: number, usual: number, longer: number, promotedAt: number) => {
    assert.equal(requiredSuspicionMs(usual, undefined, now, DEFAULT_DAMPING), usual);
    assert.equal(requiredSuspicionMs(usual, promotedAt, now, DEFAULT_DAMPING), longer);
  },
);

function watermarkOf(text: string): PrimaryWatermark {
  const [offset, at] = text.split('@').map(Number);
  return { sentAt: at ?? 0, position: { term: 1, offset: offset ?? 0 } };
}
