import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { RecordPhase, upstreamId } from '@gladespool/coordination';
import { RestartEvidence } from '@gladespool/observability';
import type { UpstreamEntry } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, host, PRIMARY_KEY } from './fakes/action-world.js';
import { BIRTH, FakeDeployment, GROUP } from './fakes/fake-deployment.js';
import type { FakeUpstream } from './fakes/fake-group.js';

interface RestartWorld extends ActionWorld {
  /** Number of statements that had run when the upstream restarted. */
  ranBefore: number;
  /** Texts of the writes that were confirmed after the restart. */
  confirmed: string[];
}

const TIMEOUT = { timeout: 20_000 };
const REPLICA = upstreamId('u1');
const REPLICA_KEY = `upstream/${REPLICA}`;
const LATER = BIRTH + 60_000;
const EARLIER = BIRTH - 60_000;
/** Number of writes that every host makes at the start, so that it knows how far the primary's log reaches. */
const WRITES = 5;
const WRITE_PAUSE_MS = 5;
const GONE_MS = 100;

/** Consecutive changes of the entry of an upstream; undefined where it is removed from the store. */
const ENTRY_CHANGES: Readonly<Record<string, readonly (Partial<UpstreamEntry> | undefined)[]>> = {
  'a later birth': [{ born: LATER }],
  'an earlier birth': [{ born: EARLIER }],
  'no birth': [{}],
  'no birth at first, then a later one': [{}, { born: LATER }],
  'a later birth once it was gone from the store': [undefined, { born: LATER }],
  'nothing of it': [],
};

async function start(
  world: RestartWorld,
  hosts: number,
  change: Partial<FakeDeployment>,
): Promise<void> {
  world.deployment = Object.assign(new FakeDeployment(), change);
  await world.deployment.start(hosts);
  world.former = FORMER;
  for (let count = 0; count < WRITES; count += 1) await writeEverywhere(world);
}

async function writeEverywhere(world: RestartWorld): Promise<void> {
  const outcomes = world.deployment.hosts.map((each) => world.deployment.run(each, 'WRITE x 1'));
  for (const outcome of await Promise.all(outcomes)) assert.equal(outcome.kind, 'completed');
}

async function changeEntry(world: RestartWorld, key: string, birth: string): Promise<void> {
  const { store } = world.deployment;
  const steps = ENTRY_CHANGES[birth];
  assert.ok(steps, birth);
  const entry = JSON.parse(store.items.get(key)?.value ?? '') as UpstreamEntry;
  for (const change of steps) {
    if (change === undefined) store.remove(key);
    else store.put(key, { ...entry, born: undefined, ...change });
    if (change !== steps.at(-1)) await pause(GONE_MS);
  }
}

function upstream(world: RestartWorld, id = FORMER): FakeUpstream {
  const found = world.deployment.group.upstreams.get(id);
  assert.ok(found);
  return found;
}

/** Writes at every host until the primary has changed. */
async function writeUntilChanged(world: RestartWorld): Promise<void> {
  const { deployment } = world;
  const until = performance.now() + TIMEOUT.timeout / 2;
  let count = 0;
  while (deployment.primary() === FORMER && performance.now() < until) {
    const writes = deployment.hosts.map(async (each) => {
      const text = `WRITE x ${(count += 1)}`;
      const outcome = await deployment.run(each, text);
      if (outcome.kind === 'completed') world.confirmed.push(text);
    });
    await Promise.all(writes);
    await pause(WRITE_PAUSE_MS);
  }
}

Given(
  '{int} hosts that serve a group whose upstreams tell their births',
  TIMEOUT,
  function (this: RestartWorld, hosts: number) {
    return start(this, hosts, { tellsBirths: true });
  },
);

Given(
  '{int} hosts that serve a group whose upstreams tell no births',
  TIMEOUT,
  function (this: RestartWorld, hosts: number) {
    return start(this, hosts, {});
  },
);

Given(
  '{int} hosts that serve a group whose upstreams tell their births, with reads up to {int} ms old',
  TIMEOUT,
  function (this: RestartWorld, hosts: number, maxStalenessMs: number) {
    return start(this, hosts, { tellsBirths: true, maxStalenessMs });
  },
);

Given(
  '{int} hosts that serve a group of 1 upstream that tells its birth',
  TIMEOUT,
  function (this: RestartWorld, hosts: number) {
    return start(this, hosts, { tellsBirths: true, upstreams: 1 });
  },
);

async function restartPrimary(
  world: RestartWorld,
  closesConnections: boolean,
  birth: string,
): Promise<void> {
  const { deployment } = world;
  world.confirmed = [];
  world.ranBefore = deployment.group.ran.length;
  upstream(world).startAnew(closesConnections);
  const writing = deployment.upstreams > 1 ? writeUntilChanged(world) : Promise.resolve();
  await changeEntry(world, PRIMARY_KEY, birth);
  await writing;
}

When(
  /^the primary restarts, and its entry reports (.*)$/,
  TIMEOUT,
  function (this: RestartWorld, birth: string) {
    return restartPrimary(this, true, birth);
  },
);

When(
  /^the primary restarts, its connections (end|stay open), and its entry reports nothing of it$/,
  TIMEOUT,
  function (this: RestartWorld, connections: string) {
    return restartPrimary(this, connections === 'end', 'nothing of it');
  },
);

Given(
  '{int} hosts that serve a group whose upstreams tell their births, and that have written nothing',
  TIMEOUT,
  async function (this: RestartWorld, hosts: number) {
    this.deployment = Object.assign(new FakeDeployment(), { tellsBirths: true });
    await this.deployment.start(hosts);
    this.former = FORMER;
  },
);

When(
  'the primary restarts, every host has read its entry, and the store takes no change',
  async function (this: RestartWorld) {
    const { deployment } = this;
    deployment.store.readOnly = true;
    upstream(this).startAnew();
    await changeEntry(this, PRIMARY_KEY, 'a later birth');
    await deployment.until(() =>
      deployment.hosts.every(({ gateway }) => gateway.board.upstreams.get(FORMER)?.born === LATER),
    );
  },
);

Then(
  'no host runs a write at the primary within {int} ms',
  TIMEOUT,
  async function (this: RestartWorld, ms: number) {
    const { deployment } = this;
    const until = performance.now() + ms;
    do {
      await Promise.all(deployment.hosts.map((each) => deployment.run(each, 'WRITE x 1')));
    } while (performance.now() < until);
    const there = deployment.group.ran.filter((run) => run.upstream === FORMER);
    assert.deepEqual(there, []);
  },
);

When('the store takes changes again', function (this: RestartWorld) {
  this.deployment.store.readOnly = false;
});

When(/^the entry of the primary reports (.*)$/, function (this: RestartWorld, birth: string) {
  return changeEntry(this, PRIMARY_KEY, birth);
});

When(
  'a replica restarts and receives nothing, and its entry reports a later birth',
  async function (this: RestartWorld) {
    const replica = upstream(this, REPLICA);
    for (const each of this.deployment.hosts) await this.deployment.run(each, 'READ x');
    replica.deaf = true;
    replica.startAnew();
    await changeEntry(this, REPLICA_KEY, 'a later birth');
  },
);

Then(
  'no host has confirmed a write that the restarted upstream has run',
  function (this: RestartWorld) {
    const since = this.deployment.group.ran.slice(this.ranBefore);
    const there = new Set(since.filter((run) => run.upstream === FORMER).map(({ text }) => text));
    assert.deepEqual(
      this.confirmed.filter((text) => there.has(text)),
      [],
    );
  },
);

Then('the record names the start time of the primary', function (this: RestartWorld) {
  const { board } = host(this, 0).gateway;
  const record = board.record(GROUP);
  assert.ok(record);
  assert.equal(record.born, board.upstreams.get(record.primary)?.born);
});

Then('every host has dropped what it held of that replica', async function (this: RestartWorld) {
  const { deployment } = this;
  await deployment.until(() =>
    deployment.hosts.every(({ gateway }) => gateway.board.upstreams.get(REPLICA)?.born === LATER),
  );
  for (const { metrics } of deployment.hosts) {
    const { values } = await metrics.upstreamRestarts.get();
    const seen = values.filter(({ labels }) => labels.evidence === RestartEvidence.Entry);
    assert.deepEqual(
      seen.map(({ value }) => value),
      [1],
    );
  }
});

Then(
  'every host reads what was written, none at that replica',
  TIMEOUT,
  async function (this: RestartWorld) {
    const { deployment } = this;
    await writeEverywhere(this);
    await pause(deployment.maxStalenessMs);
    await writeEverywhere(this);
    const before = deployment.group.ran.length;
    for (const each of deployment.hosts) {
      const outcome = await deployment.run(each, 'READ x');
      assert.equal(outcome.kind, 'completed', JSON.stringify(outcome));
    }
    const since = deployment.group.ran.slice(before);
    assert.ok(since.every((run) => run.upstream !== REPLICA));
  },
);

Then(
  'the replica that kept its log becomes the primary',
  TIMEOUT,
  async function (this: RestartWorld) {
    const { deployment } = this;
    await deployment.until(() => deployment.primary() !== FORMER);
    assert.equal(deployment.primary(), upstreamId('u2'));
  },
);

Then(
  'the restarted upstream is named as the primary with its start time',
  TIMEOUT,
  async function (this: RestartWorld) {
    const { deployment } = this;
    await deployment.until(() =>
      deployment.hosts.every(({ gateway }) => {
        const record = gateway.board.record(GROUP);
        return record?.phase === RecordPhase.Serving && record.born === LATER;
      }),
    );
    assert.equal(deployment.primary(), FORMER);
    await writeEverywhere(this);
  },
);
