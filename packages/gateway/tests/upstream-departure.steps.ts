import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Departure, UpstreamId } from '@gladespool/coordination';
import {
  Access,
  azId,
  Consistency,
  DepartureCause,
  ExecutionStatus,
  executionStatusOf,
  expiryRules,
  hostId,
  RecordPhase,
  RefusalReason,
  retryAfterMsOf,
  upstreamId,
} from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type {
  Job,
  OpenTransaction,
  Outcome,
  UpstreamCommand,
  UpstreamEntry,
} from '../src/index.js';
import { GatewayBoard, ReportedRole, StoreView } from '../src/index.js';
import { LocalExecutor } from '../src/home/local-executor.js';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, host, PRIMARY_KEY } from './fakes/action-world.js';
import { fakeReader, UPSTREAM_PREFIX } from './fakes/fake-documents.js';
import type { FakeHost } from './fakes/fake-deployment.js';
import { DATABASE, FakeDeployment, GROUP } from './fakes/fake-deployment.js';
import { FakeDriver, FakeGroup, FakeUpstream } from './fakes/fake-group.js';
import { homeContext } from './fakes/fake-home.js';

interface NewsWorld {
  board: GatewayBoard;
  view: StoreView;
  events: LoggedEvent[];
}

interface LoggedEvent {
  readonly event: string;
  readonly fields: Required<Parameters<Logger['info']>>[1];
}

interface DepartureWorld extends ActionWorld {
  /** What hosts do. */
  work: string;
  /** Local time at which the store took the news that an upstream leaves. */
  storedAt: number;
  leaving: readonly UpstreamId[];
}

/** One host's executor, at all of whose upstreams new work ends. */
interface HomeWorld {
  board: GatewayBoard;
  group: FakeGroup;
  driver: FakeDriver;
  executor: LocalExecutor;
  endsAt: number;
  outcome: Outcome;
  transaction: OpenTransaction;
}

const TIMEOUT = { timeout: 30_000 };
/** Time for which work continues after the time to leave, milliseconds. */
const AFTERWARDS_MS = 300;
const RETRY_MS = 10;
/** Time in which the links of a host that is cut off end, milliseconds. */
const LINKS_END_MS = 100;
/** Commands that are new work, or that precede it on a connection. */
const NEW_WORK: ReadonlySet<UpstreamCommand['kind']> = new Set([
  'run',
  'execute',
  'begin',
  'set-value',
  'prepare',
  'discard',
]);
const NO_VALUES: ReadonlyMap<string, string> = new Map();
const VALUES: ReadonlyMap<string, string> = new Map([['search_path', 'a']]);
const SERVES_ON_MS = 7000;
const KEY = `${UPSTREAM_PREFIX}${FORMER}`;
const ENTRY: UpstreamEntry = {
  id: FORMER,
  group: GROUP,
  address: '127.0.0.1',
  port: 1,
  az: azId('z0'),
  role: ReportedRole.Primary,
  slots: 3,
  draining: false,
};

function loggerOf(events: LoggedEvent[]): Logger {
  return {
    ...createLogger('test'),
    info: (event, fields = {}) => {
      events.push({ event, fields });
    },
  };
}

/** Applies one news of u0 that was stored at `revision`. */
function applyNews({ view }: NewsWorld, news: string, revision: number, now: number): void {
  const position = { era: 0, revision };
  if (news === 'the entry of u0 goes') {
    view.applyEvents([{ kind: 'removed', key: KEY, position }], position, now);
    return;
  }
  const value = JSON.stringify({ ...ENTRY, draining: news === 'u0 is draining' });
  view.applyItems([{ key: KEY, value, position }], now);
}

Given(
  /^a host that knows upstream u0, and whose documents were last current at (\w+)$/,
  function (this: NewsWorld, current: string) {
    this.board = new GatewayBoard(hostId('h1'), azId('z1'));
    this.events = [];
    this.view = new StoreView({
      board: this.board,
      reader: fakeReader(this.board),
      metrics: new HostMetrics(),
      log: loggerOf(this.events),
      startedAt: 0,
      expiry: expiryRules(SERVES_ON_MS),
    });
    applyNews(this, 'u0 is ready', 1, 0);
    if (current !== 'never') this.view.markCurrent(Number(current));
  },
);

When('it learns at {int} ms that {string}', function (this: NewsWorld, now: number, news: string) {
  for (const [index, each] of news.split(', ').entries()) applyNews(this, each, index + 2, now);
});

Then(
  'new work at u0 ends at {string}, and the host tells when it learned and when new work ended',
  function (this: NewsWorld, end: string) {
    const ended = (): readonly LoggedEvent[] =>
      this.events.filter(({ event }) => event === 'upstream-departed');
    const [learned, ...more] = this.events.filter(({ event }) => event === 'upstream-departing');
    assert.ok(learned !== undefined && more.length === 0);
    const departure = this.board.departures.get(FORMER);
    assert.equal(String(departure?.newWorkEndsAt ?? 'never'), end);
    if (departure === undefined) return;
    const { learnedAt, newWorkEndsAt, lastReadyAt } = departure;
    assert.equal(learned.fields.new_work_ms, newWorkEndsAt - learnedAt);
    assert.equal(learned.fields.at_most_ms, learnedAt - lastReadyAt);
    this.view.expireDocuments(newWorkEndsAt - 1);
    assert.equal(ended().length, 0);
    this.view.expireDocuments(newWorkEndsAt);
    this.view.expireDocuments(newWorkEndsAt + 1);
    assert.equal(ended().length, 1);
  },
);

When(
  'only one host reaches the store, and the primary reports that it is draining',
  TIMEOUT,
  async function (this: DepartureWorld) {
    const { deployment } = this;
    for (const each of deployment.hosts.slice(1)) each.store.cut = true;
    await deployment.until(() =>
      deployment.hosts.every(({ gateway }) => Number.isFinite(gateway.board.catalogConfirmedAt)),
    );
    this.storedAt = performance.now();
    const { store } = deployment;
    const entry = JSON.parse(store.items.get(PRIMARY_KEY)?.value ?? '') as UpstreamEntry;
    store.put(PRIMARY_KEY, { ...entry, draining: true });
  },
);

Then(
  'no host takes the primary to have been ready after that',
  TIMEOUT,
  async function (this: DepartureWorld) {
    const { deployment } = this;
    const departureAt = (index: number) => host(this, index).gateway.board.departures.get(FORMER);
    for (const index of deployment.hosts.keys()) {
      await deployment.until(() => departureAt(index) !== undefined);
      const { lastReadyAt = Infinity, learnedAt = Infinity } = departureAt(index) ?? {};
      assert.ok(Number.isFinite(lastReadyAt) && lastReadyAt <= this.storedAt);
      assert.ok(Number.isFinite(learnedAt) && learnedAt >= this.storedAt);
    }
  },
);

function departureAt(endsAt: number): Departure {
  const cause = DepartureCause.Draining;
  return { cause, lastReadyAt: 0, learnedAt: 0, newWorkEndsAt: endsAt };
}

Given('new work has ended at {string}', function (this: HomeWorld, words: string) {
  const ended = words === '' ? [] : words.split(',');
  const departure = departureAt(Number.NEGATIVE_INFINITY);
  this.board.departures = new Map(ended.map((id) => [upstreamId(id), departure]));
});

Given(
  'upstreams at all of which new work ends in {int} ms',
  function (this: HomeWorld, endsInMs: number) {
    this.board = new GatewayBoard(hostId('h0'), azId('z0'));
    this.group = new FakeGroup();
    const ids = ['u0', 'u1', 'u2'].map((id) => upstreamId(id));
    for (const id of ids) this.group.upstreams.set(id, new FakeUpstream(id));
    for (const upstream of this.group.upstreams.values())
      upstream.isPrimary = upstream.id === FORMER;
    this.board.putUpstreams(new Map(ids.map((id) => [id, { ...ENTRY, id }])));
    const holder = hostId('h0');
    const phase = RecordPhase.Serving;
    this.board.putRecord({ group: GROUP, epoch: 1, phase, primary: FORMER, holder });
    const now = performance.now();
    this.board.recordProof(now);
    this.driver = new FakeDriver(this.group);
    this.executor = new LocalExecutor(homeContext(this.board, this.driver));
    const { marks } = this.executor.home(GROUP);
    marks.startEpoch(1);
    marks.add({ sentAt: now, position: { term: 1, offset: 0 } });
    this.endsAt = now + endsInMs;
    this.board.departures = new Map(ids.map((id) => [id, departureAt(this.endsAt)]));
  },
);

function jobOf(isBounded: boolean, values: ReadonlyMap<string, string>): Job {
  const now = performance.now();
  const route = {
    database: DATABASE,
    group: GROUP,
    consistency: isBounded ? Consistency.BoundedStaleness : Consistency.Primary,
    maxStalenessMs: 1500,
    timeoutMs: 3000,
    targetLatencyMs: 500,
    priority: 1,
    isPublic: true,
  };
  const session = { own: undefined, workspace: undefined };
  return { route, id: 'r', values, ...session, beganAt: now, arrivedAt: now };
}

function runOne(
  { executor }: HomeWorld,
  text: 'READ x' | 'WRITE x',
  values: ReadonlyMap<string, string>,
): Promise<Outcome> {
  const access = text === 'READ x' ? Access.Read : Access.Write;
  const work = { kind: 'text', access, text } as const;
  return executor.run({ ...jobOf(access === Access.Read, values), work });
}

async function beginOne({ executor }: HomeWorld): Promise<OpenTransaction> {
  const opened = await executor.begin({ ...jobOf(false, NO_VALUES), readOnly: false });
  assert.ok(opened.isOk(), 'begin');
  return opened.value;
}

function stepOne(
  transaction: OpenTransaction,
  values: ReadonlyMap<string, string>,
): Promise<Outcome> {
  const work = { kind: 'text', access: Access.Write, text: 'WRITE x' } as const;
  return transaction.run({ id: 's', work, values, arrivedAt: performance.now() });
}

/** Makes one command of the work slow on every upstream. */
function delay({ group }: HomeWorld, kind: UpstreamCommand['kind'], ms: number): void {
  for (const { delaysMs } of group.upstreams.values()) delaysMs.set(kind, ms);
}

const SLOW_WORK: Readonly<Record<string, (world: HomeWorld, ms: number) => Promise<Outcome>>> = {
  'opening the connection of a write': (world, ms) => {
    world.driver.connectMs = ms;
    return runOne(world, 'WRITE x', NO_VALUES);
  },
  'opening the connection of a bounded read': (world, ms) => {
    world.driver.connectMs = ms;
    return runOne(world, 'READ x', NO_VALUES);
  },
  'setting the session values of a write': (world, ms) => {
    delay(world, 'set-value', ms);
    return runOne(world, 'WRITE x', VALUES);
  },
  'setting the session values of a bounded read': (world, ms) => {
    delay(world, 'set-value', ms);
    return runOne(world, 'READ x', VALUES);
  },
  'the begin of a transaction': async (world, ms) => {
    delay(world, 'begin', ms);
    return stepOne(await beginOne(world), NO_VALUES);
  },
  'setting the session values of a transaction': async (world, ms) => {
    delay(world, 'set-value', ms);
    return stepOne(await beginOne(world), VALUES);
  },
  'the caller before the first statement': async (world, ms) => {
    const transaction = await beginOne(world);
    await pause(ms);
    return stepOne(transaction, VALUES);
  },
  'the try of a bounded read that is shed': (world, ms) => {
    delay(world, 'run', ms);
    for (const upstream of world.group.upstreams.values()) upstream.sheds = 1;
    return runOne(world, 'READ x', NO_VALUES);
  },
};

When(/^(.*) needs (\d+) ms$/, async function (this: HomeWorld, work: string, ms: string) {
  const run = SLOW_WORK[work];
  assert.ok(run, work);
  this.outcome = await run(this, Number(ms));
});

function assertNotRun(outcome: Outcome): void {
  assert.equal(outcome.kind, 'refused', JSON.stringify(outcome));
  assert.equal(executionStatusOf(outcome.refusal), ExecutionStatus.No);
  assert.ok(retryAfterMsOf(outcome.refusal) > 0);
}

Then(
  'it is refused as not run, with a retry time, and no upstream receives any of it after the end',
  function (this: HomeWorld) {
    const late = this.group.received.filter(
      ({ kind, at }) => NEW_WORK.has(kind) && at >= this.endsAt,
    );
    assert.deepEqual(late, []);
    assertNotRun(this.outcome);
    assert.ok(this.outcome.kind === 'refused');
    assert.equal(this.outcome.refusal.reason, RefusalReason.UpstreamLeaving);
  },
);

When(
  'a transaction has run a statement, and goes on after the end',
  async function (this: HomeWorld) {
    this.transaction = await beginOne(this);
    assert.equal((await stepOne(this.transaction, NO_VALUES)).kind, 'completed');
    while (performance.now() <= this.endsAt) await pause(RETRY_MS);
  },
);

Then('its next statement and its commit succeed', async function (this: HomeWorld) {
  assert.equal((await stepOne(this.transaction, NO_VALUES)).kind, 'completed');
  const committed = await this.transaction.commit('c', performance.now());
  assert.equal(committed.kind, 'completed', JSON.stringify(committed));
});

const MAX_STALENESS_MS = 1500;

Given(
  /^(\d+) hosts whose upstreams accept work for (\d+) ms after they leave, and ([\w ]+)$/,
  TIMEOUT,
  async function (this: DepartureWorld, count: string, servesOnMs: string, work: string) {
    this.work = work;
    this.deployment = new FakeDeployment();
    this.deployment.servesOnMs = Number(servesOnMs);
    if (work === 'bounded reads') this.deployment.maxStalenessMs = MAX_STALENESS_MS;
    await this.deployment.start(Number(count));
    this.former = FORMER;
    await this.deployment.until(() =>
      this.deployment.hosts.every(({ gateway }) =>
        Number.isFinite(gateway.board.catalogConfirmedAt),
      ),
    );
  },
);

function reportDraining({ deployment, leaving }: DepartureWorld): void {
  const { store } = deployment;
  for (const id of leaving) {
    const key = `${UPSTREAM_PREFIX}${id}`;
    const entry = JSON.parse(store.items.get(key)?.value ?? '') as UpstreamEntry;
    store.put(key, { ...entry, draining: true });
  }
}

When(
  /^the replicas receive nothing, and (the primary reports|all upstreams report) draining$/,
  async function (this: DepartureWorld, who: string) {
    const { group } = this.deployment;
    const isAll = who === 'all upstreams report';
    this.leaving = isAll ? [...group.upstreams.keys()] : [FORMER];
    if (!isAll) await letReplicasLag(this);
    this.storedAt = performance.now();
    reportDraining(this);
  },
);

When(
  'the replicas receive nothing, and a host is cut off before the primary reports draining',
  async function (this: DepartureWorld) {
    this.leaving = [FORMER];
    await letReplicasLag(this);
    const cutOff = lastHost(this);
    cutOff.store.cut = true;
    await cutOff.gateway.closePeers();
    await pause(LINKS_END_MS);
    this.storedAt = performance.now();
    reportDraining(this);
  },
);

When(
  'the replicas receive nothing, and the entry of the primary goes',
  async function (this: DepartureWorld) {
    this.leaving = [FORMER];
    await letReplicasLag(this);
    this.storedAt = performance.now();
    this.deployment.store.remove(PRIMARY_KEY);
  },
);

async function letReplicasLag(world: DepartureWorld): Promise<void> {
  const { group } = world.deployment;
  for (const upstream of group.upstreams.values()) upstream.deaf = !upstream.isPrimary;
  for (let count = 0; count < 20; count += 1) {
    await world.deployment.run(host(world, 0), 'WRITE x');
  }
}

/** Does the work of the scenario once on a host. */
async function workOnce({ deployment, work }: DepartureWorld, each: FakeHost): Promise<Outcome> {
  if (work === 'writes') return deployment.run(each, 'WRITE x');
  if (work !== 'transactions') return deployment.run(each, 'READ x');
  const { routing } = each.gateway;
  const opened = await routing.begin({ ...jobOf(false, NO_VALUES), readOnly: false });
  if (opened.isErr()) return opened.error;
  const outcome = await stepOne(opened.value, NO_VALUES);
  opened.value.rollback();
  return outcome;
}

async function workUntil(world: DepartureWorld, each: FakeHost, until: number): Promise<void> {
  while (performance.now() < until) {
    await workOnce(world, each);
    await pause(RETRY_MS);
  }
}

function lastHost({ deployment }: DepartureWorld): FakeHost {
  const last = deployment.hosts.at(-1);
  assert.ok(last);
  return last;
}

/** What happens in the meantime, by the words of the scenario. */
const MEANWHILE: Readonly<Record<string, (world: DepartureWorld, until: number) => Promise<void>>> =
  {
    'nothing else happens': () => Promise.resolve(),
    'a host reaches the primary only through others': (world) => {
      lastHost(world).driver.unreachable.add(FORMER);
      return Promise.resolve();
    },
    'a further host starts': async (world, until) => {
      await world.deployment.addHost(world.deployment.hosts.length);
      await workUntil(world, lastHost(world), until);
    },
    'that host reaches the store again after 1800 ms': async (world) => {
      await pause(world.storedAt + 1800 - performance.now());
      lastHost(world).store.cut = false;
    },
    'documents pass 1 s of age again and again': async (world, until) => {
      const { store } = lastHost(world);
      while (performance.now() < until) {
        store.cut = !store.cut;
        await pause(store.cut ? 1100 : 300);
      }
      store.cut = false;
    },
  };

When(
  /^hosts go on until the time is over, while (.*)$/,
  TIMEOUT,
  async function (this: DepartureWorld, meanwhile: string) {
    const until = this.storedAt + (this.deployment.servesOnMs ?? 0) + AFTERWARDS_MS;
    const event = MEANWHILE[meanwhile];
    assert.ok(event, meanwhile);
    const working = this.deployment.hosts.map((each) => workUntil(this, each, until));
    await Promise.all([event(this, until), ...working]);
  },
);

Then('no new work reached a leaving upstream after its time', function (this: DepartureWorld) {
  const { group, servesOnMs = 0 } = this.deployment;
  const isLate = (at: number): boolean => at - this.storedAt > servesOnMs;
  const received = group.received.filter(
    ({ upstream, kind }) => NEW_WORK.has(kind) && this.leaving.includes(upstream),
  );
  assert.ok(received.some(({ at }) => at > this.storedAt));
  assert.deepEqual(
    received.filter(({ at }) => isLate(at)).map(({ at }) => Math.round(at - this.storedAt)),
    [],
  );
});

Then('every host is refused as not run, with a retry time', async function (this: DepartureWorld) {
  for (const each of this.deployment.hosts) assertNotRun(await workOnce(this, each));
});

Then(
  'every host is served by another upstream, or refused as not run, with a retry time',
  async function (this: DepartureWorld) {
    for (const each of this.deployment.hosts) {
      const outcome = await workOnce(this, each);
      if (outcome.kind !== 'completed') assertNotRun(outcome);
      else assert.ok(!this.leaving.some((id) => outcome.rows.includes(id)));
    }
  },
);

When('the replicas have received everything', function (this: DepartureWorld) {
  const { group } = this.deployment;
  const offset = group.upstreams.get(FORMER)?.offset ?? 0;
  for (const upstream of group.upstreams.values()) {
    upstream.deaf = false;
    upstream.offset = offset;
  }
});
