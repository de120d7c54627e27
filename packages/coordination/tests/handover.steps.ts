import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { GroupPhase, isHandoverDue } from '../src/index.js';

interface HandoverWorld {
  phase: GroupPhase;
  recordSince: number;
  starts: boolean;
}

const NOW = 100_000;
const RULES = { stalledAfterMs: 2000, handoverWaitMs: 5000, rankDelayMs: 150 };

Given(
  'the record is {string} and known for {int} ms',
  function (this: HandoverWorld, phase: string, knownMs: number) {
    const named = Object.values(GroupPhase).find((candidate) => phase === candidate.valueOf());
    assert.ok(named !== undefined);
    this.phase = named;
    this.recordSince = NOW - knownMs;
  },
);

When(
  'the home of rank {int} has known for {int} ms that the primary leaves',
  function (this: HandoverWorld, rank: number, leavingMs: number) {
    const { phase, recordSince } = this;
    const view = { rank, phase, recordSince, leavingSince: NOW - leavingMs };
    this.starts = isHandoverDue(view, RULES, NOW);
  },
);

Then('it starts the handover: {string}', function (this: HandoverWorld, starts: string) {
  assert.equal(this.starts ? 'yes' : 'no', starts);
});
