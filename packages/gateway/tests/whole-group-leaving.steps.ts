import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import type { UpstreamEntry } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { UPSTREAM_PREFIX } from './fakes/fake-documents.js';

interface WholeWorld extends ActionWorld {
  counts: Map<string, number>;
  longestMs: number;
}

const TIMEOUT = { timeout: 30_000 };

When(
  'all upstreams of the group report draining, and hosts write for {int} ms',
  TIMEOUT,
  async function (this: WholeWorld, ms: number) {
    const { store, group, hosts } = this.deployment;
    for (const id of group.upstreams.keys()) {
      const key = `${UPSTREAM_PREFIX}${id}`;
      const entry = JSON.parse(store.items.get(key)?.value ?? '') as UpstreamEntry;
      store.put(key, { ...entry, draining: true });
    }
    // As on the pages: the former primary becomes a replica and follows the new one.
    group.onPromotion = ({ upstream: chosen }) => {
      for (const upstream of group.upstreams.values()) {
        if (upstream.id !== chosen) upstream.isPrimary = false;
      }
    };
    const until = performance.now() + ms;
    this.counts = new Map();
    this.longestMs = 0;
    await Promise.all(
      hosts.map(async (each) => {
        while (performance.now() < until) {
          const at = performance.now();
          const outcome = await this.deployment.run(each, 'WRITE x');
          this.longestMs = Math.max(this.longestMs, performance.now() - at);
          const name = outcome.kind === 'refused' ? outcome.refusal.reason : outcome.kind;
          this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
          await pause(5);
        }
      }),
    );
  },
);

Then('the primary was changed at most once', function (this: WholeWorld) {
  const { promotions } = this.deployment.group;
  const first = promotions[0]?.at ?? 0;
  const told = promotions.map(({ req, at }) => `${req.upstream}@${String(Math.round(at - first))}`);
  assert.ok(
    promotions.length <= 1,
    `${told.join(' ')}; writes ${JSON.stringify([...this.counts])}, longest ${String(Math.round(this.longestMs))} ms`,
  );
});
