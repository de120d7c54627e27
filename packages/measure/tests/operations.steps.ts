import { setTimeout as pause } from 'node:timers/promises';
import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { connect } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Host } from '@gladespool/proxy';
import { publishBundle } from '@gladespool/operator';
import type { PublishOutcome } from '@gladespool/operator';
import {
  BUNDLE_HEAD_KEY,
  createOperatorKeys,
  decodeHead,
  encodeHead,
  partKey,
  readBundle,
  readManifest,
  signManifest,
  splitBundle,
} from '@gladespool/protocol';
import { StoreFault } from '@gladespool/standins';
import { summarizeError } from '../src/commands/error-summary.js';
import { generate } from 'selfsigned';
import { Deployment, until } from '../src/embedded/deployment.js';
import { Told } from '../src/history/history.js';
import { Caller } from '../src/load/caller.js';
import { outcomeOfError } from '../src/load/session-workload.js';
import type { DeploymentWorld } from './deployment-world.js';
import { callerOn, deploymentOf, GROUP, resultOf, timesInLog } from './deployment-world.js';
import { fetchThroughPortal, pipelineNamedStatements } from './extended-driver.js';

interface Load {
  stopped: boolean;
  readonly done: Promise<void>[];
  readonly confirmed: string[];
  readonly errors: string[];
  unknown: number;
}

interface OperationsWorld extends DeploymentWorld {
  load: Load;
  drained: Host;
  left: string;
  outcomes: string[];
  found: readonly string[];
  stranger: string;
  certificate: string;
}

// Load

Given(
  '{int} callers that write and read without pause, each on its own host',
  async function (this: OperationsWorld, count: number) {
    this.load = { stopped: false, done: [], confirmed: [], errors: [], unknown: 0 };
    for (let i = 0; i < count; i += 1) this.load.done.push(work(this, i));
    await until(() => this.load.confirmed.length > count);
  },
);

async function work(world: OperationsWorld, index: number): Promise<void> {
  const { load } = world;
  let token = '';
  for (let i = 0; !load.stopped; i += 1) {
    const { hosts } = deploymentOf(world);
    const host = hosts[(index + i) % hosts.length];
    let caller: Caller;
    try {
      caller = await Caller.connect({ port: host?.callers.port ?? 0, group: GROUP, token });
    } catch {
      continue;
    }
    await workOn(load, caller, `${index}-${i}`);
    token = caller.token;
    await Promise.race([caller.end().catch(() => undefined), pause(50)]);
  }
}

async function workOn(load: Load, caller: Caller, prefix: string): Promise<void> {
  for (let i = 0; i < 20 && !load.stopped && !caller.ended; i += 1) {
    const row = `${prefix}-${i}`;
    try {
      await caller.query(`INSERT INTO deeds (id, state) VALUES ('${row}', 'x')`);
      load.confirmed.push(row);
      await caller.query('SELECT state FROM deeds WHERE id = $1', [row]);
    } catch (error) {
      load.errors.push(summarizeError(error) || 'reconnect');
      if (summarizeError(error) !== '' && outcomeOfError(error) === Told.Unknown) load.unknown += 1;
    }
  }
}

async function endLoad(world: OperationsWorld): Promise<void> {
  world.load.stopped = true;
  await Promise.all(world.load.done);
}

When('a host is drained', async function (this: OperationsWorld) {
  const [host] = deploymentOf(this).hosts;
  assert.ok(host !== undefined);
  this.drained = host;
  deploymentOf(this).hosts.shift();
  await host.drain();
});

Then(
  'it stops, and no caller was told anything but {string} or a reconnect',
  async function (this: OperationsWorld, allowed: string) {
    await endLoad(this);
    assert.equal(this.drained.callers.callers, 0);
    const other = this.load.errors.filter((error) => error !== allowed && error !== 'reconnect');
    assert.deepEqual(other, []);
    assertConfirmedWritesExist(this);
  },
);

When('each host is drained and replaced in turn', async function (this: OperationsWorld) {
  const deployment = deploymentOf(this);
  for (const host of [...deployment.hosts]) {
    deployment.hosts.splice(deployment.hosts.indexOf(host), 1);
    await host.drain();
    const { az } = host.board;
    const fresh = await deployment.startHost(`${host.board.host}-next`, az);
    deployment.refreshHostList();
    await until(() => fresh.board.bundle !== undefined);
  }
});

Then(
  'no confirmed write is missing and no request ended unknown',
  async function (this: OperationsWorld) {
    await endLoad(this);
    assert.equal(this.load.unknown, 0, this.load.errors.join('; '));
    assertConfirmedWritesExist(this);
  },
);

function assertConfirmedWritesExist(world: OperationsWorld): void {
  const keys = new Set(
    deploymentOf(world)
      .primaryOf(GROUP)
      .node.entries.flatMap((entry) => entry.changes.map((change) => change.key)),
  );
  const missing = world.load.confirmed.filter((row) => !keys.has(row));
  assert.deepEqual(missing, []);
}

When('a bundle marks the primary as leaving', async function (this: OperationsWorld) {
  const deployment = deploymentOf(this);
  this.left = deployment.primaryOf(GROUP).node.id;
  await deployment.publish(deployment.bundleText({ [this.left]: 'leaving' }));
});

Then(
  'another upstream becomes primary without an unknown outcome or a refused request',
  async function (this: OperationsWorld) {
    const deployment = deploymentOf(this);
    await until(() => deployment.primaryOf(GROUP).node.id !== this.left);
    const before = this.load.confirmed.length;
    await until(() => this.load.confirmed.length > before + 20);
    await endLoad(this);
    assert.deepEqual(this.load.errors, []);
    assertConfirmedWritesExist(this);
  },
);

Then('soon no host has a request on the one that left', async function (this: OperationsWorld) {
  const server = deploymentOf(this)
    .upstreamsOf(GROUP)
    .find((candidate) => candidate.node.id === this.left);
  const caller = await callerOn(this, deploymentOf(this).hosts[0]);
  await until(() => server?.node.openTransactions === 0);
  for (let i = 0; i < 50; i += 1) await caller.query("SELECT state FROM deeds WHERE id = 'a'");
  assert.equal(server?.node.openTransactions, 0);
});

// Bundles

function versionsInForce(world: OperationsWorld): readonly number[] {
  return deploymentOf(world).hosts.map((host) => host.bundle.inForce);
}

async function untilEveryHostAt(world: OperationsWorld, version: number): Promise<void> {
  await until(() => versionsInForce(world).every((held) => held === version));
}

When(
  'version 2 is published, and then version 1 is put back into the store by hand',
  async function (this: OperationsWorld) {
    const deployment = deploymentOf(this);
    const store = deployment.storeClient();
    const first = (await store.read(BUNDLE_HEAD_KEY))._unsafeUnwrap();
    await deployment.publish(deployment.bundleText({}));
    await untilEveryHostAt(this, 2);
    const second = (await store.read(BUNDLE_HEAD_KEY))._unsafeUnwrap();
    const expected = second?.revision ?? 0;
    await store.swap([{ key: BUNDLE_HEAD_KEY, value: first?.value ?? '', expected }]);
    await store.close();
  },
);

Then('every host stays at version {int}', async function (this: OperationsWorld, version: number) {
  await untilEveryHostAt(this, version);
  const deployment = deploymentOf(this);
  const fresh = await deployment.startHost('az1-fresh', 'az1');
  await until(() => fresh.board.members.length > 1);
  for (let i = 0; i < 20; i += 1) {
    await pause(20);
    assert.ok(versionsInForce(this).every((held) => held === version || held === 0));
  }
});

async function publishNext(world: OperationsWorld, base: number, change: string): Promise<string> {
  const deployment = deploymentOf(world);
  const text = deployment.bundleText({}).replace(/base=\d+/, `base=${base}`);
  const bundle = readBundle('test', text.replace(/version=\d+/, 'version=2'))._unsafeUnwrap();
  const store = deployment.storeClient();
  const signatures = [deployment.sign(bundle)];
  const outcome = await publishBundle(store, { bundle, signatures, change });
  await store.close();
  if (outcome.isErr()) return 'failed';
  return nameOf(outcome.value);
}

function nameOf(outcome: PublishOutcome): string {
  return outcome.kind === 'published' ? 'published' : outcome.reason;
}

When(/^a bundle is published (.+)$/, async function (this: OperationsWorld, how: string) {
  const { store } = deploymentOf(this);
  this.outcomes = [];
  switch (how) {
    case 'from a version that is past':
      await publishNext(this, 1, 'winner');
      this.outcomes.push(await publishNext(this, 1, 'loser'));
      return;
    case 'twice with the same change':
      await publishNext(this, 1, 'same');
      this.outcomes.push(await publishNext(this, 1, 'same'));
      return;
    case 'while the store loses its reply': {
      store.setFault(StoreFault.ReplyLost);
      this.outcomes.push(await publishNext(this, 1, 'lost'));
      store.setFault(StoreFault.None);
      return;
    }
    case 'by two operators at once': {
      const both = [publishNext(this, 1, 'one'), publishNext(this, 1, 'two')];
      const outcomes = [...(await Promise.all(both))].sort();
      assert.deepEqual(outcomes, ['published', 'stale-base']);
      this.outcomes.push('one of two');
      return;
    }
    default:
      this.outcomes.push(await publishNext(this, 1, 'plain'));
  }
});

Then(
  'the outcome is {string} and the store holds version {int}',
  async function (this: OperationsWorld, outcome: string, version: number) {
    assert.equal(this.outcomes[0], outcome);
    const store = deploymentOf(this).storeClient();
    const held = (await store.read(BUNDLE_HEAD_KEY))._unsafeUnwrap();
    await store.close();
    const head = decodeHead(held?.value ?? '');
    assert.equal(head && readManifest(head.manifest)?.version, version);
  },
);

When(
  'version 2 signed by a stranger is put into the store by hand',
  async function (this: OperationsWorld) {
    const deployment = deploymentOf(this);
    const bundle = readBundle('test', deployment.bundleText({}))._unsafeUnwrap();
    const { manifest, parts } = splitBundle(bundle);
    const keys = createOperatorKeys();
    const { signature } = signManifest(manifest, 'alice', keys.privateKey);
    const signatures = [{ operator: 'alice', signature: signature.toString('base64') }];
    const value = encodeHead({ manifest, signatures, change: 'stranger', chain: [], fresh: [] });
    const store = deployment.storeClient();
    for (const part of parts) {
      await store.swap([{ key: partKey(part.hash), value: part.text, expected: 0 }]);
    }
    const held = (await store.read(BUNDLE_HEAD_KEY))._unsafeUnwrap();
    await store.swap([{ key: BUNDLE_HEAD_KEY, value, expected: held?.revision ?? 0 }]);
    await store.close();
  },
);

When(
  'version 2 names a new operator, and the new operator signs version 3',
  async function (this: OperationsWorld) {
    const deployment = deploymentOf(this);
    await deployment.publish(deployment.bundleText({}), 'bob');
    await untilEveryHostAt(this, 2);
    await deployment.publish(deployment.bundleText({}), 'bob');
  },
);

Then(
  'every host has version {int} in force',
  async function (this: OperationsWorld, version: number) {
    await untilEveryHostAt(this, version);
  },
);

Then(
  'a host that starts with the first operator in its settings has version {int} in force',
  async function (this: OperationsWorld, version: number) {
    const fresh = await deploymentOf(this).startHost('az2-fresh', 'az2');
    await until(() => fresh.bundle.inForce === version);
  },
);

Then(
  'a version 4 signed by the withdrawn operator is refused by every host',
  async function (this: OperationsWorld) {
    const deployment = deploymentOf(this);
    await deployment.publish(deployment.bundleText({}), 'bob', 'alice');
    const store = deployment.storeClient();
    const held = (await store.read(BUNDLE_HEAD_KEY))._unsafeUnwrap();
    await store.close();
    assert.equal(readManifest(decodeHead(held?.value ?? '')?.manifest ?? '')?.version, 4);
    for (let i = 0; i < 20; i += 1) {
      await pause(20);
      assert.ok(versionsInForce(this).every((version) => version === 3));
    }
  },
);

When(
  'version 2 is published and the store goes down before any relay can read a part',
  async function (this: OperationsWorld) {
    const deployment = deploymentOf(this);
    const text = deployment.bundleText({});
    deployment.store.refuseReadsAfterHead = true;
    await deployment.publish(
      text.replace(/connections_per_upstream=\d+/, 'connections_per_upstream=30'),
    );
  },
);

When(
  'a zone is cut off and versions 2 and 3 are published',
  async function (this: OperationsWorld) {
    const deployment = deploymentOf(this);
    deployment.network.isolate('az3', ['az1', 'az2', 'platform']);
    await deployment.publish(deployment.bundleText({}));
    await deployment.publish(deployment.bundleText({}));
  },
);

Then(
  'the hosts of the zone stay at version {int} and the others have version {int}',
  async function (this: OperationsWorld, cut: number, others: number) {
    const { hosts } = deploymentOf(this);
    const isCut = (host: Host): boolean => String(host.board.az) === 'az3';
    await until(() => hosts.every((host) => host.bundle.inForce === (isCut(host) ? cut : others)));
  },
);

Then(
  'after healing every host has version {int} in force',
  async function (this: OperationsWorld, version: number) {
    deploymentOf(this).network.heal();
    await untilEveryHostAt(this, version);
  },
);

// Bad input

When(/^a stranger sends (.+)$/, async function (this: OperationsWorld, input: string) {
  const port = deploymentOf(this).hosts[0]?.callers.port ?? 0;
  switch (input) {
    case 'a wrong password':
      await resultOf(Caller.connect({ port, group: GROUP, password: 'wrong' }));
      return;
    case 'a message of 100 MB after logging in': {
      const caller = await callerOn(this, deploymentOf(this).hosts[0]);
      caller.sendRaw(Buffer.from([0x51, 0x06, 0x00, 0x00, 0x00]));
      await until(() => caller.ended);
      return;
    }
    case 'a start-up packet cut short':
      await sendAndWait(port, Buffer.from([0, 0, 0, 90, 0, 3, 0, 0, 0x75]));
      return;
    case '20000 bytes before logging in': {
      const packet = Buffer.alloc(20_000, 0x61);
      packet.writeInt32BE(30_000, 0);
      await sendAndWait(port, packet);
      return;
    }
    default: {
      const packet = Buffer.concat([
        Buffer.from([0, 0, 0, 40, 0, 3, 0, 0]),
        Buffer.alloc(32, 0x61),
      ]);
      await sendAndWait(port, packet);
    }
  }
});

async function sendAndWait(port: number, bytes: Buffer): Promise<void> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => socket.once('close', resolve));
  socket.write(bytes);
  socket.resume();
  await closed;
}

Then(
  'the fault {string} is counted and another caller is served',
  async function (this: OperationsWorld, fault: string) {
    const [host] = deploymentOf(this).hosts;
    await until(async () => (await faultCount(host, fault)) > 0);
    await assertServed(this);
  },
);

async function faultCount(host: Host | undefined, fault: string): Promise<number> {
  const counted = await host?.metrics.callerFaults.get();
  return counted?.values.find(({ labels }) => labels.fault === fault)?.value ?? 0;
}

async function assertServed(world: OperationsWorld): Promise<void> {
  const caller = await callerOn(world, deploymentOf(world).hosts[0]);
  const sql = `INSERT INTO deeds (id, state) VALUES ('served', 'x')`;
  assert.equal(await resultOf(caller.query(sql)), 'ok');
  assert.equal(timesInLog(deploymentOf(world), 'deeds', 'served'), 1);
}

When(
  'strangers send random bytes and handshakes with a wrong key to the peer port',
  async function (this: OperationsWorld) {
    const port = deploymentOf(this).hosts[0]?.network.port ?? 0;
    for (let i = 0; i < 20; i += 1) {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(64);
      await sendAndWait(port, Buffer.concat([length, randomBytes(64)]));
    }
    const huge = Buffer.alloc(4, 0xff);
    await sendAndWait(port, huge);
  },
);

Then('their links are closed and another caller is served', async function (this: OperationsWorld) {
  await assertServed(this);
});

Then(
  'logging in with token {string} is refused with {string}',
  async function (this: OperationsWorld, token: string, told: string) {
    const port = deploymentOf(this).hosts[0]?.callers.port ?? 0;
    assert.equal(await resultOf(Caller.connect({ port, group: GROUP, token })), told);
  },
);

Then(
  'logging in to group {string} is refused with {string}',
  async function (this: OperationsWorld, group: string, told: string) {
    const port = deploymentOf(this).hosts[0]?.callers.port ?? 0;
    assert.equal(await resultOf(Caller.connect({ port, group })), told);
  },
);

Then(
  'setting a token of another user is refused with {string} and the connection goes on',
  async function (this: OperationsWorld, told: string) {
    const caller = await callerOn(this, deploymentOf(this).hosts[0]);
    assert.equal(await resultOf(caller.adoptToken('AAAA')), told);
    assert.equal(await resultOf(caller.query("SELECT state FROM deeds WHERE id = 'a'")), 'ok');
  },
);

When(
  '{int} connections are opened that never log in',
  async function (this: OperationsWorld, count: number) {
    const port = deploymentOf(this).hosts[0]?.callers.port ?? 0;
    const opened = Array.from({ length: count }, () => sendAndWait(port, Buffer.alloc(0)));
    await assertServed(this);
    await Promise.all(opened);
  },
);

Then(
  'another caller is served, and all of them are closed and counted',
  async function (this: OperationsWorld) {
    const [host] = deploymentOf(this).hosts;
    assert.ok((await faultCount(host, 'login-timeout')) >= 1000);
  },
);

// TLS

Given('hosts with a certificate', async function (this: OperationsWorld) {
  const running = deploymentOf(this);
  await running.stop();
  const pair = await selfsigned();
  this.certificate = pair.cert;
  const tls = { key: Buffer.from(pair.private), cert: Buffer.from(pair.cert) };
  this.running = new Deployment({ ...running.options, tls });
  await this.running.start();
});

Then(
  'a caller that trusts it is served over TLS, and one that trusts another is not',
  async function (this: OperationsWorld) {
    const port = deploymentOf(this).hosts[0]?.callers.port ?? 0;
    const { certificate } = this;
    const caller = await Caller.connect({ port, group: GROUP, certificate });
    this.callers.push(caller);
    assert.ok(caller.encrypted);
    const sql = "INSERT INTO deeds (id, state) VALUES ('tls', 'signed')";
    assert.equal(await resultOf(caller.query(sql)), 'ok');
    const other = (await selfsigned()).cert;
    await assert.rejects(Caller.connect({ port, group: GROUP, certificate: other }));
  },
);

Then('a caller without TLS is served', async function (this: OperationsWorld) {
  await assertServed(this);
});

function selfsigned(): ReturnType<typeof generate> {
  const altNames = [{ type: 7 as const, ip: '127.0.0.1' }];
  const extensions = [{ name: 'subjectAltName' as const, altNames }];
  return generate([{ name: 'commonName', value: 'test' }], { extensions });
}

// Protocol

Then(
  '{string} is told {string} and the connection goes on',
  async function (this: OperationsWorld, sql: string, told: string) {
    const caller = await callerOn(this, deploymentOf(this).hosts[0]);
    assert.equal(await resultOf(caller.query(sql)), told);
    assert.equal(await resultOf(caller.query("SELECT state FROM deeds WHERE id = 'a'")), 'ok');
  },
);

When(
  'a driver pipelines {int} writes and reads of named statements',
  async function (this: OperationsWorld, count: number) {
    const caller = await callerOn(this, deploymentOf(this).hosts[0]);
    this.found = await pipelineNamedStatements(caller, count);
  },
);

Then('every read finds the write before it', function (this: OperationsWorld) {
  assert.deepEqual(
    this.found,
    this.found.map((_, index) => `v${index}`),
  );
  assert.ok(this.found.length > 0);
});

When(
  'a driver fetches {int} rows {int} at a time by a portal',
  async function (this: OperationsWorld, count: number, size: number) {
    const caller = await callerOn(this, deploymentOf(this).hosts[0]);
    for (let i = 0; i < count; i += 1) {
      await caller.query(`INSERT INTO deeds (id, state) VALUES ('p${i}', 'v${i}')`);
    }
    this.found = await fetchThroughPortal(caller, size);
  },
);

Then('it gets all {int} in order', function (this: OperationsWorld, count: number) {
  assert.deepEqual(
    this.found,
    Array.from({ length: count }, (_, index) => `v${index}`),
  );
});
