import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Access, Consistency, RefusalReason } from '@gladespool/coordination';
import type { BeginJob, LocalExecutor, OpenTransaction, Outcome } from '../src/index.js';
import { DATABASE, GROUP } from './fakes/fake-deployment.js';

interface LossWorld {
  connection: { offset: number; loseLog(): void };
  executor: LocalExecutor;
  outcome: Outcome;
}

function jobAt(now: number): BeginJob {
  const route = {
    database: DATABASE,
    group: GROUP,
    consistency: Consistency.Primary,
    maxStalenessMs: 0,
    timeoutMs: 1000,
    targetLatencyMs: 1000,
    priority: 1,
    isPublic: true,
  };
  const session = { values: new Map<string, string>(), own: undefined, workspace: undefined };
  return { route, id: 'b', ...session, beganAt: now, arrivedAt: now, readOnly: false };
}

Given('the primary reports its start time', function (this: LossWorld) {
  const { board } = this.executor.home(GROUP).context;
  board.putUpstreams(
    new Map([...board.upstreams].map(([id, entry]) => [id, { ...entry, born: 1 }])),
  );
});

/** Records a position of the primary's log as another caller's answer tells it. */
function confirm({ executor }: LossWorld, offset: number): void {
  const { marks } = executor.home(GROUP);
  marks.add({ sentAt: performance.now(), position: { term: 1, offset } });
}

async function begin(world: LossWorld): Promise<OpenTransaction> {
  const opened = await world.executor.begin(jobAt(performance.now()));
  return opened._unsafeUnwrap();
}

function read(transaction: OpenTransaction): Promise<Outcome> {
  const work = { kind: 'text', access: Access.Read, text: 'read' } as const;
  return transaction.run({ id: 's', work, values: new Map(), arrivedAt: performance.now() });
}

When(
  'a transaction begins, a write of another caller is confirmed, and the transaction reads',
  async function (this: LossWorld) {
    const transaction = await begin(this);
    this.connection.offset += 1;
    confirm(this, this.connection.offset);
    this.outcome = await read(transaction);
  },
);

When(
  'a transaction begins, the primary loses its log, and the transaction reads',
  async function (this: LossWorld) {
    const earlier = await begin(this);
    await earlier.commit('e', performance.now());
    const transaction = await begin(this);
    this.connection.loseLog();
    this.outcome = await read(transaction);
  },
);

When(
  'a transaction begins, a write of another caller is confirmed and lost, and the transaction commits',
  async function (this: LossWorld) {
    const transaction = await begin(this);
    confirm(this, this.connection.offset + 1);
    this.outcome = await transaction.commit('c', performance.now());
  },
);

Then('the read succeeds', function (this: LossWorld) {
  assert.equal(this.outcome.kind, 'completed', JSON.stringify(this.outcome));
});

Then('the read is refused, as the transaction is lost', function (this: LossWorld) {
  assert.equal(this.outcome.kind, 'refused', JSON.stringify(this.outcome));
  assert.equal(this.outcome.refusal.reason, RefusalReason.TransactionLost);
});

Then('the commit is not confirmed', function (this: LossWorld) {
  assert.notEqual(this.outcome.kind, 'completed');
});
