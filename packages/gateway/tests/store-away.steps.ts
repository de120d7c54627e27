import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import { RelayOrder } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { host } from './fakes/action-world.js';
import type { FakeHost } from './fakes/fake-deployment.js';
import { GROUP } from './fakes/fake-deployment.js';

When(
  'the store is away for {int} ms',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number) {
    this.deployment.store.away = true;
    await pause(ms);
  },
);

When(
  'the store is away and host {int} can no longer reach others',
  async function (this: ActionWorld, index: number) {
    this.deployment.store.away = true;
    await host(this, index).gateway.closePeers();
  },
);

Then(
  'host {int} refuses writes as {string} within {int} ms',
  { timeout: 20_000 },
  async function (this: ActionWorld, index: number, reason: string, ms: number) {
    await pause(ms);
    const outcome = await this.deployment.run(host(this, index), 'WRITE x 1');
    assert.ok(outcome.kind === 'refused');
    assert.equal(outcome.refusal.reason, reason);
  },
);

Then('the other hosts still write', async function (this: ActionWorld) {
  for (const index of [0, 1]) {
    const outcome = await this.deployment.run(host(this, index), 'WRITE x 1');
    assert.equal(outcome.kind, 'completed', JSON.stringify(outcome));
  }
});

When(
  'the store turns hosts {int} and {int} away for {int} ms and then holds configuration {int}',
  { timeout: 20_000 },
  async function (this: ActionWorld, one: number, other: number, ms: number, version: number) {
    host(this, one).store.cut = true;
    host(this, other).store.cut = true;
    await pause(ms);
    this.deployment.store.put('catalog', { version });
  },
);

Then(
  'host {int} has configuration {int} within {int} ms',
  { timeout: 20_000 },
  async function (this: ActionWorld, index: number, version: number, ms: number) {
    const { board } = host(this, index).gateway;
    const until = performance.now() + ms;
    while (board.catalog?.version !== version && performance.now() < until) await pause(10);
    assert.equal(board.catalog?.version, version);
  },
);

When(
  'a host joins that needs {int} ms to read the whole store, and reaches no other host',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number) {
    const index = this.deployment.hosts.length;
    await this.deployment.addHost(index, ms);
    await host(this, index).gateway.closePeers();
  },
);

Then(
  'no primary is claimed within {int} ms',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number) {
    await pause(ms);
    assert.equal(host(this, 0).gateway.board.record(GROUP)?.epoch, 1);
  },
);

Then(
  'that host has configuration {int} within {int} ms',
  { timeout: 20_000 },
  async function (this: ActionWorld, version: number, ms: number) {
    const joined = host(this, this.deployment.hosts.length - 1);
    const until = performance.now() + ms;
    const { board } = joined.gateway;
    while (board.catalog === undefined && performance.now() < until) await pause(10);
    assert.equal(board.catalog?.version, version);
  },
);

Then(
  'eventually there are {int} ms in which {int} hosts read the store more than {int} times and the others not at all',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number, count: number, times: number) {
    const { hosts } = this.deployment;
    for (let isMet = false; !isMet;) {
      for (const { store } of hosts) store.reads = 0;
      await pause(ms);
      const reads = hosts.map(({ store }) => store.reads);
      const reading = reads.filter((read) => read > times).length;
      const idle = reads.filter((read) => read === 0).length;
      isMet = reading === count && idle === hosts.length - count;
    }
  },
);

When(
  "the relay of host {int}'s zone can no longer be reached by others and does not reach the store",
  async function (this: ActionWorld, index: number) {
    const { board } = host(this, index).gateway;
    const [relay] = new RelayOrder(board).hosts;
    const gone = this.deployment.hosts.find(({ gateway }) => gateway.board.host === relay?.host);
    const other = this.deployment.hosts.find(
      ({ gateway }) => gateway.board.az === board.az && gateway.board.host !== relay?.host,
    );
    assert.ok(gone && other);
    this.other = other;
    gone.store.cut = true;
    await gone.gateway.closePeers();
  },
);

Then(
  'eventually the other host of that zone writes for {int} ms without a refusal',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number) {
    let since = performance.now();
    while (performance.now() - since < ms) {
      const outcome = await this.deployment.run(this.other, 'WRITE x 1');
      if (outcome.kind !== 'completed') since = performance.now();
      await pause(20);
    }
  },
);

/** The host that reads the store and relays its changes to all others. */
async function readerOf(world: ActionWorld): Promise<FakeHost> {
  const { hosts } = world.deployment;
  const reader = (): FakeHost | undefined =>
    hosts.find(({ gateway }) => new RelayOrder(gateway.board).parent === undefined);
  await world.deployment.until(() => reader() !== undefined);
  const found = reader();
  assert.ok(found);
  return found;
}

When('the host that reads the store no longer reaches it', async function (this: ActionWorld) {
  this.other = await readerOf(this);
  this.other.store.cut = true;
});

When(
  'the host that reads the store no longer reaches it, nor answers others',
  async function (this: ActionWorld) {
    this.other = await readerOf(this);
    this.other.store.cut = true;
    await this.other.gateway.closePeers();
  },
);

/** Writes on every host except the one without the store, until `ms` have passed or a write is refused. */
async function canWriteFor(world: ActionWorld, ms: number): Promise<boolean> {
  const others = world.deployment.hosts.filter((each) => each !== world.other);
  const until = performance.now() + ms;
  while (performance.now() < until) {
    const outcomes = await Promise.all(
      others.map((each) => world.deployment.run(each, 'WRITE x 1')),
    );
    if (outcomes.some(({ kind }) => kind !== 'completed')) return false;
    await pause(20);
  }
  return true;
}

Then(
  'every other host writes for {int} ms without a refusal',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number) {
    assert.equal(await canWriteFor(this, ms), true);
  },
);

Then(
  'every other host comes to write for {int} ms without a refusal',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number) {
    for (let isMet = false; !isMet;) isMet = await canWriteFor(this, ms);
  },
);
