import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AcknowledgementRule, GroupRecord, UpstreamId } from '../src/index.js';
import { MajorityRule, PrimaryCommitRule, upstreamId } from '../src/index.js';
import { parseLineage, parseReports, recordWith } from './notation.js';

interface AckWorld {
  members: readonly UpstreamId[];
  record: GroupRecord;
  rule: AcknowledgementRule;
  decision: string;
}

Given(
  'a group of upstreams {string} whose lineage is {string}',
  function (this: AckWorld, members: string, lineage: string) {
    this.members = members.split(', ').map(upstreamId);
    this.record = recordWith(parseLineage(lineage));
    this.rule = new MajorityRule();
  },
);

Given('the lineage is now {string}', function (this: AckWorld, lineage: string) {
  this.record = recordWith(parseLineage(lineage));
});

Given('writes are confirmed by the primary alone', function (this: AckWorld) {
  this.rule = new PrimaryCommitRule();
});

When(
  'a commit is at term {int} offset {int} and the reports are {string}',
  function (this: AckWorld, term: number, offset: number, reports: string) {
    const { members, record } = this;
    const position = { term, offset };
    this.decision = this.rule.decide({ position, record, members, reports: parseReports(reports) });
  },
);

Then('the verdict is {string}', function (this: AckWorld, verdict: string) {
  assert.equal(this.decision, verdict);
});
