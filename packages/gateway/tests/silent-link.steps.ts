import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Access, azId, Consistency, groupId, hostId } from '@gladespool/coordination';
import { createLogger } from '@gladespool/observability';
import type { PeerAddress } from '@gladespool/peers';
import { PeerNetwork } from '@gladespool/peers';
import { freePort, Silence, SilencingProxy } from '@gladespool/standins';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import { connect } from 'node:net';
import { GatewayBoard } from '../src/knowledge/board.js';
import { PeerCalls } from '../src/peering/peer-calls.js';
import { ForwardService } from '../src/forward/forward-service.js';
import { RemoteExecutor } from '../src/forward/remote-executor.js';
import type { Executor, OpenTransaction, StatementJob } from '../src/home/job.js';
import type { Outcome } from '../src/model/outcome.js';

interface LinkWorld {
  proxy: SilencingProxy;
  networks: PeerNetwork[];
  ticker: NodeJS.Timeout | undefined;
  remote: RemoteExecutor;
  home: CountingExecutor;
  linksLost: number;
}

const LOOPBACK = '127.0.0.1';
const TICK_MS = 10;
const POLL_MS = 5;
/** Far above the duration of a test, so that no statement ends by its timeout. */
const STATEMENT_MS = 600_000;
const IDLE_MS = 50;
const COMPLETED: Outcome = { kind: 'completed', rows: [], signature: 's', committed: undefined };

/** Home whose statements complete immediately, and which counts rollbacks. */
class CountingExecutor implements Executor, OpenTransaction {
  rolledBack = 0;

  run(): Promise<Outcome> {
    return Promise.resolve(COMPLETED);
  }

  begin(): Promise<Result<OpenTransaction, Outcome>> {
    return Promise.resolve(ok(this));
  }

  commit(): Promise<Outcome> {
    return Promise.resolve(COMPLETED);
  }

  rollback(): void {
    this.rolledBack += 1;
  }
}

function networkOf(host: string): PeerNetwork {
  return new PeerNetwork({
    identity: { host, az: 'z', key: Buffer.from('key'), incarnation: 1 },
    dial: (port, address) => connect(port, address),
    handshakeTimeoutMs: 10_000,
    onControlBytes: () => undefined,
    log: createLogger('test'),
  });
}

function jobOf(access: Access): StatementJob {
  const now = performance.now();
  const route = {
    database: 'db',
    group: groupId('g'),
    consistency: Consistency.Primary,
    maxStalenessMs: 0,
    timeoutMs: STATEMENT_MS,
    targetLatencyMs: STATEMENT_MS,
    priority: 1,
    isPublic: false,
  };
  const work = { kind: 'text', access, text: 'x' } as const;
  const times = { beganAt: now, arrivedAt: now };
  const session = { values: new Map<string, string>(), own: undefined, workspace: undefined };
  return { route, id: 'r', work, ...session, ...times };
}

function outcomeName(outcome: Outcome): string {
  return outcome.kind === 'refused' ? outcome.refusal.reason : outcome.kind;
}

async function openHome(world: LinkWorld): Promise<PeerAddress> {
  const network = networkOf('home');
  const board = new GatewayBoard(hostId('home'), azId('z'));
  board.putCatalog({
    version: 1,
    routes: new Map(),
    groups: new Map(),
    keys: undefined,
    workspaces: new Map(),
    transactionIdleMs: IDLE_MS,
  });
  world.home = new CountingExecutor();
  network.addHandler(new PeerCalls(network, createLogger('test')));
  network.addHandler(new ForwardService(world.home, board));
  const port = await freePort();
  await network.listen(LOOPBACK, port);
  world.networks.push(network);
  world.proxy = new SilencingProxy(port);
  await world.proxy.listen();
  return { host: 'home', address: LOOPBACK, port: world.proxy.port };
}

Given('a host that forwards to a home over a proxy', async function (this: LinkWorld) {
  this.networks = [];
  const home = await openHome(this);
  const network = networkOf('entry');
  this.networks.push(network);
  const calls = new PeerCalls(network, createLogger('test'));
  network.addHandler(calls);
  this.linksLost = 0;
  network.addHandler({
    onFrame: () => undefined,
    onLost: () => {
      this.linksLost += 1;
    },
  });
  this.ticker = setInterval(() => {
    calls.tick(performance.now());
  }, TICK_MS);
  this.remote = new RemoteExecutor(calls, home);
  assert.equal(outcomeName(await this.remote.run(jobOf(Access.Read))), 'completed');
});

Given('a transaction that it has begun there', async function (this: LinkWorld) {
  const opened = await this.remote.begin({ ...jobOf(Access.Write), readOnly: false });
  assert.ok(opened.isOk());
});

When('its open links go silent {string}', function (this: LinkWorld, direction: string) {
  const silence = Object.values(Silence).find((of) => of.valueOf() === direction);
  assert.ok(silence);
  this.proxy.goSilent(silence);
});

When('the proxy is gone, and it has noticed', async function (this: LinkWorld) {
  await this.proxy.stop();
  while (this.linksLost === 0) await pause(POLL_MS);
});

Then(
  'a read that it forwards ends as {string}, long before its time is over',
  async function (this: LinkWorld, end: string) {
    assert.equal(outcomeName(await this.remote.run(jobOf(Access.Read))), end);
  },
);

Then('a write that it forwards next completes', async function (this: LinkWorld) {
  assert.equal(outcomeName(await this.remote.run(jobOf(Access.Write))), 'completed');
});

Then('a write that it forwards ends as {string}', async function (this: LinkWorld, end: string) {
  assert.equal(outcomeName(await this.remote.run(jobOf(Access.Write))), end);
});

Then('the home rolls the transaction back', async function (this: LinkWorld) {
  while (this.home.rolledBack === 0) await pause(POLL_MS);
});

After(async function (this: Partial<LinkWorld>) {
  clearInterval(this.ticker);
  if (this.proxy !== undefined && this.networks !== undefined) {
    await Promise.all(this.networks.map((network) => network.stop()));
    await this.proxy.stop().catch(() => undefined);
  }
});
