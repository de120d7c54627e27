import assert from 'node:assert/strict';
import { setImmediate as turn } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { WorkspaceId } from '@gladespool/coordination';
import { gladespoolError, Priority, Step, workspaceId } from '@gladespool/coordination';
import type { Lease, PoolConnection } from '../src/index.js';
import { ConnectionPool } from '../src/index.js';
import { err, ok } from 'neverthrow';

interface PoolWorld {
  pool: ConnectionPool<PoolConnection>;
  leases: Map<string, Lease<PoolConnection>>;
  served: string[];
  refused: string[];
  dials: number;
  /** Workspaces for which connections were opened, in order. */
  dialed: (WorkspaceId | undefined)[];
  isFull: boolean;
}

const BEYOND_NOW_MS = 1000;
/** Longer than any wait in these tests, milliseconds. */
const WAIT_MS = 600_000;
/** Turns of the event loop after which the effects of an event are complete. */
const SETTLE_TURNS = 5;

function createConnection(): PoolConnection {
  return { usable: true, reusable: true, close: () => undefined };
}

Given('a pool of {int} connections', function (this: PoolWorld, maxConnections: number) {
  this.leases = new Map();
  this.served = [];
  this.refused = [];
  this.dials = 0;
  this.dialed = [];
  this.isFull = false;
  const failure = gladespoolError({ step: Step.UpstreamConnect, peer: 'u' }, 'full');
  this.pool = new ConnectionPool(
    (owner) => {
      this.dials += 1;
      this.dialed.push(owner);
      return Promise.resolve(this.isFull ? err(failure) : ok(createConnection()));
    },
    { maxConnections, maxWaiting: 10 },
    () => undefined,
  );
});

/** Acquires a connection: `w.NAME` for workspace w, a name without a dot for none. */
async function acquire(world: PoolWorld, name: string): Promise<void> {
  const owner = name.includes('.') ? workspaceId(name.split('.')[0] ?? '') : undefined;
  const lease = await world.pool.acquire(Priority.Outcome, performance.now(), WAIT_MS, owner);
  if (lease.isErr()) {
    world.refused.push(name);
    return;
  }
  world.served.push(name);
  world.leases.set(name, lease.value);
}

function applyEvent(world: PoolWorld, event: string): void {
  const [what, name = ''] = event.split(':');
  switch (what) {
    case 'ask':
      void acquire(world, name);
      return;
    case 'back':
      world.leases.get(name)?.release();
      return;
    case 'full':
      world.isFull = true;
      return;
    case 'close-idle':
      world.pool.closeIdle(performance.now() + BEYOND_NOW_MS);
      return;
    default:
      assert.fail(`unknown event ${event}`);
  }
}

When('these events occur: {string}', async function (this: PoolWorld, events: string) {
  for (const event of events.split(',')) {
    applyEvent(this, event);
    for (let turns = 0; turns < SETTLE_TURNS; turns += 1) await turn();
  }
});

Then(
  'the served requests are {string} and the refused ones {string}',
  function (this: PoolWorld, served: string, refused: string) {
    assert.equal(this.served.join(','), served);
    assert.equal(this.refused.join(','), refused);
    this.pool.stop();
  },
);

Then('{int} connections are open', function (this: PoolWorld, count: number) {
  assert.equal(this.pool.connections, count);
});

Then('the upstream was dialed {int} times', function (this: PoolWorld, dials: number) {
  assert.equal(this.dials, dials);
});

Then(
  'the served requests are {string} and connections were opened for {string}',
  function (this: PoolWorld, served: string, dialed: string) {
    assert.equal(this.served.join(','), served);
    assert.equal(this.dialed.join(','), dialed);
    this.pool.stop();
  },
);
