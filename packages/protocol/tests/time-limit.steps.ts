import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { TimeLimit } from '../src/index.js';

interface LimitWorld {
  worker: Worker;
  /** Set by the worker once it has sent the message. */
  sent: Int32Array;
  limit: TimeLimit;
  dueAt: number;
  read: number;
  over: number;
}

/** Answers the first message immediately and sets a flag once the answer is sent. */
const ANSWERING = `
  const { parentPort, workerData } = require('node:worker_threads');
  parentPort.once('message', () => {
    parentPort.postMessage('answer');
    Atomics.store(workerData, 0, 1);
    Atomics.notify(workerData, 0);
  });
`;
/** Longer than any limit plus the time for reading after a pause, milliseconds. */
const AFTERWARDS_MS = 200;

Given('a limit of {int} ms for a message', async function (this: LimitWorld, ms: number) {
  this.sent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  this.worker = new Worker(ANSWERING, { eval: true, workerData: this.sent });
  await new Promise((resolve) => this.worker.once('online', resolve));
  this.read = 0;
  this.over = 0;
  this.dueAt = performance.now() + ms;
  this.limit = new TimeLimit(ms, () => {
    this.over += 1;
  });
  this.worker.once('message', () => {
    this.read += 1;
    this.limit.clear();
  });
});

After(async function (this: Partial<LimitWorld>) {
  await this.worker?.terminate();
});

/** Blocks this thread until `ms` after the limit, from within a timer, so that other due timers run next. */
async function blockBeyond(world: LimitWorld, ms: number, before: () => void): Promise<void> {
  await new Promise<void>((resolve) => {
    setTimeout(() => {
      before();
      while (performance.now() < world.dueAt + ms);
      resolve();
    }, 0);
  });
}

When(
  'the message arrives while the process is paused until {int} ms after the limit',
  async function (this: LimitWorld, ms: number) {
    await blockBeyond(this, ms, () => {
      this.worker.postMessage('question');
      Atomics.wait(this.sent, 0, 0);
    });
  },
);

When(
  'the process is paused until {int} ms after the limit',
  async function (this: LimitWorld, ms: number) {
    await blockBeyond(this, ms, () => undefined);
  },
);

Then('the message is read, and the limit does not expire', async function (this: LimitWorld) {
  await pause(AFTERWARDS_MS);
  assert.deepEqual([this.read, this.over], [1, 0]);
});

Then('the limit expires once', async function (this: LimitWorld) {
  await pause(AFTERWARDS_MS);
  assert.deepEqual([this.read, this.over], [0, 1]);
});
