import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Priority, workspaceId } from '@gladespool/coordination';
import type { WaitEntry } from '../src/index.js';
import { WaitQueue } from '../src/index.js';

interface QueueWorld {
  queue: WaitQueue<WaitEntry>;
  now: number;
  chosen: WaitEntry | undefined;
}

const CLASSES: ReadonlyMap<string, Priority> = new Map([
  ['outcome', Priority.Outcome],
  ['interactive', Priority.Interactive],
  ['background', Priority.Background],
]);

Given('waiters {string} at {int} ms', function (this: QueueWorld, waiters: string, now: number) {
  this.queue = new WaitQueue();
  this.now = now;
  for (const waiter of waiters.split(',')) {
    const [owner = '', name = '', since = ''] = waiter.split(':');
    const priority = CLASSES.get(name);
    assert.ok(priority !== undefined, name);
    this.queue.add({ owner: workspaceId(owner), priority, since: Number(since) });
  }
});

When(
  /^a connection of workspace "(\w+)" is free and (may|may not) be replaced$/,
  function (this: QueueWorld, owner: string, replaced: string) {
    this.chosen = this.queue.takeNext(workspaceId(owner), this.now, replaced === 'may');
  },
);

Then('{string} gets it', function (this: QueueWorld, chosen: string) {
  assert.equal(this.chosen?.owner ?? 'none', chosen);
});
