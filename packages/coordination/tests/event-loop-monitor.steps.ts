import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { EventLoopMonitor } from '../src/index.js';

interface MonitorWorld {
  monitor: EventLoopMonitor;
  accepted: number[];
}

const INTERVAL_MS = 100;

function timesOf(text: string): number[] {
  return text.split(',').map(Number);
}

When(/^ticks come at ([\d,]+) ms$/, function (this: MonitorWorld, ticks: string) {
  this.monitor = new EventLoopMonitor(INTERVAL_MS, 0);
  this.accepted = timesOf(ticks).filter((at) => this.monitor.recordTick(at));
});

Then(
  /^others may be treated as late at ([\d,]+) ms$/,
  function (this: MonitorWorld, judged: string) {
    assert.deepEqual(this.accepted, timesOf(judged));
  },
);

Then(
  '{int} ms since {int} ms were pauses',
  function (this: MonitorWorld, pausedMs: number, at: number) {
    assert.equal(this.monitor.pausedMsSince(at), pausedMs);
  },
);
