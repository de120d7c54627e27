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

/** When the zone was surely in use, by the words of a table. */
function timeOf(words: string): number | undefined {
  if (words === 'never') return undefined;
  return words === 'unknown' ? Number.NEGATIVE_INFINITY : Number(words);
}

Given(
  /^a zone that was surely in use at (\w+) and has to be left within (\d+) ms$/,
  function (this: EvacuationWorld, inUseAt: string, evacuationMs: string) {
    this.inUseAt = timeOf(inUseAt);
    this.evacuationMs = Number(evacuationMs);
  },
);

When('an upstream of it is asked at {int} ms', function (this: EvacuationWorld, now: number) {
  this.stage = evacuationStage(this.inUseAt, now, this.evacuationMs);
});

Then(
  /^new work is (\w+) at a primary that another can follow, (\w+) elsewhere, and open transactions (go on|end)$/,
  function (this: EvacuationWorld, atPrimary: string, elsewhere: string, open: string) {
    const isTaken = (words: string): boolean => words === 'taken';
    assert.equal(acceptsNewWork(this.stage, true), isTaken(atPrimary));
    assert.equal(acceptsNewWork(this.stage, false), isTaken(elsewhere));
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
  'the primary {string} of {int} replicas is to be followed, and {int} of them confirm commits',
  function (this: EvacuationWorld, former: string, replicas: number, sync: number) {
    const chosen = chooseCoveringSuccessor(this.reports, upstreamId(former), replicas, sync);
    this.successor = chosen?.id ?? 'none';
  },
);

Then('{string} follows', function (this: EvacuationWorld, successor: string) {
  assert.equal(this.successor, successor);
});
