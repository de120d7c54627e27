import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { HostMetrics } from '@gladespool/observability';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, host, killPrimary } from './fakes/action-world.js';
import type { FakeHost } from './fakes/fake-deployment.js';
import { FakeDeployment, GROUP } from './fakes/fake-deployment.js';

const TIMEOUT = { timeout: 30_000 };
/** Time that a write takes at least if it is held for a planned change, milliseconds. */
const HELD_MS = 250;
/** Interval that no scenario reaches, milliseconds. */
const NEVER_MS = 600_000;

interface PartitionWorld extends ActionWorld {
  /** Hosts on the smaller side of the store. */
  apart: readonly FakeHost[];
}

/** Hosts that reach the store. */
function connected({ deployment, apart }: PartitionWorld): readonly FakeHost[] {
  return deployment.hosts.filter((each) => !apart.includes(each));
}

function partition(world: PartitionWorld, indexes: readonly number[]): void {
  world.apart = indexes.map((index) => host(world, index));
  for (const { store } of world.apart) store.cut = true;
  world.deployment.links.partition(world.apart.map(({ address }) => address));
}

function claimedEpoch(world: PartitionWorld): number {
  return host(world, 0).gateway.board.record(GROUP)?.epoch ?? 0;
}

Given(
  '{int} hosts that serve a group, and retire no others',
  TIMEOUT,
  async function (this: PartitionWorld, count: number) {
    this.deployment = new FakeDeployment();
    this.deployment.pingMs = NEVER_MS;
    await this.deployment.start(count);
    this.former = FORMER;
  },
);

async function addHosts({ deployment }: ActionWorld, count: number): Promise<void> {
  for (let added = 0; added < count; added += 1) await deployment.addHost(deployment.hosts.length);
}

When(
  'hosts {int} and {int} are partitioned with the primary, and {int} hosts join the others',
  TIMEOUT,
  async function (this: PartitionWorld, a: number, b: number, joining: number) {
    partition(this, [a, b]);
    await addHosts(this, joining);
    for (const { driver } of connected(this)) driver.unreachable.add(FORMER);
  },
);

/** Waits until the connected hosts have made `count` claims, while the others write. */
async function writeDuringClaims(world: PartitionWorld, count: number): Promise<void> {
  const { deployment, apart } = world;
  const before = claimedEpoch(world);
  while (deployment.group.promotions.length === 0 && claimedEpoch(world) < before + count) {
    for (const each of apart) {
      const outcome = await deployment.run(each, 'WRITE x 1');
      assert.equal(outcome.kind, 'completed', JSON.stringify(outcome));
    }
    await pause(10);
  }
  assert.equal(deployment.group.promotions.length, 0);
}

Then(
  'the others claim the group {int} times, call for no promotion, and hosts 1 and 2 write all the time',
  TIMEOUT,
  async function (this: PartitionWorld, count: number) {
    await writeDuringClaims(this, count);
  },
);

Then(
  'the others retire hosts 1 and 2, claim the group {int} times, and call for no promotion while hosts 1 and 2 write',
  TIMEOUT,
  async function (this: PartitionWorld, count: number) {
    const retired = this.apart.map(({ gateway }) => gateway.board.host);
    const isRetired = (): boolean => {
      const { hosts } = host(this, 0).gateway.board;
      return retired.every((each) => !hosts.has(each));
    };
    while (!isRetired()) await writeDuringClaims(this, 1);
    await writeDuringClaims(this, count);
  },
);

When('the partition ends', function (this: PartitionWorld) {
  for (const { store } of this.apart) store.cut = false;
  for (const { driver } of this.deployment.hosts) driver.unreachable.delete(FORMER);
  this.deployment.links.partition([]);
});

Then('every host writes at one primary', TIMEOUT, async function (this: PartitionWorld) {
  const { deployment } = this;
  const primaries = new Set<string>();
  for (const each of deployment.hosts) {
    let outcome = await deployment.run(each, 'WRITE x 1');
    while (outcome.kind !== 'completed') {
      await pause(10);
      outcome = await deployment.run(each, 'WRITE x 1');
    }
    for (const upstream of outcome.rows) primaries.add(upstream);
  }
  assert.equal(primaries.size, 1);
});

When(
  '{int} hosts join, and all hosts know of it',
  TIMEOUT,
  async function (this: PartitionWorld, joining: number) {
    await addHosts(this, joining);
    const { deployment } = this;
    const { length } = deployment.hosts;
    for (const { metrics } of deployment.hosts) {
      while ((await establishedHosts(metrics)) < length) await pause(10);
    }
  },
);

async function establishedHosts({ establishedHosts }: HostMetrics): Promise<number> {
  const { values } = await establishedHosts.get();
  return values[0]?.value ?? 0;
}

When(
  'hosts {int} and {int} are partitioned without the primary, and the primary dies',
  function (this: PartitionWorld, a: number, b: number) {
    partition(this, [a, b]);
    killPrimary(this);
  },
);

When(
  'hosts {int} and {int} are partitioned without the primary, {int} hosts join the others, and the primary is to leave',
  TIMEOUT,
  async function (this: PartitionWorld, a: number, b: number, joining: number) {
    const { deployment } = this;
    partition(this, [a, b]);
    await addHosts(this, joining);
    const { length } = deployment.hosts;
    const joined = deployment.hosts.slice(length - joining);
    await deployment.until(() =>
      joined.every(({ gateway }) => Number.isFinite(gateway.board.latestProofAt)),
    );
    const entry = host(this, 0).gateway.board.upstreams.get(FORMER);
    deployment.store.put(`upstream/${FORMER}`, { ...entry, draining: true });
  },
);

Then(
  'host 0 writes until it has deferred the change {int} times, and the record stays as it was',
  TIMEOUT,
  async function (this: PartitionWorld, times: number) {
    const { deployment } = this;
    let holds = 0;
    while (holds < times && claimedEpoch(this) === 1) {
      const startedAt = performance.now();
      const outcome = await deployment.run(host(this, 0), 'WRITE x 1');
      assert.equal(outcome.kind, 'completed', JSON.stringify(outcome));
      if (performance.now() - startedAt > HELD_MS) holds += 1;
      await pause(5);
    }
    assert.equal(claimedEpoch(this), 1);
  },
);
