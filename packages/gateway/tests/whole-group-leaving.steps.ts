import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import type { UpstreamId } from '@gladespool/coordination';
import type { UpstreamEntry } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { UPSTREAM_PREFIX } from './fakes/fake-documents.js';

interface WholeWorld extends ActionWorld {
  counts: Map<string, number>;
  longestMs: number;
}

const TIMEOUT = { timeout: 30_000 };
/** Lag of a replica, milliseconds. */
const LAG_MS = 300;

/** Makes the upstreams report that they are draining; a former primary becomes a replica of the new one. */
function drain({ deployment }: WholeWorld, ids: Iterable<UpstreamId>): void {
  const { store, group } = deployment;
  for (const id of ids) {
    const key = `${UPSTREAM_PREFIX}${id}`;
    const entry = JSON.parse(store.items.get(key)?.value ?? '') as UpstreamEntry;
    store.put(key, { ...entry, draining: true });
  }
  group.onPromotion = ({ upstream: chosen }) => {
    for (const upstream of group.upstreams.values()) {
      if (upstream.id !== chosen) upstream.isPrimary = false;
    }
  };
}

async function writeFor(world: WholeWorld, ms: number): Promise<void> {
  const { deployment } = world;
  const until = performance.now() + ms;
  world.counts = new Map();
  world.longestMs = 0;
  await Promise.all(
    deployment.hosts.map(async (each) => {
      while (performance.now() < until) {
        const at = performance.now();
        const outcome = await deployment.run(each, 'WRITE x');
        world.longestMs = Math.max(world.longestMs, performance.now() - at);
        const name = outcome.kind === 'refused' ? outcome.refusal.reason : outcome.kind;
        world.counts.set(name, (world.counts.get(name) ?? 0) + 1);
        await pause(5);
      }
    }),
  );
}

When(
  'all upstreams of the group report draining, and hosts write for {int} ms',
  TIMEOUT,
  async function (this: WholeWorld, ms: number) {
    drain(this, this.deployment.group.upstreams.keys());
    await writeFor(this, ms);
  },
);

When(
  'one replica {word}, all other upstreams report draining, and hosts write for {int} ms',
  TIMEOUT,
  async function (this: WholeWorld, fault: 'fails' | 'lags', ms: number) {
    const { upstreams } = this.deployment.group;
    const [replica, ...others] = [...upstreams.values()].reverse();
    assert.ok(replica);
    if (fault === 'fails') replica.dead = true;
    else replica.lagMs = LAG_MS;
    drain(
      this,
      others.map(({ id }) => id),
    );
    await writeFor(this, ms);
  },
);

When('one replica reports draining no more', function (this: WholeWorld) {
  const { store, group } = this.deployment;
  const replica = [...group.upstreams.values()].find(({ isPrimary }) => !isPrimary);
  assert.ok(replica);
  const key = `${UPSTREAM_PREFIX}${replica.id}`;
  const entry = JSON.parse(store.items.get(key)?.value ?? '') as UpstreamEntry;
  store.put(key, { ...entry, draining: false });
});

Then('the primary was changed at most once', function (this: WholeWorld) {
  const { promotions } = this.deployment.group;
  const first = promotions[0]?.at ?? 0;
  const told = promotions.map(({ req, at }) => `${req.upstream}@${String(Math.round(at - first))}`);
  assert.ok(
    promotions.length <= 1,
    `${told.join(' ')}; writes ${JSON.stringify([...this.counts])}, longest ${String(Math.round(this.longestMs))} ms`,
  );
});

Then('the primary was changed once while hosts wrote', function (this: WholeWorld) {
  assert.equal(this.deployment.group.promotions.length, 1);
});
