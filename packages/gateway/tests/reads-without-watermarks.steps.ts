import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import type { UpstreamEntry } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, PRIMARY_KEY } from './fakes/action-world.js';
import { UPSTREAM_PREFIX } from './fakes/fake-documents.js';

interface ReadsWorld extends ActionWorld {
  /** Status requests to the primary after its time for new work, on all hosts. */
  statusRequests: number;
  results: Map<string, number>;
}

const TIMEOUT = { timeout: 30_000 };

When(
  'the store refuses changes, the primary reports draining, and hosts read for {int} ms after its time',
  TIMEOUT,
  async function (this: ReadsWorld, ms: number) {
    const { deployment } = this;
    const { store, hosts, servesOnMs = 0 } = deployment;
    const entry = JSON.parse(store.items.get(PRIMARY_KEY)?.value ?? '') as UpstreamEntry;
    store.put(PRIMARY_KEY, { ...entry, draining: true });
    store.readOnly = true;
    const endsAt = performance.now() + servesOnMs;
    this.results = new Map();
    await Promise.all(
      hosts.map(async (each) => {
        while (performance.now() < endsAt + ms) {
          const outcome = await deployment.run(each, 'READ x');
          const name = outcome.kind === 'refused' ? outcome.refusal.reason : outcome.kind;
          if (performance.now() > endsAt) this.results.set(name, (this.results.get(name) ?? 0) + 1);
          await pause(5);
        }
      }),
    );
    store.readOnly = false;
  },
);

Then(
  'most of these reads succeeded, since the replicas hold every commit',
  function (this: ReadsWorld) {
    const total = [...this.results.values()].reduce((sum, count) => sum + count, 0);
    const succeeded = this.results.get('completed') ?? 0;
    assert.ok(succeeded * 2 > total, JSON.stringify([...this.results]));
  },
);

When(
  'all upstreams of the group report draining, and {int} ms pass after their time',
  TIMEOUT,
  async function (this: ReadsWorld, ms: number) {
    const { store, group, servesOnMs = 0 } = this.deployment;
    for (const id of group.upstreams.keys()) {
      const key = `${UPSTREAM_PREFIX}${id}`;
      const entry = JSON.parse(store.items.get(key)?.value ?? '') as UpstreamEntry;
      store.put(key, { ...entry, draining: true });
    }
    await pause(servesOnMs);
    const from = performance.now();
    await pause(ms);
    this.statusRequests = group.received.filter(
      ({ upstream, kind, at }) => upstream === FORMER && kind === 'status' && at > from,
    ).length;
  },
);

Then(
  'the primary was asked for its status at most {int} times',
  function (this: ReadsWorld, count: number) {
    assert.ok(this.statusRequests <= count, String(this.statusRequests));
  },
);
