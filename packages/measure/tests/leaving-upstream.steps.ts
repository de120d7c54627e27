import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { ConnectionAvailability, Priority } from '@gladespool/coordination';
import type { UpstreamConnection } from '@gladespool/upstreams';
import type { ConnectionPool, Lease } from '@gladespool/pool';
import { until } from '../src/embedded/deployment.js';
import type { Caller } from '../src/load/caller.js';
import type { DeploymentWorld } from './deployment-world.js';
import {
  callerOn,
  deploymentOf,
  GROUP,
  hostsByPrimary,
  LONG_DEADLINE_MS,
  resultOf,
} from './deployment-world.js';

type Pool = ConnectionPool<UpstreamConnection>;

interface LeavingWorld extends DeploymentWorld {
  left: string;
  leases: Lease<UpstreamConnection>[];
  caller: Caller;
  begun: Promise<string>;
}

const MS_PER_S = 1000;
/** Exceeds the time after which any home starts a handover that it takes for unfinished, milliseconds. */
const SETTLED_MS = 4000;
/** Exceeds the time after which a new home may hold its full share of connections, milliseconds. */
const FULL_SHARE_MS = 1500;
const DEADLINE = `/*deadline_ms='${LONG_DEADLINE_MS}'*/`;

When('the hosts of zone {string} lose the store', function (this: LeavingWorld, zone: string) {
  deploymentOf(this).network.isolate(zone, ['platform']);
});

When('one replica is stopped', async function (this: LeavingWorld) {
  const deployment = deploymentOf(this);
  const primary = deployment.primaryOf(GROUP);
  await deployment
    .upstreamsOf(GROUP)
    .find((server) => server !== primary)
    ?.stop();
});

Then(
  'another upstream is primary within {int} s',
  async function (this: LeavingWorld, seconds: number) {
    await until(() => isHandedOver(this), seconds * MS_PER_S);
  },
);

Then('the primary stays with the same term afterwards', async function (this: LeavingWorld) {
  const { node } = deploymentOf(this).primaryOf(GROUP);
  const { term } = node;
  await pause(SETTLED_MS);
  assert.equal(deploymentOf(this).primaryOf(GROUP).node, node);
  assert.equal(node.term, term);
});

// Waits for a connection

Given(
  /^every connection of the homes to (a replica|the primary) is in use$/,
  async function (this: LeavingWorld, upstream: string) {
    const deployment = deploymentOf(this);
    const { far } = hostsByPrimary(deployment);
    const { az } = far[0]?.board ?? {};
    const near = deployment.upstreams.find((placed) => placed.az === String(az));
    const server = upstream === 'a replica' ? near?.server : deployment.primaryOf(GROUP);
    this.left = server?.node.id ?? '';
    this.leases = [];
    const fullAt = performance.now() + FULL_SHARE_MS;
    await until(async () => {
      for (const pool of poolsOf(this)) await lease(this, pool);
      return performance.now() > fullAt;
    });
  },
);

When(
  'a caller sends {string}, which waits for one of them',
  async function (this: LeavingWorld, statement: string) {
    this.caller = await callerOn(this, hostsByPrimary(deploymentOf(this)).far[0]);
    this.begun = resultOf(this.caller.query(`${statement} ${DEADLINE}`));
    await until(() => waitingOf(this) === 1);
  },
);

When('a bundle marks that upstream as leaving', async function (this: LeavingWorld) {
  const deployment = deploymentOf(this);
  await deployment.publish(deployment.bundleText({ [this.left]: 'leaving' }));
});

When(
  /^(every host has the bundle|another upstream is primary), and the connections are free again$/,
  async function (this: LeavingWorld, event: string) {
    await deploymentOf(this).waitUntilReady();
    if (event === 'another upstream is primary') await until(() => isKnownEverywhere(this));
    assert.equal(waitingOf(this), 1);
    for (const held of this.leases) held.release();
  },
);

Then('the transaction is begun on another upstream', async function (this: LeavingWorld) {
  assert.equal(await this.begun, 'ok');
  const used = deploymentOf(this)
    .upstreamsOf(GROUP)
    .filter(({ node }) => node.openTransactions > 0);
  assert.equal(used.length, 1);
  assert.notEqual(used[0]?.node.id, this.left);
});

Then(
  "the caller's transaction ends with {string} and is told {string}",
  async function (this: LeavingWorld, statement: string, told: string) {
    assert.equal(await resultOf(this.caller.query(statement)), told);
    assert.equal(await resultOf(this.caller.query('COMMIT')), told);
  },
);

function isHandedOver(world: LeavingWorld): boolean {
  return deploymentOf(world).primaryOf(GROUP).node.id !== world.left;
}

function isKnownEverywhere(world: LeavingWorld): boolean {
  return deploymentOf(world).hosts.every(({ board }) => {
    const { record } = board.record(GROUP as never) ?? {};
    return record !== undefined && String(record.primary) !== world.left;
  });
}

function poolsOf(world: LeavingWorld): readonly Pool[] {
  return deploymentOf(world).hosts.flatMap((host) => {
    const home = host.homes.home(GROUP as never);
    const spec = home?.spec?.upstreams.find((upstream) => String(upstream.id) === world.left);
    return home === undefined || spec === undefined ? [] : [home.pool(spec)];
  });
}

/** Leases every connection that the pool has or may open. */
async function lease(world: LeavingWorld, pool: Pool): Promise<void> {
  while (pool.reuseFor(undefined) !== ConnectionAvailability.Full) {
    const leased = await pool.acquire(Priority.Outcome, performance.now(), LONG_DEADLINE_MS);
    world.leases.push(leased._unsafeUnwrap());
  }
}

function waitingOf(world: LeavingWorld): number {
  return poolsOf(world).reduce((sum, pool) => sum + pool.queued, 0);
}
