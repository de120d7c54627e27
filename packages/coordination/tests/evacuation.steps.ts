import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { SuccessorReport } from '../src/index.js';
import {
  chooseCoveringSuccessor,
  EvacuationStage,
  evacuationStage,
  acceptsNewWork,
  upstreamId,
} from '../src/index.js';

interface EvacuationWorld {
  inUseAt: number | undefined;
  evacuationMs: number;
  stage: EvacuationStage;
  reports: readonly SuccessorReport[];
  successor: string;
}

/** Time at which the zone was last known to be in use, from a table cell. */
function timeOf(text: string): number | undefined {
  if (text === 'never') return undefined;
  return text === 'unknown' ? Number.NEGATIVE_INFINITY : Number(text);
}

Given(
  /^a zone that was last known to be in use at (\w+) and has to be evacuated within (\d+) ms$/,
  function (this: EvacuationWorld, inUseAt: string, evacuationMs: string) {
    this.inUseAt = timeOf(inUseAt);
    this.evacuationMs = Number(evacuationMs);
  },
);

When('an upstream of it is considered at {int} ms', function (this: EvacuationWorld, now: number) {
  this.stage = evacuationStage(this.inUseAt, now, this.evacuationMs);
});

Then(
  /^new work is (\w+) at a primary that can be replaced, (\w+) elsewhere, and open transactions (go on|end)$/,
  function (this: EvacuationWorld, atPrimary: string, elsewhere: string, open: string) {
    const isAccepted = (text: string): boolean => text === 'taken';
    assert.equal(acceptsNewWork(this.stage, true), isAccepted(atPrimary));
    assert.equal(acceptsNewWork(this.stage, false), isAccepted(elsewhere));
    assert.equal(this.stage !== EvacuationStage.Evacuated, open === 'go on');
  },
);

Given('reports {string} of upstreams', function (this: EvacuationWorld, reports: string) {
  this.reports = reports.split(',').map((report) => {
    const [id = '', offset, state] = report.split(':');
    return {
      id: upstreamId(id),
      isPrimary: false,
      term: 1,
      received: { term: 1, offset: Number(offset) },
      draining: false,
      isInFormerRegion: true,
      evacuated: state === 'evacuated',
    };
  });
});

When(
  'the primary {string} with {int} replicas is to be replaced, and {int} of them confirm commits',
  function (this: EvacuationWorld, former: string, replicas: number, sync: number) {
    const chosen = chooseCoveringSuccessor(this.reports, upstreamId(former), replicas, sync);
    this.successor = chosen?.id ?? 'none';
  },
);

Then('the promoted upstream is {string}', function (this: EvacuationWorld, successor: string) {
  assert.equal(this.successor, successor);
});
