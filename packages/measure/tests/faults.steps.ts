import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Host } from '@gladespool/proxy';
import { StoreFault } from '@gladespool/standins';
import { until } from '../src/embedded/deployment.js';
import { Caller } from '../src/load/caller.js';
import type { DeploymentWorld } from './deployment-world.js';
import {
  callerOn,
  deploymentOf,
  GROUP,
  hostsByPrimary,
  isolate,
  LONG_DEADLINE_MS,
  resultOf,
  startDeployment,
  timesInLog,
} from './deployment-world.js';

interface FaultWorld extends DeploymentWorld {
  told: string[];
  rows: string[];
  token: string;
  caller: Caller;
  host: Host;
}

const DEADLINE = `/*deadline_ms='${LONG_DEADLINE_MS}'*/`;

Given('a deployment with quick settings', async function (this: FaultWorld) {
  await startDeployment(this);
  this.told = [];
  this.rows = [];
});

// At most once

function insertWithRequestId(row: string): string {
  const comment = `/*request_id='q1',repeatable='no',deadline_ms='${LONG_DEADLINE_MS}'*/`;
  return `INSERT INTO consents (id, state) VALUES ('${row}', 'given') ${comment}`;
}

When(/^a request with an id is sent, (.+)$/, async function (this: FaultWorld, moment: string) {
  const deployment = deploymentOf(this);
  const { near } = hostsByPrimary(deployment);
  const first = await callerOn(this, near[0]);
  const sending = resultOf(first.query(insertWithRequestId('first')));
  if (moment === "and its caller's connection is lost") {
    await until(() => timesInLog(deployment, 'consents', 'first') > 0);
    await first.end();
  }
  if (moment !== 'at the same time as the second') await sending;
  if (moment === 'and the primary is stopped after it') await deployment.primaryOf(GROUP).stop();
});

When('the same id is sent again on a host of another zone', async function (this: FaultWorld) {
  const { far } = hostsByPrimary(deploymentOf(this));
  const second = await callerOn(this, far[0]);
  this.told.push(await resultOf(second.query(insertWithRequestId('second'))));
});

Then('the second sending is told {string}', function (this: FaultWorld, told: string) {
  assert.equal(this.told[0], told);
});

Then('exactly one of the two stands in the log', function (this: FaultWorld) {
  const deployment = deploymentOf(this);
  const standing = ['first', 'second'].map((row) => timesInLog(deployment, 'consents', row));
  assert.deepEqual([...standing].sort(), [0, 1]);
});

When('{int} sendings of one id start at once', async function (this: FaultWorld, count: number) {
  const { hosts } = deploymentOf(this);
  const opening = Array.from({ length: count }, (_, index) =>
    callerOn(this, hosts[index % hosts.length]),
  );
  const callers = await Promise.all(opening);
  const sendings = callers.map((caller, index) =>
    resultOf(caller.query(insertWithRequestId(`r${index}`))),
  );
  this.told = await Promise.all(sendings);
  this.rows = callers.map((_, index) => `r${index}`);
});

Then(
  'exactly one stands in the log and all {int} get the same answer',
  function (this: FaultWorld, count: number) {
    const deployment = deploymentOf(this);
    const standing = this.rows.filter((row) => timesInLog(deployment, 'consents', row) > 0);
    assert.equal(standing.length, 1);
    assert.deepEqual(
      this.told,
      Array.from({ length: count }, () => 'ok'),
    );
  },
);

Given('ids are kept for 1 s', async function (this: FaultWorld) {
  await deploymentOf(this).stop();
  await startDeployment(this, 2, { upstream: { ledger_keep_ms: 1000 } });
});

Then('its id is in the ledger at once, and soon forgotten', async function (this: FaultWorld) {
  const { tables } = deploymentOf(this).primaryOf(GROUP).node;
  assert.ok(tables.get('gladespool_requests', 'q1') !== undefined);
  await until(() => tables.get('gladespool_requests', 'q1') === undefined);
});

// Partitioned zones

When("the primary's zone is cut off", function (this: FaultWorld) {
  const deployment = deploymentOf(this);
  const { near, far, az } = hostsByPrimary(deployment);
  assert.ok(near.length > 0 && far.length > 0);
  this.host = firstOf(near);
  isolate(deployment, az);
});

Then(
  'a write in the cut-off zone is told one of {string}',
  async function (this: FaultWorld, allowed: string) {
    const caller = await callerOn(this, this.host);
    for (let i = 0; i < 5; i += 1) {
      const row = `cut${i}`;
      const sql = `INSERT INTO deeds (id, state) VALUES ('${row}', 'x') /*deadline_ms='700'*/`;
      const told = await resultOf(caller.query(sql));
      assert.ok(allowed.split(', ').includes(told), told);
      if (told.endsWith(' no')) this.rows.push(row);
    }
  },
);

Then('a write elsewhere is confirmed', async function (this: FaultWorld) {
  const { az } = this.host.board;
  const elsewhere = deploymentOf(this).hosts.find((host) => host.board.az !== az);
  const caller = await callerOn(this, elsewhere);
  const sql = `INSERT INTO deeds (id, state) VALUES ('elsewhere', 'signed') ${DEADLINE}`;
  assert.equal(await resultOf(caller.query(sql)), 'ok');
});

Then(
  'after healing no unconfirmed write that was told not run stands',
  async function (this: FaultWorld) {
    const deployment = deploymentOf(this);
    deployment.network.heal();
    await until(() => {
      const nodes = deployment.upstreamsOf(GROUP).map((server) => server.node);
      return new Set(nodes.map((node) => `${node.term}/${node.entries.length}`)).size === 1;
    });
    for (const row of this.rows) assert.equal(timesInLog(deployment, 'deeds', row), 0, row);
    assert.equal(timesInLog(deployment, 'deeds', 'elsewhere'), 1);
  },
);

Given(
  'a session that wrote while a zone without the primary was cut off',
  async function (this: FaultWorld) {
    const deployment = deploymentOf(this);
    const { near, far } = hostsByPrimary(deployment);
    this.host = firstOf(far);
    isolate(deployment, this.host.board.az);
    const writer = await callerOn(this, near[0]);
    const sql = `INSERT INTO deeds (id, state) VALUES ('mine', 'signed') ${DEADLINE}`;
    await writer.query(sql);
    this.token = writer.token;
  },
);

When('it reads in the cut-off zone', async function (this: FaultWorld) {
  const reader = await callerOn(this, this.host, this.token);
  const sql = "SELECT state FROM deeds WHERE id = 'mine' /*deadline_ms='1500'*/";
  const read = reader.query(sql).then((rows) => {
    this.rows = rows.map((row) => row.state ?? '');
  });
  this.told.push(await resultOf(read));
});

Then('it is refused as not run, or reads its own write', function (this: FaultWorld) {
  const [told = ''] = this.told;
  if (told === 'ok') assert.deepEqual(this.rows, ['signed']);
  else assert.match(told, / no$/);
});

// Sessions

Given('replicas that lag by {int} ms', function (this: FaultWorld, lagMs: number) {
  for (const { server } of deploymentOf(this).upstreams) server.node.applyLagMs = lagMs;
});

When(
  'a session writes, and resumes on another host without its token',
  async function (this: FaultWorld) {
    const { hosts } = deploymentOf(this);
    const writer = await callerOn(this, hosts[0]);
    await writer.query(`INSERT INTO deeds (id, state) VALUES ('mine', 'signed') ${DEADLINE}`);
    const port = hosts.at(-1)?.callers.port ?? 0;
    const options = '-c gladespool.session_resumed=on';
    this.caller = await Caller.connect({ port, group: GROUP, options });
    this.callers.push(this.caller);
  },
);

Then('its first read finds its write', async function (this: FaultWorld) {
  const rows = await this.caller.query("SELECT state FROM deeds WHERE id = 'mine'");
  assert.equal(rows.length, 1);
});

When('a session writes and the primary is stopped for good', async function (this: FaultWorld) {
  const deployment = deploymentOf(this);
  const writer = await callerOn(this, deployment.hosts[0]);
  await writer.query(`INSERT INTO deeds (id, state) VALUES ('mine', 'signed') ${DEADLINE}`);
  this.token = writer.token;
  const { term } = deployment.primaryOf(GROUP).node;
  await deployment.primaryOf(GROUP).stop();
  await until(() => deployment.primaryOf(GROUP).node.term > term);
});

Then('the session reads its write on every host that is left', async function (this: FaultWorld) {
  for (const host of deploymentOf(this).hosts) {
    const reader = await callerOn(this, host, this.token);
    const rows = await reader.query(`SELECT state FROM deeds WHERE id = 'mine' ${DEADLINE}`);
    assert.equal(rows.length, 1, host.board.host);
  }
});

// Complete replies

When(
  '{int} callers ask for their own rows through a home that is killed',
  async function (this: FaultWorld, count: number) {
    const deployment = deploymentOf(this);
    const [entry] = deployment.hosts;
    const writer = await callerOn(this, entry);
    for (let i = 0; i < count; i += 1) {
      await writer.query(`INSERT INTO deeds (id, state) VALUES ('d${i}', 'own${i}')`);
    }
    const opening = Array.from({ length: count }, () => callerOn(this, entry, writer.token));
    const callers = await Promise.all(opening);
    const other = deployment.hosts.find(
      (host) => host !== entry && host.board.az === entry?.board.az,
    );
    const queries = callers.map((caller, index) => queryUntilServed(caller, index));
    if (other !== undefined) await deployment.killHost(other);
    this.told = (await Promise.all(queries)).flat();
  },
);

/** Successful reads per caller; refusals return immediately, so their number shows no progress. */
const READS_PER_CALLER = 6;
/** Pause after a refused request, milliseconds. */
const RETRY_PAUSE_MS = 20;

async function queryUntilServed(caller: Caller, index: number): Promise<string[]> {
  const told: string[] = [];
  while (told.filter((answer) => answer === 'own').length < READS_PER_CALLER) {
    const query = caller.query('SELECT state FROM deeds WHERE id = $1', [`d${index}`]);
    const rows = query.then((found) => {
      told.push(found.length === 1 && found[0]?.state === `own${index}` ? 'own' : 'wrong');
    });
    const result = await resultOf(rows);
    if (result === 'ok') continue;
    told.push(result);
    await pause(RETRY_PAUSE_MS);
  }
  return told;
}

Then('every caller got its own row or one clear error', function (this: FaultWorld) {
  const clear = /^(own|[0-9A-Z]{5} [a-z-]+ (no|unknown))$/;
  for (const told of this.told) assert.match(told, clear);
  assert.ok(this.told.length > 0);
});

When('a caller leaves after writing in an open transaction', async function (this: FaultWorld) {
  const caller = await callerOn(this, deploymentOf(this).hosts[0]);
  await caller.query('BEGIN');
  await caller.query("INSERT INTO deeds (id, state) VALUES ('left', 'x')");
  await caller.end();
});

Then('the row it wrote is free again and not in the log', async function (this: FaultWorld) {
  const deployment = deploymentOf(this);
  assert.equal(timesInLog(deployment, 'deeds', 'left'), 0);
  const caller = await callerOn(this, deployment.hosts.at(-1));
  await caller.query("INSERT INTO deeds (id, state) VALUES ('left', 'y')");
  assert.equal(timesInLog(deployment, 'deeds', 'left'), 1);
});

When('a caller cancels a statement that sleeps for 30 s', async function (this: FaultWorld) {
  this.caller = await callerOn(this, deploymentOf(this).hosts[0]);
  const sleeping = resultOf(this.caller.query(`SELECT pg_sleep(30) /*deadline_ms='60000'*/`));
  const deployment = deploymentOf(this);
  await until(() => deployment.hosts.some((host) => host.homes.held.some((home) => home.busy > 0)));
  await this.caller.cancel();
  this.told.push(await sleeping);
});

Then('it is told SQLSTATE {string}', function (this: FaultWorld, state: string) {
  assert.equal(this.told[0]?.split(' ')[0], state);
});

Then('the connection serves the next statement', async function (this: FaultWorld) {
  assert.equal(await resultOf(this.caller.query("SELECT state FROM deeds WHERE id = 'z'")), 'ok');
});

When('the home of an open transaction is killed', async function (this: FaultWorld) {
  const deployment = deploymentOf(this);
  await deployment.startHost('az1-entry', 'az1');
  await until(() => deployment.hosts.at(-1)?.board.bundle !== undefined);
  const entry = deployment.hosts.at(-1);
  await until(() => (entry?.board.members.length ?? 0) >= deployment.hosts.length);
  this.caller = await callerOn(this, entry);
  await this.caller.query('BEGIN');
  await this.caller.query("INSERT INTO deeds (id, state) VALUES ('doomed', 'x')");
  const home = deployment.hosts.find((host) =>
    host.homes.held.some((held) => held.transactions.size > 0),
  );
  assert.ok(home !== undefined && entry !== undefined);
  if (home === entry) deployment.primaryOf(GROUP).node.commit([]);
  if (home === entry) await deployment.primaryOf(GROUP).stop();
  else await deployment.killHost(home);
});

Then(
  'the next statement is told one of {string}',
  async function (this: FaultWorld, allowed: string) {
    const told = await resultOf(
      this.caller.query("INSERT INTO deeds (id, state) VALUES ('doomed2', 'x')"),
    );
    assert.ok(allowed.split(', ').includes(told), told);
  },
);

Then(
  'every statement until its end is told {string}',
  async function (this: FaultWorld, told: string) {
    const sql = "INSERT INTO deeds (id, state) VALUES ('doomed3', 'x')";
    assert.equal(await resultOf(this.caller.query(sql)), told);
    assert.equal(await resultOf(this.caller.query('SELECT 1')), told);
  },
);

Then('after ROLLBACK the session writes again', async function (this: FaultWorld) {
  await this.caller.query('ROLLBACK');
  const sql = `INSERT INTO deeds (id, state) VALUES ('again', 'x') ${DEADLINE}`;
  assert.equal(await resultOf(this.caller.query(sql)), 'ok');
  const deployment = deploymentOf(this);
  for (const row of ['doomed', 'doomed2', 'doomed3']) {
    assert.equal(timesInLog(deployment, 'deeds', row), 0);
  }
});

// Store outages

When(
  'a zone is cut off from everything and a host starts in it',
  async function (this: FaultWorld) {
    const deployment = deploymentOf(this);
    isolate(deployment, 'az1');
    this.host = await deployment.startHost('az1-alone', 'az1');
  },
);

Then('the host listens, and joins once the zone is healed', async function (this: FaultWorld) {
  assert.ok(this.host.callers.port > 0);
  const deployment = deploymentOf(this);
  deployment.network.heal();
  deployment.refreshHostList();
  await until(() => this.host.board.bundle !== undefined);
  const caller = await callerOn(this, this.host);
  const sql = `INSERT INTO deeds (id, state) VALUES ('joined', 'signed') ${DEADLINE}`;
  assert.equal(await resultOf(caller.query(sql)), 'ok');
});

When('the store goes down', function (this: FaultWorld) {
  deploymentOf(this).store.setFault(StoreFault.Down);
});

Then('a write is confirmed', async function (this: FaultWorld) {
  const caller = await callerOn(this, deploymentOf(this).hosts[0]);
  const sql = `INSERT INTO deeds (id, state) VALUES ('out', 'signed') ${DEADLINE}`;
  assert.equal(await resultOf(caller.query(sql)), 'ok');
});

Then(
  'a host that starts meanwhile gets the bundle and serves a write',
  async function (this: FaultWorld) {
    const deployment = deploymentOf(this);
    const [known] = deployment.hosts;
    const host = await deployment.startHost('az1-late', 'az1');
    host.membership.putListed(
      deployment.hosts.map((entry) => ({
        host: entry.board.host,
        az: entry.board.az,
        address: '127.0.0.1',
        port: entry.network.port,
        leaving: false,
      })),
    );
    await until(() => host.board.bundle?.version === known?.board.bundle?.version);
    const caller = await callerOn(this, host);
    const sql = `INSERT INTO deeds (id, state) VALUES ('late', 'signed') ${DEADLINE}`;
    assert.equal(await resultOf(caller.query(sql)), 'ok');
  },
);

Given(/^the store is (reply-lost|slow|down)$/, function (this: FaultWorld, fault: string) {
  const { store } = deploymentOf(this);
  store.slowMs = 300;
  const named = Object.values(StoreFault).find((candidate) => fault === candidate.valueOf());
  store.setFault(named ?? StoreFault.None);
});

When('the primary is stopped', async function (this: FaultWorld) {
  await deploymentOf(this).primaryOf(GROUP).stop();
});

Then('a write is confirmed once the store is healthy again', async function (this: FaultWorld) {
  const deployment = deploymentOf(this);
  const [host] = deployment.hosts;
  await new Promise((resolve) => setTimeout(resolve, 1500));
  deployment.store.setFault(StoreFault.None);
  const caller = await callerOn(this, host);
  await until(async () => {
    const sql = "INSERT INTO deeds (id, state) VALUES ('after', 'signed') /*deadline_ms='1000'*/";
    return (await resultOf(caller.query(sql))) === 'ok';
  });
});

function firstOf(hosts: readonly Host[]): Host {
  const [host] = hosts;
  if (host === undefined) throw new Error('no host');
  return host;
}
