import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, RefusalReason, UpstreamId } from '@gladespool/coordination';
import {
  Access,
  azId,
  Consistency,
  hostId,
  expiryRules,
  ExecutionStatus,
  executionStatusOf,
  RecordPhase,
  RefusalReason as Reason,
  retryAfterMsOf,
  upstreamId,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { Job, OpenTransaction, Outcome, UpstreamEntry } from '../src/index.js';
import { BoardSection, GatewayBoard, GroupHome, ReportedRole, StoreView } from '../src/index.js';
import { borrow } from '../src/home/exchange.js';
import { awaitAuthority } from '../src/home/await-authority.js';
import { planAtPrimary, planRead } from '../src/home/read-plan.js';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, host, writeUntilChanged } from './fakes/action-world.js';
import type { FakeHost } from './fakes/fake-deployment.js';
import { DATABASE, EVACUATION_PREFIX, FakeDeployment, GROUP } from './fakes/fake-deployment.js';
import { FakeDriver, FakeGroup, FakeUpstream } from './fakes/fake-group.js';
import { fakeReader } from './fakes/fake-documents.js';
import { homeContext } from './fakes/fake-home.js';

interface PlanWorld {
  driver: FakeDriver;
  borrowed: string;
  board: GatewayBoard;
  view: StoreView;
  home: GroupHome;
  targets: string;
}

interface EvacuatedWorld extends ActionWorld {
  /** Local time at which the latest evacuation was stored. */
  storedAt: number;
  transaction: OpenTransaction;
  /** Outcome of the latest statement of the open transaction. */
  last: Outcome;
}

const NOW = 10_000;
const SLOW_STEP = { timeout: 20_000 };
const RETRY_MS = 10;

function splitList(words: string): readonly string[] {
  return words === '' ? [] : words.split(',');
}

Given(
  /^a host whose documents were last known to be current at (\w+)$/,
  function (this: PlanWorld, current: string) {
    this.board = new GatewayBoard(hostId('h1'), azId('z1'));
    const reader = fakeReader(this.board);
    this.view = new StoreView({
      board: this.board,
      reader,
      metrics: new HostMetrics(),
      log: createLogger('test'),
      startedAt: 0,
      expiry: expiryRules(1000),
    });
    if (current !== 'never') this.view.markCurrent(Number(current));
  },
);

When('it learns at {int} ms that zone z1 is evacuated', function (this: PlanWorld, now: number) {
  this.view.applyItems(
    [{ key: 'evacuation/z1', value: '', position: { era: 0, revision: 1 } }],
    now,
  );
});

Then(/^the zone counts as in use until (\w+)$/, function (this: PlanWorld, inUseAt: string) {
  const expected = inUseAt === 'never' ? Number.NEGATIVE_INFINITY : Number(inUseAt);
  assert.equal(this.board.evacuations.get(azId('z1')), expected);
});

function entryOf(index: number, draining: readonly string[]): UpstreamEntry {
  const id = upstreamId(`u${index}`);
  return {
    id,
    group: GROUP,
    address: '127.0.0.1',
    port: 1,
    az: azId(`z${index}`),
    role: ReportedRole.Replica,
    slots: 3,
    draining: draining.includes(id),
  };
}

Given(
  'upstreams u0, u1 and u2 in the zones z0, z1 and z2, u0 the primary, {string} draining',
  function (this: PlanWorld, leaving: string) {
    this.board = new GatewayBoard(hostId('h0'), azId('z0'));
    const entries = [0, 1, 2].map((index) => entryOf(index, splitList(leaving)));
    this.board.putUpstreams(new Map(entries.map((entry) => [entry.id, entry])));
    this.board.putRecord({
      group: GROUP,
      epoch: 1,
      phase: RecordPhase.Serving,
      primary: FORMER,
      holder: hostId('h0'),
    });
    this.board.recordProof(NOW);
    const group = new FakeGroup();
    for (const { id } of entries) group.upstreams.set(id, new FakeUpstream(id));
    this.driver = new FakeDriver(group);
    this.home = new GroupHome(GROUP, homeContext(this.board, this.driver));
    this.home.marks.startEpoch(1);
    this.home.marks.add({ sentAt: NOW, position: { term: 1, offset: 1 } });
  },
);

function evacuationsAt(now: number, words: string): ReadonlyMap<AzId, number> {
  const pairs = splitList(words).map((pair) => pair.split(':'));
  return new Map(pairs.map(([az = '', ms]) => [azId(az), now - Number(ms)]));
}

Given('zones evacuated since {string} ms', function (this: PlanWorld, evacuated: string) {
  this.board.putEvacuations(evacuationsAt(NOW, evacuated));
});

function jobOf(consistency: Consistency, timeoutMs: number): Job {
  const route = {
    database: DATABASE,
    group: GROUP,
    consistency,
    maxStalenessMs: 1500,
    timeoutMs,
    targetLatencyMs: 500,
    priority: 1,
    isPublic: true,
  };
  const session = { values: new Map<string, string>(), own: undefined, workspace: undefined };
  return { route, id: 'r', ...session, beganAt: NOW, arrivedAt: NOW };
}

/** All upstreams that the plan selects if those selected before have failed, or the reason for which it selects none. */
function targetsOf(home: GroupHome, work: string): string {
  const isBounded = work === 'bounded read';
  const job = jobOf(isBounded ? Consistency.BoundedStaleness : Consistency.Primary, 3000);
  const tried = new Set<UpstreamId>();
  for (;;) {
    const isWrite = work === 'write';
    const target = isWrite ? planAtPrimary(home, job, NOW) : planRead(home, job, tried, NOW);
    if (target.isErr()) return target.error.reason;
    if (tried.has(target.value.entry.id)) return [...tried].sort().join(',');
    tried.add(target.value.entry.id);
  }
}

When(
  /^a (bounded read|primary read|write) is planned until no further upstream is found$/,
  function (this: PlanWorld, work: string) {
    this.targets = targetsOf(this.home, work);
  },
);

Then('it may be sent to {string}', function (this: PlanWorld, targets: string) {
  assert.equal(this.targets, targets);
});

Then(
  'a write with a timeout of {int} ms is not held',
  async function (this: PlanWorld, timeoutMs: number) {
    const held = await awaitAuthority(this.home, jobOf(Consistency.Primary, timeoutMs), NOW);
    assert.equal(held, false);
  },
);

/** Waits until each host knows the age of its documents; until then it takes every evacuation for an old one. */
async function waitUntilCurrent({ deployment }: EvacuatedWorld): Promise<void> {
  await deployment.until(() =>
    deployment.hosts.every(({ gateway }) => Number.isFinite(gateway.board.catalogConfirmedAt)),
  );
}

When(
  'a zone has been evacuated for {string} ms while a statement waits for a connection to u0',
  async function (this: PlanWorld, evacuated: string) {
    const connect = this.driver.connect.bind(this.driver);
    this.driver.connect = (...args) => {
      this.board.putEvacuations(evacuationsAt(performance.now(), evacuated));
      return connect(...args);
    };
    const pool = this.home.pool(FORMER);
    assert.ok(pool);
    const arrivedAt = performance.now();
    const job = { ...jobOf(Consistency.Primary, 3000), arrivedAt };
    const borrowed = await borrow(this.home, pool, job, undefined);
    this.borrowed = borrowed.isErr() ? borrowed.error : 'borrowed';
  },
);

Then('it is refused as not run, because the zone is evacuated', function (this: PlanWorld) {
  assert.equal(this.borrowed, Reason.ZoneEvacuated);
});

function evacuate(world: EvacuatedWorld, zones: string): void {
  world.storedAt = performance.now();
  for (const az of splitList(zones)) world.deployment.store.put(EVACUATION_PREFIX + az, {});
}

function cancelEvacuation(world: EvacuatedWorld, zones: string): void {
  for (const az of splitList(zones)) world.deployment.store.remove(EVACUATION_PREFIX + az);
}

async function waitUntilAllKnow(world: EvacuatedWorld, count: number): Promise<void> {
  const { deployment } = world;
  await deployment.until(() =>
    deployment.hosts.every(({ gateway }) => gateway.board.evacuations.size === count),
  );
}

Given(
  '{int} hosts that serve a group with an evacuation time of {int} ms',
  SLOW_STEP,
  async function (this: EvacuatedWorld, count: number, evacuationMs: number) {
    this.deployment = new FakeDeployment();
    this.deployment.evacuationMs = evacuationMs;
    await this.deployment.start(count);
    this.former = FORMER;
  },
);

Given(
  '{int} hosts that serve a group whose commits {int} replica acknowledges',
  SLOW_STEP,
  async function (this: EvacuatedWorld, count: number, syncReplicas: number) {
    this.deployment = new FakeDeployment();
    this.deployment.syncReplicas = syncReplicas;
    await this.deployment.start(count);
    this.former = FORMER;
  },
);

Given(
  '{int} hosts that start while the zone {word} is evacuated',
  SLOW_STEP,
  async function (this: EvacuatedWorld, count: number, az: string) {
    this.deployment = new FakeDeployment();
    evacuate(this, az);
    await this.deployment.start(count);
    this.former = FORMER;
  },
);

When(
  'the zones {string} are evacuated while hosts keep writing',
  async function (this: EvacuatedWorld, zones: string) {
    await waitUntilCurrent(this);
    evacuate(this, zones);
    this.writing = this.deployment.hosts.map((each) => writeUntilChanged(this, each));
  },
);

When(
  'the zones {string} are evacuated, and all hosts know of it',
  async function (this: EvacuatedWorld, zones: string) {
    evacuate(this, zones);
    await waitUntilAllKnow(this, splitList(zones).length);
  },
);

When(
  'the replicas stop receiving, and the zones {string} are evacuated',
  async function (this: EvacuatedWorld, zones: string) {
    const { group } = this.deployment;
    await waitUntilCurrent(this);
    for (const upstream of group.upstreams.values()) upstream.deaf = !upstream.isPrimary;
    for (let count = 0; count < 20; count += 1) await this.deployment.run(host(this, 0), 'WRITE x');
    evacuate(this, zones);
  },
);

When('the zones {string} are no longer evacuated', function (this: EvacuatedWorld, zones: string) {
  cancelEvacuation(this, zones);
});

When(
  'the store becomes unavailable once all hosts know of it',
  async function (this: EvacuatedWorld) {
    await waitUntilAllKnow(this, 1);
    this.deployment.store.away = true;
  },
);

When(
  'the store is available again and the replicas have received everything',
  function (this: EvacuatedWorld) {
    const { group, store } = this.deployment;
    const offset = group.upstreams.get(FORMER)?.offset ?? 0;
    for (const upstream of group.upstreams.values()) {
      upstream.deaf = false;
      upstream.offset = offset;
    }
    store.away = false;
  },
);

/** Calls `act` once a promotion has been claimed. */
function onClaim(world: EvacuatedWorld, act: () => void): void {
  const { board } = host(world, 0).gateway;
  const stop = board.onChange(BoardSection.Records, () => {
    if (board.record(GROUP)?.phase !== RecordPhase.Claimed) return;
    stop();
    act();
  });
}

When(
  'the zones {string} are evacuated, and {string} as soon as the promotion is claimed',
  async function (this: EvacuatedWorld, zones: string, later: string) {
    await waitUntilCurrent(this);
    onClaim(this, () => {
      evacuate(this, later);
    });
    evacuate(this, zones);
  },
);

When(
  'the zones {string} are evacuated, and {string} as soon as the promotion is called for',
  async function (this: EvacuatedWorld, zones: string, later: string) {
    await waitUntilCurrent(this);
    this.deployment.group.onPromotion = () => {
      evacuate(this, later);
      this.deployment.group.onPromotion = () => undefined;
    };
    evacuate(this, zones);
  },
);

When(
  'the zones {string} are evacuated, and no longer as soon as the promotion is claimed',
  async function (this: EvacuatedWorld, zones: string) {
    await waitUntilCurrent(this);
    onClaim(this, () => {
      cancelEvacuation(this, zones);
    });
    evacuate(this, zones);
  },
);

async function writeUntilDone({ deployment }: ActionWorld, each: FakeHost): Promise<void> {
  while ((await deployment.run(each, 'WRITE x')).kind !== 'completed') await pause(RETRY_MS);
}

When('each host writes until it succeeds', SLOW_STEP, async function (this: EvacuatedWorld) {
  await Promise.all(this.deployment.hosts.map((each) => writeUntilDone(this, each)));
});

Then('every host writes again', SLOW_STEP, async function (this: EvacuatedWorld) {
  await waitUntilAllKnow(this, 0);
  await Promise.all(this.deployment.hosts.map((each) => writeUntilDone(this, each)));
});

Then('nothing has run at the former primary', function (this: EvacuatedWorld) {
  const { ran } = this.deployment.group;
  assert.deepEqual(
    ran.filter(({ upstream }) => upstream === FORMER),
    [],
  );
});

Then('the primary is in none of the zones {string}', function (this: ActionWorld, zones: string) {
  const { gateway } = host(this, 0);
  const primary = gateway.board.record(GROUP)?.primary;
  const az = primary && gateway.board.upstreams.get(primary)?.az;
  assert.ok(az !== undefined && !splitList(zones).includes(az), `primary in ${az ?? 'no zone'}`);
});

async function writeUntilRefused(
  { deployment }: ActionWorld,
  each: FakeHost,
  reason: RefusalReason,
): Promise<void> {
  for (;;) {
    const outcome = await deployment.run(each, 'WRITE x');
    if (outcome.kind === 'refused' && outcome.refusal.reason === reason) {
      assert.equal(executionStatusOf(outcome.refusal), ExecutionStatus.No);
      assert.ok(retryAfterMsOf(outcome.refusal) > 0);
      return;
    }
    await pause(RETRY_MS);
  }
}

Then(
  'each host is refused as not run, with a retry time, and nothing runs in {string} after the evacuation time',
  SLOW_STEP,
  async function (this: EvacuatedWorld, zones: string) {
    const { hosts, group, evacuationMs } = this.deployment;
    const overAt = this.storedAt + evacuationMs;
    while (performance.now() < overAt) {
      await Promise.all(hosts.map((each) => writeUntilRefused(this, each, Reason.ZoneEvacuated)));
      await pause(RETRY_MS);
    }
    await Promise.all(hosts.map((each) => this.deployment.run(each, 'WRITE x')));
    await Promise.all(hosts.map((each) => this.deployment.run(each, 'READ x')));
    const { board } = host(this, 0).gateway;
    const late = group.ran.filter(({ upstream, at }) => {
      const az = board.upstreams.get(upstream)?.az ?? '';
      return at > overAt && splitList(zones).includes(az);
    });
    assert.deepEqual(late, []);
  },
);

Then(
  'each host is refused because of the evacuation',
  SLOW_STEP,
  async function (this: EvacuatedWorld) {
    for (const each of this.deployment.hosts) {
      for (const text of ['WRITE x', 'READ x']) {
        const outcome = await this.deployment.run(each, text);
        assert.equal(outcome.kind, 'refused');
        assert.equal(outcome.refusal.reason, Reason.ZoneEvacuated);
      }
    }
  },
);

Then(
  "each host's gauge shows {int} evacuated zones",
  async function (this: EvacuatedWorld, count: number) {
    for (const { metrics } of this.deployment.hosts) {
      const { values } = await metrics.evacuatedZones.get();
      assert.deepEqual(
        values.map(({ value }) => value),
        [count],
      );
    }
  },
);

Then(
  'the primary is finally u2, and every host writes there',
  SLOW_STEP,
  async function (this: EvacuatedWorld) {
    const { deployment } = this;
    const last = upstreamId('u2');
    await deployment.until(() => {
      const record = host(this, 0).gateway.board.record(GROUP);
      return record?.phase === RecordPhase.Serving && record.primary === last;
    });
    const before = deployment.group.ran.length;
    for (const each of deployment.hosts) await writeUntilDone(this, each);
    const since = deployment.group.ran.slice(before);
    assert.deepEqual([...new Set(since.map(({ upstream }) => upstream))], [last]);
  },
);

Then(
  'the upstream of the zone is read from again',
  SLOW_STEP,
  async function (this: EvacuatedWorld) {
    const { deployment } = this;
    const { ran } = deployment.group;
    const before = ran.length;
    const isRead = (): boolean => ran.slice(before).some(({ upstream }) => upstream === FORMER);
    while (!isRead()) {
      await deployment.run(host(this, 0), 'WRITE x');
      await deployment.run(host(this, 0), 'READ x');
    }
  },
);

function stepOf(text: string): Parameters<OpenTransaction['run']>[0] {
  const work = { kind: 'text', access: Access.Write, text } as const;
  return { id: text, work, values: new Map(), arrivedAt: performance.now() };
}

Given('a transaction that wrote on the primary', async function (this: EvacuatedWorld) {
  const { gateway } = host(this, 0);
  const now = performance.now();
  const route = gateway.board.route(DATABASE);
  assert.ok(route);
  const session = { values: new Map<string, string>(), own: undefined, workspace: undefined };
  const times = { beganAt: now, arrivedAt: now };
  const opened = await gateway.routing.begin({
    route,
    id: 't',
    ...session,
    ...times,
    readOnly: false,
  });
  assert.ok(opened.isOk());
  this.transaction = opened.value;
  this.last = await this.transaction.run(stepOf('WRITE t'));
  assert.equal(this.last.kind, 'completed');
});

When(
  'the transaction runs statements until the evacuation time is over',
  SLOW_STEP,
  async function (this: EvacuatedWorld) {
    while (this.last.kind === 'completed') {
      this.last = await this.transaction.run(stepOf('WRITE t'));
      await pause(RETRY_MS);
    }
  },
);

When(
  'the transaction rests until the evacuation time is over',
  async function (this: EvacuatedWorld) {
    const { evacuationMs } = this.deployment;
    await pause(this.storedAt + evacuationMs - performance.now());
  },
);

function assertRolledBack(outcome: Outcome): void {
  assert.equal(outcome.kind, 'refused');
  const { reason, detail } = outcome.refusal;
  assert.deepEqual(
    { reason, detail },
    { reason: Reason.TransactionLost, detail: 'zone evacuated' },
  );
}

Then('its statement is refused because it was rolled back', function (this: EvacuatedWorld) {
  assertRolledBack(this.last);
});

Then('its commit is refused because it was rolled back', async function (this: EvacuatedWorld) {
  assertRolledBack(await this.transaction.commit('c', performance.now()));
});
