import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { KeyRules, WorkspaceKeys } from '@gladespool/coordination';
import {
  Access,
  azId,
  Consistency,
  groupId,
  hashKey,
  hostId,
  refuse,
  RefusalReason,
  UpstreamFault,
  workspaceId,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import { pauseProcess } from './fakes/paused-process.js';
import type {
  Executor,
  OpenTransaction,
  OperationLimits,
  Outcome,
  Statement,
  StatementJob,
  Work,
} from '../src/index.js';
import {
  DONE,
  GatewayBoard,
  RequestRecorder,
  Session,
  StatementKind,
  UNLIMITED,
} from '../src/index.js';

const DATABASE = 'db1';
const GROUP = groupId('g1');
const COMMITTED = { epoch: 1, position: { term: 1, offset: 9 } };
const IDLE_MS = 20;
const KEY = 'k1';
const KEYS: KeyRules = { unconfirmedTtlMs: undefined };

/** Executor that answers everything with one row, unless `refuseNext` or `refusalNext` is set. */
class FakeExecutor implements Executor, OpenTransaction {
  readonly jobs: StatementJob[] = [];
  rolledBack = 0;
  refuseNext = false;
  /** Reason for which statements are refused, if any. */
  refusalNext: RefusalReason | undefined;
  /** Resolves when a begin may continue. */
  gate: Promise<void> = Promise.resolve();

  run(job: StatementJob | { readonly work: Work }): Promise<Outcome> {
    if ('route' in job) this.jobs.push(job);
    const wrote = job.work.kind === 'text' && job.work.access === Access.Write;
    return Promise.resolve(this.outcome(wrote));
  }

  async begin(): Promise<Result<OpenTransaction, Outcome>> {
    await this.gate;
    return ok(this);
  }

  commit(): Promise<Outcome> {
    return Promise.resolve(this.outcome(true));
  }

  rollback(): void {
    this.rolledBack += 1;
  }

  private outcome(wrote: boolean): Outcome {
    if (this.refusalNext !== undefined) return refusedFor(this.refusalNext);
    if (this.refuseNext) {
      return { kind: 'faulted', fault: UpstreamFault.Busy, code: 'BUSY', text: '' };
    }
    const committed = wrote ? COMMITTED : undefined;
    return { kind: 'completed', rows: ['r'], signature: 's', committed };
  }
}

function refusedFor(reason: RefusalReason): Outcome {
  return { kind: 'refused', refusal: refuse(reason) };
}

/** Limits that admit everything and count the calls. */
class CountingLimits implements OperationLimits {
  admitted = 0;
  refunded = 0;

  admit(): Promise<undefined> {
    this.admitted += 1;
    return Promise.resolve(undefined);
  }

  refund(): void {
    this.refunded += 1;
  }
}

interface SessionWorld {
  limits: CountingLimits;
  openGate: () => void;
  pending: Promise<void>;
  board: GatewayBoard;
  executor: FakeExecutor;
  session: Session;
  /** Workspaces by key; undefined if the configuration requires no keys. */
  keys: WorkspaceKeys;
  keyRules: KeyRules | undefined;
  confirmedAt: number | undefined;
  answers: readonly string[];
}

function parse(text: string): Statement {
  const [word = '', first = '', ...more] = text.split(' ');
  switch (word) {
    case 'BEGIN':
      return { kind: StatementKind.Begin, readOnly: false };
    case 'COMMIT':
      return { kind: StatementKind.Commit };
    case 'ROLLBACK':
      return { kind: StatementKind.Rollback };
    case 'SET':
      return { kind: StatementKind.SetValue, name: first, value: more.join(' ') };
    case 'PREPARE': {
      const access = more[0] === 'READ' ? Access.Read : Access.Write;
      const prepared = { access, shape: more[1] ?? '' };
      return { kind: StatementKind.Prepare, name: first, prepared };
    }
    case 'EXECUTE':
      return { kind: StatementKind.Execute, name: first, args: more.join(' ') };
    case 'DEALLOCATE':
      return { kind: StatementKind.Deallocate, name: first };
    default: {
      const access = word === 'READ' ? Access.Read : Access.Write;
      return { kind: StatementKind.Run, access, text };
    }
  }
}

function describe(outcome: Outcome): string {
  if (outcome === DONE) return 'done';
  if (outcome.kind === 'completed') return 'rows';
  return outcome.kind === 'faulted' ? outcome.fault : outcome.refusal.reason;
}

/** Parses keys from a list such as `k1=a k2=a`; `none` if no keys are required. */
function parseKeys(text: string): WorkspaceKeys {
  if (text === 'none') return undefined;
  const pairs = text.split(' ').filter((pair) => pair !== '');
  return new Map(
    pairs.map((pair) => {
      const [key = '', name = ''] = pair.split('=');
      return [hashKey(key), { id: workspaceId(name), limit: undefined }];
    }),
  );
}

function putRoutes(
  world: SessionWorld,
  version: number,
  databases: readonly string[],
  isPublic = false,
): void {
  const route = {
    group: GROUP,
    consistency: Consistency.ReadYourWrites,
    maxStalenessMs: 1500,
    timeoutMs: 1000,
    targetLatencyMs: 200,
    priority: 1,
    isPublic,
  };
  world.board.putCatalog({
    version,
    routes: new Map(databases.map((database) => [database, { ...route, database }])),
    groups: new Map(),
    keys: world.keys,
    workspaces: new Map(),
    transactionIdleMs: IDLE_MS,
  });
}

function open(world: SessionWorld): void {
  world.board = new GatewayBoard(hostId('h1'), azId('z1'));
  putRoutes(world, 1, [DATABASE]);
  world.executor = new FakeExecutor();
  const journal = new RequestRecorder(world.board, new HostMetrics(), createLogger('test'));
  const { board, executor } = world;
  world.session = new Session(DATABASE, KEY, {
    board,
    executor,
    limits: UNLIMITED,
    keys: KEYS,
    recorder: journal,
  });
}

async function send(world: SessionWorld, statements: readonly string[]): Promise<void> {
  const answers: string[] = [];
  for (const text of statements) {
    world.executor.refuseNext = text.startsWith('!');
    const statement = parse(text.replace('!', ''));
    const answer = await world.session.handle('1', statement, performance.now());
    answers.push(describe(answer.outcome));
  }
  world.answers = answers;
}

When('a caller sends {string} in turn', async function (this: SessionWorld, statements: string) {
  open(this);
  await send(this, statements.split(','));
});

Then(
  'the session ends up {string} and the answers are {string}',
  function (this: SessionWorld, state: string, answers: string) {
    assert.equal(this.answers.join(','), answers);
    assert.equal(this.session.state, state);
    this.session.close();
  },
);

Given('a session with an open transaction', async function (this: SessionWorld) {
  open(this);
  await send(this, ['BEGIN', 'WRITE x 1']);
});

Given(
  'a session with an open transaction and an idle time of 20 ms',
  async function (this: SessionWorld) {
    open(this);
    await send(this, ['BEGIN', 'WRITE x 1']);
  },
);

When(
  'its host is paused for {int} ms, and meanwhile its caller goes on with {string}',
  async function (this: SessionWorld, pauseMs: number, statements: string) {
    await pauseProcess(pauseMs);
    await send(this, statements.split(','));
  },
);

When('its caller goes on with {string}', async function (this: SessionWorld, statements: string) {
  await send(this, statements.split(','));
});

Given('a session whose transaction is being opened', async function (this: SessionWorld) {
  open(this);
  this.executor.gate = new Promise((resolve) => {
    this.openGate = resolve;
  });
  await send(this, ['BEGIN']);
  this.pending = send(this, ['WRITE x 1']);
});

When('the caller disconnects and the transaction opens', async function (this: SessionWorld) {
  this.session.close();
  this.openGate();
  await this.pending;
});

When('its route is removed', function (this: SessionWorld) {
  putRoutes(this, 2, []);
});

Then('the transaction continues and commits', async function (this: SessionWorld) {
  await send(this, ['WRITE y 1', 'COMMIT']);
  assert.deepEqual(this.answers, ['rows', 'rows']);
});

Then(
  'the next statement is refused as {string}',
  async function (this: SessionWorld, reason: string) {
    await send(this, ['READ x']);
    assert.deepEqual(this.answers, [reason]);
  },
);

When('the caller disconnects', function (this: SessionWorld) {
  this.session.close();
});

Then('the transaction was rolled back', function (this: SessionWorld) {
  assert.equal(this.executor.rolledBack, 1);
});

Then(
  'it is rolled back automatically and the session is {string}',
  async function (this: SessionWorld, state: string) {
    while (this.executor.rolledBack === 0) await pause(1);
    assert.equal(this.session.state, state);
  },
);

Then('the read was required to show the commit', function (this: SessionWorld) {
  assert.deepEqual(this.executor.jobs[1]?.own, COMMITTED);
});

Then(
  'the work was prepared as {string} with {string} under {string}',
  function (this: SessionWorld, shape: string, args: string, value: string) {
    const [job] = this.executor.jobs;
    assert.ok(job?.work.kind === 'prepared');
    const { prepared } = job.work;
    assert.equal(`${prepared.access} ${prepared.shape}`, shape);
    assert.equal(job.work.args, args);
    assert.deepEqual(
      [...job.values].map(([name, text]) => `${name}=${text}`),
      [value],
    );
  },
);

Given(
  'a session with key {string}, workspaces {string} and a {string} route',
  function (this: SessionWorld, key: string, keys: string, access: string) {
    this.keys = parseKeys(keys);
    this.board = new GatewayBoard(hostId('h1'), azId('z1'));
    this.board.catalogConfirmedAt = this.confirmedAt ?? Number.NEGATIVE_INFINITY;
    putRoutes(this, 1, [DATABASE], access === 'public');
    this.executor = new FakeExecutor();
    this.limits = new CountingLimits();
    const journal = new RequestRecorder(this.board, new HostMetrics(), createLogger('test'));
    this.session = new Session(DATABASE, key, {
      board: this.board,
      executor: this.executor,
      limits: this.limits,
      keys: this.keyRules ?? KEYS,
      recorder: journal,
    });
  },
);

When(
  'its caller sends {string}, the workspaces become {string}, and it sends {string}',
  async function (this: SessionWorld, before: string, keys: string, after: string) {
    await send(this, before.split(','));
    this.keys = parseKeys(keys);
    putRoutes(this, 2, [DATABASE]);
    await send(this, after.split(','));
  },
);

Then(
  'it would be refused as {string}, and a read runs for workspace {string}',
  async function (this: SessionWorld, reason: string, workspace: string) {
    assert.equal(this.session.refusalAt(performance.now()) ?? '', reason);
    await send(this, ['READ x']);
    assert.equal(this.executor.jobs.at(-1)?.workspace ?? '', workspace);
    this.session.close();
  },
);

Then('the last answers are {string}', function (this: SessionWorld, answers: string) {
  assert.equal(this.answers.join(','), answers);
  this.session.close();
});

Given(
  'keys that expire {int} ms after the confirmation of their configuration, which was {int} ms ago',
  function (this: SessionWorld, lifeMs: number, agoMs: number) {
    this.keyRules = { unconfirmedTtlMs: lifeMs === 0 ? undefined : lifeMs };
    this.confirmedAt = performance.now() - agoMs;
  },
);

const REASONS: ReadonlyMap<string, RefusalReason> = new Map(
  Object.values(RefusalReason).map((reason) => [reason, reason]),
);

When(
  'its caller sends {string} while the executor ends them as {string}',
  async function (this: SessionWorld, statements: string, end: string) {
    this.executor.refusalNext = REASONS.get(end);
    await send(this, statements.split(','));
  },
);

Then(
  '{int} operations were admitted and {int} refunded',
  function (this: SessionWorld, admitted: number, givenBack: number) {
    assert.deepEqual([this.limits.admitted, this.limits.refunded], [admitted, givenBack]);
    this.session.close();
  },
);
