import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Access, Consistency } from '@gladespool/coordination';
import type { BeginJob, LocalExecutor, Outcome } from '../src/index.js';
import { DATABASE, GROUP } from './fakes/fake-deployment.js';

interface LossWorld {
  connection: { offset: number };
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

When(
  'a transaction begins, a write of another caller is confirmed, and the transaction reads',
  async function (this: LossWorld) {
    const opened = await this.executor.begin(jobAt(performance.now()));
    this.connection.offset += 1;
    const { marks } = this.executor.home(GROUP);
    // As the answer of the other caller's write tells it.
    marks.add({ sentAt: performance.now(), position: { term: 1, offset: this.connection.offset } });
    const work = { kind: 'text', access: Access.Read, text: 'read' } as const;
    this.outcome = await opened
      ._unsafeUnwrap()
      .run({ id: 's', work, values: new Map(), arrivedAt: performance.now() });
  },
);

Then('the read succeeds', function (this: LossWorld) {
  assert.equal(this.outcome.kind, 'completed', JSON.stringify(this.outcome));
});
