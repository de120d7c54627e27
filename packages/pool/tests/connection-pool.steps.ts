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
  /** Workspaces for which connections were opened, in turn. */
  dialed: (WorkspaceId | undefined)[];
  isFull: boolean;
}

const NOW = 1000;
/** Nobody waits that long in a test. */
const WAIT_MS = 600_000;
/** Turns of the event loop that settle what an event has set off. */
const TURNS = 5;

function connectionOf(): PoolConnection {
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
      return Promise.resolve(this.isFull ? err(failure) : ok(connectionOf()));
    },
    { maxConnections, maxWaiting: 10 },
    () => undefined,
  );
});

/** `w.NAME` asks for workspace w, a name without a dot for none. */
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

function play(world: PoolWorld, event: string): void {
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
      world.pool.closeIdle(performance.now() + NOW);
      return;
    default:
      assert.fail(`unknown event ${event}`);
  }
}

When('this happens to it: {string}', async function (this: PoolWorld, events: string) {
  for (const event of events.split(',')) {
    play(this, event);
    for (let turns = 0; turns < TURNS; turns += 1) await turn();
  }
});

Then(
  'those served are {string} and those refused {string}',
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
  'those served are {string} and connections were opened for {string}',
  function (this: PoolWorld, served: string, dialed: string) {
    assert.equal(this.served.join(','), served);
    assert.equal(this.dialed.join(','), dialed);
    this.pool.stop();
  },
);
