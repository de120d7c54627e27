import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import {
  Consistency,
  ExecutionStatus,
  executionStatusOf,
  RefusalReason,
  retryAfterMsOf,
} from '@gladespool/coordination';
import type { Outcome } from '../src/index.js';
import type { LocalExecutor } from '../src/home/local-executor.js';
import { DATABASE, GROUP } from './fakes/fake-deployment.js';
import type { FakeGroup } from './fakes/fake-group.js';

interface CommitWorld {
  group: FakeGroup;
  executor: LocalExecutor;
  endsAt: number;
  outcome: Outcome;
}

When(
  /^the begin of a transaction whose only statement is its commit needs (\d+) ms there$/,
  async function (this: CommitWorld, ms: string) {
    for (const { delaysMs } of this.group.upstreams.values()) delaysMs.set('begin', Number(ms));
    const now = performance.now();
    const route = {
      database: DATABASE,
      group: GROUP,
      consistency: Consistency.Primary,
      maxStalenessMs: 1500,
      timeoutMs: 3000,
      targetLatencyMs: 500,
      priority: 1,
      isPublic: true,
    };
    const opened = await this.executor.begin({
      route,
      id: 'b',
      values: new Map(),
      own: undefined,
      workspace: undefined,
      beganAt: now,
      arrivedAt: now,
      readOnly: false,
    });
    this.outcome = await opened._unsafeUnwrap().commit('c', now);
  },
);

Then('no upstream receives the commit after new work has ended', function (this: CommitWorld) {
  const late = this.group.received.filter(({ kind, at }) => kind === 'commit' && at >= this.endsAt);
  assert.deepEqual(
    late.map(({ kind, at }) => `${kind} ${String(Math.round(at - this.endsAt))} ms late`),
    [],
  );
});

Then('the commit is refused as not run, with a retry time', function (this: CommitWorld) {
  const { outcome } = this;
  assert.equal(outcome.kind, 'refused', JSON.stringify(outcome));
  assert.equal(outcome.refusal.reason, RefusalReason.UpstreamLeaving);
  assert.equal(executionStatusOf(outcome.refusal), ExecutionStatus.No);
  assert.ok(retryAfterMsOf(outcome.refusal) > 0);
});
