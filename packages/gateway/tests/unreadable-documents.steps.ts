import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Then, When } from '@cucumber/cucumber';
import {
  azId,
  DEFAULT_AUTHORITY,
  groupId,
  hostId,
  RecordPhase,
  upstreamId,
} from '@gladespool/coordination';
import { PROMOTION_LEASE_KEY, hostKey, primaryKey, ReportedRole } from '../src/index.js';
import type { UpstreamEntry } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { host, killPrimary } from './fakes/action-world.js';
import { GROUP } from './fakes/fake-deployment.js';

interface UnreadableWorld extends ActionWorld {
  /** Revision of the unreadable value. */
  unreadableAt: number;
  unknownKeys: readonly string[];
}

const TIMEOUT = { timeout: 30_000 };
const POLL_MS = 2;
const UNREADABLE = 'not a document';
const STRAY_GROUP = groupId('stray');
const STRAY_UPSTREAM = upstreamId('stray-0');

function corrupt(world: UnreadableWorld, key: string): void {
  world.deployment.store.put(key, UNREADABLE);
  world.unreadableAt = world.deployment.store.revision;
}

When(
  "the record of the group is overwritten by what can't be read",
  function (this: UnreadableWorld) {
    corrupt(this, primaryKey(GROUP));
  },
);

When(
  "the promotion lease is overwritten by what can't be read, and the primary dies",
  TIMEOUT,
  async function (this: UnreadableWorld) {
    corrupt(this, PROMOTION_LEASE_KEY);
    await pause(100);
    killPrimary(this);
  },
);

When(
  "the entry of host {int} is overwritten by what can't be read",
  function (this: UnreadableWorld, index: number) {
    corrupt(this, hostKey(host(this, index).gateway.board.host));
  },
);

When(
  "{int} more hosts are listed by entries that can't be read",
  TIMEOUT,
  async function (this: UnreadableWorld, count: number) {
    this.unknownKeys = Array.from({ length: count }, (_, index) => hostKey(`unknown-${index}`));
    for (const key of this.unknownKeys) corrupt(this, key);
    const boards = this.deployment.hosts.map(({ gateway }) => gateway.board);
    await this.deployment.until(() =>
      boards.every((board) => board.unreadableHosts.size === count),
    );
  },
);

When("the entries that can't be read are removed", function (this: UnreadableWorld) {
  for (const key of this.unknownKeys) this.deployment.store.remove(key);
});

When(
  'the store holds a record and an upstream of a group that no configuration holds',
  function (this: UnreadableWorld) {
    const entry: UpstreamEntry = {
      id: STRAY_UPSTREAM,
      group: STRAY_GROUP,
      address: '127.0.0.1',
      port: 1,
      az: azId('z0'),
      role: ReportedRole.Primary,
      slots: 3,
      draining: false,
    };
    this.deployment.store.put(`upstream/${STRAY_UPSTREAM}`, entry);
    this.deployment.store.put(primaryKey(STRAY_GROUP), {
      group: STRAY_GROUP,
      epoch: 1,
      phase: RecordPhase.Serving,
      primary: upstreamId('gone'),
      holder: hostId('h0'),
    });
  },
);

When(
  "host {int} stops just after its entry was overwritten by what can't be read",
  TIMEOUT,
  async function (this: UnreadableWorld, index: number) {
    const { gateway } = host(this, index);
    const { board } = gateway;
    // A draining host does not register again.
    board.draining = true;
    corrupt(this, hostKey(board.host));
    await this.deployment.until(() => board.unreadableHosts.has(board.host));
    await gateway.drain();
  },
);

Then('the store lists {int} hosts', function (this: UnreadableWorld, count: number) {
  const keys = [...this.deployment.store.items.keys()];
  assert.equal(keys.filter((key) => key.startsWith(hostKey(''))).length, count);
});

Then(
  'the record has an epoch above the revision of what could not be read',
  function (this: UnreadableWorld) {
    const record = host(this, 0).gateway.board.record(GROUP);
    assert.ok(record !== undefined && record.epoch > this.unreadableAt, JSON.stringify(record));
  },
);

Then('the fence is above the revision of what could not be read', function (this: UnreadableWorld) {
  const [first] = this.deployment.group.promotions;
  assert.ok(first !== undefined && first.req.fence > this.unreadableAt);
});

Then(
  'host {int} lists itself again, and every host knows all {int}',
  TIMEOUT,
  async function (this: UnreadableWorld, index: number, count: number) {
    const { deployment } = this;
    const key = hostKey(host(this, index).gateway.board.host);
    await deployment.until(
      () => deployment.store.items.get(key)?.value !== JSON.stringify(UNREADABLE),
    );
    const boards = deployment.hosts.map(({ gateway }) => gateway.board);
    await deployment.until(() =>
      boards.every((board) => board.hosts.size === count && board.unreadableHosts.size === 0),
    );
  },
);

Then(
  'no promotion is requested by the time of the second claim',
  TIMEOUT,
  async function (this: UnreadableWorld) {
    const { deployment } = this;
    await deployment.until(() => (host(this, 0).gateway.board.record(GROUP)?.epoch ?? 0) >= 3);
    assert.deepEqual(deployment.group.promotions, []);
  },
);

Then(
  "the promotion is requested a proof's lifetime after the claim",
  TIMEOUT,
  async function (this: UnreadableWorld) {
    const { deployment } = this;
    const { board } = host(this, 0).gateway;
    await deployment.until(() => board.record(GROUP)?.phase === RecordPhase.Claimed);
    const claimedAt = performance.now();
    while (deployment.group.promotions.length === 0) await pause(POLL_MS);
    const [first] = deployment.group.promotions;
    // The delay until the claim is seen here is covered by the margin of the wait.
    assert.ok(first !== undefined && first.at - claimedAt >= DEFAULT_AUTHORITY.proofTtlMs);
  },
);

Then(
  'nothing of that group is probed, claimed or connected within {int} ms',
  TIMEOUT,
  async function (this: UnreadableWorld, ms: number) {
    const { deployment } = this;
    await pause(ms);
    const item = deployment.store.items.get(primaryKey(STRAY_GROUP));
    assert.match(item?.value ?? '', /"epoch":1/);
    for (const { gateway, driver } of deployment.hosts) {
      assert.equal(gateway.board.upstreams.has(STRAY_UPSTREAM), false);
      assert.equal(driver.connected.has(STRAY_UPSTREAM), false);
    }
  },
);
