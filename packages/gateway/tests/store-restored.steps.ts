import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import type { ActionWorld } from './fakes/action-world.js';

const TIMEOUT = { timeout: 20_000 };
/** Time for which hosts go on with what they hold before the store is lost, milliseconds. */
const SETTLED_MS = 500;

When(
  '{int} changes are made, and the store comes back from a copy without the last {int} changes',
  TIMEOUT,
  async function (this: ActionWorld, made: number, lost: number) {
    const { store } = this.deployment;
    for (let change = 0; change < made; change += 1) store.put('other/key', change);
    await pause(SETTLED_MS);
    store.restore(lost);
  },
);

When('configuration {int} is confirmed', function (this: ActionWorld, version: number) {
  this.deployment.store.put('catalog', { version });
});

Then(
  'every host has configuration {int} within {int} ms',
  TIMEOUT,
  async function (this: ActionWorld, version: number, ms: number) {
    await pause(ms);
    const versions = this.deployment.hosts.map(({ gateway }) => gateway.board.catalog?.version);
    assert.deepEqual(
      versions,
      versions.map(() => version),
    );
  },
);

Then(
  'the hosts read the store at most {int} times in {int} ms',
  TIMEOUT,
  async function (this: ActionWorld, most: number, ms: number) {
    const { hosts } = this.deployment;
    for (const { store } of hosts) store.reads = 0;
    await pause(ms);
    const reads = hosts.reduce((sum, { store }) => sum + store.reads, 0);
    assert.ok(reads <= most, `${reads} reads`);
  },
);
