import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { PrimaryRecord } from '@gladespool/coordination';
import { recordRank } from '@gladespool/coordination';
import { PROMOTION_LEASE_KEY, hostKey, primaryKey } from '../src/control/store/store-documents.js';
import type { StoreEvent } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, host, killPrimary } from './fakes/action-world.js';
import { FakeDeployment, GROUP } from './fakes/fake-deployment.js';
import type { FakeStore } from './fakes/fake-store.js';

const TIMEOUT = { timeout: 20_000 };
/** Time for which hosts serve undisturbed before the store is restored, milliseconds. */
const SETTLED_MS = 500;
/** Time for which a formerly isolated host is observed, milliseconds: two and a half lifetimes of a proof. */
const OBSERVED_MS = 2500;

When(
  '{int} changes are made, and the store is restored from a copy without the last {int} changes',
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
  async function (this: ActionWorld, maxReads: number, ms: number) {
    const { hosts } = this.deployment;
    for (const { store } of hosts) store.reads = 0;
    await pause(ms);
    const reads = hosts.reduce((sum, { store }) => sum + store.reads, 0);
    assert.ok(reads <= maxReads, `${reads} reads`);
  },
);

When(
  'the store is restored from a copy without the last {int} changes {int} ms later',
  TIMEOUT,
  async function (this: ActionWorld, lost: number, ms: number) {
    await pause(ms);
    this.deployment.store.restore(lost);
  },
);

/** Number of changes of the store from the one that follows the first `versions` changes of `key`, inclusive. */
function changesSince({ events, revision }: FakeStore, key: string, versions: number): number {
  const ofKey = events.filter(({ event }) => keyOf(event) === key);
  const first = ofKey[versions];
  assert.ok(first, `${key} has ${ofKey.length} versions`);
  return revision - first.revision + 1;
}

function keyOf(event: StoreEvent): string {
  return event.kind === 'written' ? event.item.key : event.key;
}

When(
  'the store is restored from a copy without anything of that change',
  function (this: ActionWorld) {
    const { store } = this.deployment;
    this.lost = recordOf(store);
    store.restore(changesSince(store, primaryKey(GROUP), 1));
    assert.ok(recordRank(recordOf(store)) < recordRank(this.lost));
  },
);

When("the store is restored from a copy without the hosts' entries", function (this: ActionWorld) {
  const { store } = this.deployment;
  store.restore(changesSince(store, hostKey('h0'), 0));
  assert.ok(![...store.items.keys()].some((key) => key.startsWith(hostKey(''))));
});

function recordOf(store: FakeStore): PrimaryRecord {
  const text = store.items.get(primaryKey(GROUP))?.value;
  assert.ok(text);
  return JSON.parse(text) as PrimaryRecord;
}

Then(
  'within {int} ms the store has the record and the fence of that change again',
  TIMEOUT,
  async function (this: ActionWorld, ms: number) {
    await pause(ms);
    const { store, group } = this.deployment;
    assert.ok(recordRank(recordOf(store)) >= recordRank(this.lost));
    const used = group.promotions.map(({ req }) => req.fence);
    const duty = JSON.parse(store.items.get(PROMOTION_LEASE_KEY)?.value ?? '{}') as {
      readonly fence: number;
    };
    assert.ok(duty.fence >= Math.max(...used), `fence ${duty.fence}, used ${used.join(' ')}`);
  },
);

async function waitUntilSettled({ deployment }: ActionWorld): Promise<void> {
  await deployment.until(() => deployment.hosts.every(({ gateway }) => gateway.isStoreSettled));
}

Then("every host's view of the store is complete", TIMEOUT, async function (this: ActionWorld) {
  await waitUntilSettled(this);
});

Then(
  "within {int} ms every host's view of the store is complete",
  TIMEOUT,
  async function (this: ActionWorld, ms: number) {
    const begin = performance.now();
    await waitUntilSettled(this);
    assert.ok(performance.now() - begin < ms);
  },
);

Then('the last upstream serves', TIMEOUT, async function (this: ActionWorld) {
  const { deployment } = this;
  await deployment.until(() => deployment.group.promotions.length > 1);
  const chosen = deployment.group.promotions.at(-1)?.req.upstream;
  await deployment.until(() => deployment.primary() === chosen);
});

Then('no fence was used twice or after a higher one', function (this: ActionWorld) {
  const fences = this.deployment.group.promotions.map(({ req }) => `${req.fence} ${req.holder}`);
  const ordered = [...new Set(fences)].map((fence) => Number(fence.split(' ')[0]));
  const rising = ordered.every((fence, index) => index === 0 || fence > (ordered[index - 1] ?? 0));
  assert.ok(rising, fences.join(', '));
});

When(
  'host {int} is isolated, and the primary dies',
  async function (this: ActionWorld, index: number) {
    const alone = host(this, index);
    alone.store.cut = true;
    await alone.gateway.closePeers();
    killPrimary(this);
    this.other = alone;
  },
);

Then(
  'host {int} has never used the former primary since',
  TIMEOUT,
  async function (this: ActionWorld, index: number) {
    const { deployment } = this;
    const former = deployment.group.upstreams.get(FORMER);
    assert.ok(former);
    former.dead = false;
    const ranBefore = deployment.group.ran.filter(({ upstream }) => upstream === FORMER).length;
    host(this, index).store.cut = false;
    const until = performance.now() + OBSERVED_MS;
    while (performance.now() < until) await deployment.run(host(this, index), 'WRITE x 1');
    const ran = deployment.group.ran.filter(({ upstream }) => upstream === FORMER).length;
    assert.equal(ran, ranBefore);
  },
);

Then(
  'within {int} ms the store lists all hosts again',
  TIMEOUT,
  async function (this: ActionWorld, ms: number) {
    await pause(ms);
    const { store, hosts } = this.deployment;
    for (const { gateway } of hosts) assert.ok(store.items.has(hostKey(gateway.board.host)));
  },
);

When(
  'a host joins that needs {int} ms to read the whole store',
  TIMEOUT,
  async function (this: ActionWorld, ms: number) {
    await this.deployment.addHost(this.deployment.hosts.length, ms);
  },
);

Then(
  'that host never has configuration {int} in force, and {int} within {int} ms',
  TIMEOUT,
  async function (this: ActionWorld, former: number, version: number, ms: number) {
    const { board } = host(this, this.deployment.hosts.length - 1).gateway;
    const until = performance.now() + ms;
    while (board.catalog?.version !== version && performance.now() < until) {
      assert.notEqual(board.catalog?.version, former);
      await pause(1);
    }
    assert.equal(board.catalog?.version, version);
  },
);

Then(
  'every host writes for {int} ms without a refusal',
  TIMEOUT,
  async function (this: ActionWorld, ms: number) {
    const until = performance.now() + ms;
    while (performance.now() < until) {
      for (const each of this.deployment.hosts) {
        const outcome = await this.deployment.run(each, 'WRITE x 1');
        assert.equal(outcome.kind, 'completed', JSON.stringify(outcome));
      }
      await pause(10);
    }
  },
);

Given(
  'a store that was restored from a copy {int} times',
  function (this: ActionWorld, era: number) {
    this.deployment = new FakeDeployment();
    this.deployment.store.era = era;
  },
);

Given(
  '{int} hosts that serve a group there',
  TIMEOUT,
  async function (this: ActionWorld, count: number) {
    await this.deployment.start(count);
    this.former = FORMER;
  },
);
