import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { hostId } from '@gladespool/coordination';
import type { UpstreamEntry } from '../src/index.js';
import { PROMOTION_LEASE_KEY } from '../src/control/store/store-documents.js';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, host, PRIMARY_KEY, writeTimes, writeUntilChanged } from './fakes/action-world.js';
import { FakeDeployment } from './fakes/fake-deployment.js';

/** Time before the first promotion in which writes may be held for it, milliseconds. */
const HELD_MS = 1000;

Given(
  '{int} hosts that serve a group, with statements that wait for {int} ms at most',
  { timeout: 20_000 },
  async function (this: ActionWorld, count: number, timeoutMs: number) {
    this.deployment = new FakeDeployment();
    this.deployment.timeoutMs = timeoutMs;
    await this.deployment.start(count);
    this.former = FORMER;
  },
);

Given('a host that is gone has just taken the promotion lease', function (this: ActionWorld) {
  const lease = { holder: hostId('gone'), incarnation: 1, fence: 1, renewal: 1 };
  this.deployment.store.put(PROMOTION_LEASE_KEY, lease);
});

When('the entry of the primary goes and does not come back', function (this: ActionWorld) {
  this.deployment.store.remove(PRIMARY_KEY);
});

When(
  'the primary reports that it is draining, and hosts write all the time',
  function (this: ActionWorld) {
    const { store } = this.deployment;
    const entry = JSON.parse(store.items.get(PRIMARY_KEY)?.value ?? '') as UpstreamEntry;
    store.put(PRIMARY_KEY, { ...entry, draining: true });
    this.writing = this.deployment.hosts.map((each) => writeUntilChanged(this, each));
  },
);

When('the replicas receive commits {int} ms late', function (this: ActionWorld, lagMs: number) {
  for (const upstream of this.deployment.group.upstreams.values()) upstream.lagMs = lagMs;
});

When(
  'the replicas receive nothing while {int} writes are made, and the entry of the primary goes',
  async function (this: ActionWorld, writes: number) {
    const { group, store } = this.deployment;
    for (const upstream of group.upstreams.values()) upstream.deaf = !upstream.isPrimary;
    for (let count = 0; count < writes; count += 1) {
      await this.deployment.run(host(this, 0), 'WRITE x 1');
    }
    store.remove(PRIMARY_KEY);
  },
);

When(
  'the replicas receive nothing while {int} writes are made, and the primary reports that it is draining',
  async function (this: ActionWorld, writes: number) {
    const { group, store, hosts } = this.deployment;
    for (const upstream of group.upstreams.values()) upstream.deaf = !upstream.isPrimary;
    for (let count = 0; count < writes; count += 1) {
      await this.deployment.run(host(this, count % hosts.length), 'WRITE x 1');
    }
    const entry = JSON.parse(store.items.get(PRIMARY_KEY)?.value ?? '') as UpstreamEntry;
    store.put(PRIMARY_KEY, { ...entry, draining: true });
    await this.deployment.until(() =>
      hosts.every(({ gateway }) => gateway.board.upstreams.get(FORMER)?.draining === true),
    );
  },
);

Then('every host reads', async function (this: ActionWorld) {
  await pause(this.deployment.maxStalenessMs);
  for (const each of this.deployment.hosts) {
    await this.deployment.run(each, 'WRITE x 1');
    const outcome = await this.deployment.run(each, 'READ x');
    assert.equal(outcome.kind, 'completed', JSON.stringify(outcome));
  }
});

When('the replicas receive everything again', async function (this: ActionWorld) {
  for (const upstream of this.deployment.group.upstreams.values()) upstream.deaf = false;
  await this.deployment.run(host(this, 0), 'WRITE x 1');
});

Then(
  'no promotion is called for within {int} ms, and every host still writes',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number) {
    await pause(ms);
    assert.equal(this.deployment.group.promotions.length, 0);
    for (const each of this.deployment.hosts) {
      const outcome = await this.deployment.run(each, 'WRITE x 1');
      assert.equal(outcome.kind, 'completed', JSON.stringify(outcome));
    }
  },
);

When(
  'the entry of the primary goes, the store is away for {int} ms and the entry is back at once',
  { timeout: 20_000 },
  async function (this: ActionWorld, ms: number) {
    const { store, hosts } = this.deployment;
    const entry: unknown = JSON.parse(store.items.get(PRIMARY_KEY)?.value ?? '');
    store.remove(PRIMARY_KEY);
    await pause(100);
    store.away = true;
    await pause(ms);
    store.put(PRIMARY_KEY, entry);
    store.away = false;
    await this.deployment.until(() =>
      hosts.every(({ gateway }) => gateway.board.upstreams.get(FORMER)?.draining === false),
    );
  },
);

Then(
  'no write failed, and none ran at the former primary after the change',
  async function (this: ActionWorld) {
    const outcomes = (await Promise.all(this.writing)).flat();
    const failed = outcomes.filter(({ kind }) => kind !== 'completed');
    assert.deepEqual(failed, []);
    const changedAt = this.deployment.group.promotions[0]?.at ?? 0;
    const late = this.deployment.group.ran.filter(
      ({ upstream, at }) => upstream === FORMER && at > changedAt,
    );
    assert.deepEqual(late, []);
  },
);

Then('the new primary holds every acknowledged commit', async function (this: ActionWorld) {
  const outcomes = (await Promise.all(this.writing)).flat();
  const acknowledged = outcomes.filter(({ kind }) => kind === 'completed').length;
  const primary = this.deployment.primary();
  const upstream = primary && this.deployment.group.upstreams.get(primary);
  assert.ok(upstream);
  assert.ok(upstream.offset >= acknowledged, `${upstream.offset} of ${acknowledged}`);
});

Then(
  'no write failed before the promotion lease was about to be free',
  async function (this: ActionWorld) {
    const writes = (await Promise.all(this.writing)).flat();
    const heldFrom = (this.deployment.group.promotions[0]?.at ?? 0) - HELD_MS;
    const failed = writes.filter(({ kind, endedAt }) => kind !== 'completed' && endedAt < heldFrom);
    assert.deepEqual(failed, []);
  },
);

When(
  'the store refuses changes until each host has attempted {int} writes at a draining primary',
  { timeout: 20_000 },
  async function (this: ActionWorld, count: number) {
    const { store, hosts } = this.deployment;
    const entry = JSON.parse(store.items.get(PRIMARY_KEY)?.value ?? '') as UpstreamEntry;
    store.put(PRIMARY_KEY, { ...entry, draining: true });
    store.readOnly = true;
    this.writing = hosts.map((each) => writeTimes(this, each, count));
    await Promise.all(this.writing);
    store.readOnly = false;
  },
);

Then('most of these writes succeeded', async function (this: ActionWorld) {
  const writes = (await Promise.all(this.writing)).flat();
  const succeeded = writes.filter(({ kind }) => kind === 'completed').length;
  assert.ok(succeeded * 2 > writes.length, `${succeeded} of ${writes.length}`);
});

When('the primary ends, and a new {word} has its log', function (this: ActionWorld, role: string) {
  const { group, store } = this.deployment;
  const former = group.upstreams.get(FORMER);
  assert.ok(former);
  former.dead = true;
  store.remove(PRIMARY_KEY);
  const heir = this.deployment.addUpstream(group.upstreams.size, role === 'primary');
  heir.offset = former.offset;
});

Then('the primary is {word}', function (this: ActionWorld, id: string) {
  assert.equal(this.deployment.primary(), id);
});
