import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { EventLoopMonitor } from '../src/index.js';

interface LoopDelayWorld {
  loop: EventLoopMonitor;
  judged: number[];
}

const INTERVAL_MS = 100;

function timesOf(text: string): number[] {
  return text.split(',').map(Number);
}

When(/^ticks come at ([\d,]+) ms$/, function (this: LoopDelayWorld, ticks: string) {
  this.loop = new EventLoopMonitor(INTERVAL_MS, 0);
  this.judged = timesOf(ticks).filter((at) => this.loop.recordTick(at));
});

Then(/^others are judged in ([\d,]+)$/, function (this: LoopDelayWorld, judged: string) {
  assert.deepEqual(this.judged, timesOf(judged));
});

Then(
  '{int} ms since {int} ms were pauses',
  function (this: LoopDelayWorld, pausedMs: number, at: number) {
    assert.equal(this.loop.pausedMsSince(at), pausedMs);
  },
);
