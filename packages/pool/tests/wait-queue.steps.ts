import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Priority, workspaceId } from '@gladespool/coordination';
import type { WaitEntry } from '../src/index.js';
import { WaitQueue } from '../src/index.js';

interface OrderWorld {
  order: WaitQueue<WaitEntry>;
  now: number;
  chosen: WaitEntry | undefined;
}

const CLASSES: ReadonlyMap<string, Priority> = new Map([
  ['outcome', Priority.Outcome],
  ['interactive', Priority.Interactive],
  ['background', Priority.Background],
]);

Given('waiters {string} at {int} ms', function (this: OrderWorld, waiters: string, now: number) {
  this.order = new WaitQueue();
  this.now = now;
  for (const waiter of waiters.split(',')) {
    const [owner = '', name = '', since = ''] = waiter.split(':');
    const priority = CLASSES.get(name);
    assert.ok(priority !== undefined, name);
    this.order.add({ owner: workspaceId(owner), priority, since: Number(since) });
  }
});

When(
  /^a connection of workspace "(\w+)" is free and (may|may not) be replaced$/,
  function (this: OrderWorld, owner: string, replaced: string) {
    this.chosen = this.order.takeNext(workspaceId(owner), this.now, replaced === 'may');
  },
);

Then('{string} gets it', function (this: OrderWorld, chosen: string) {
  assert.equal(this.chosen?.owner ?? 'none', chosen);
});
