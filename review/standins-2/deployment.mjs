/**
 * A small deployment: hosts as separate processes started with the command of the deploy file, and clients.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, connect } from 'node:net';
import { request } from 'node:http';
import { randomBytes } from 'node:crypto';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Group, sleep } from './group.mjs';
import { Platform, Store } from './platform.mjs';

/** Events of a host's log that the record keeps. */
const KEPT_EVENTS = /event=(promotion-|upstream-(entry-missing|leaving|gone|departed))/;
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const LOOPBACK = '127.0.0.1';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const START_TIMEOUT_MS = 30_000;

/** Writes what was sent, answered and run, with the time since the start. */
export class Record {
  constructor(file) {
    this.stream = createWriteStream(file);
    this.startedAt = performance.now();
  }

  line(text) {
    this.stream.write(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}\n`);
  }

  ran(upstream, id, text) {
    this.line(`run ${id} at ${upstream}: ${text}`);
  }

  end() {
    return new Promise((resolve) => this.stream.end(resolve));
  }
}

async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(servers.map((s) => new Promise((resolve) => s.listen(0, LOOPBACK, resolve))));
  const ports = servers.map((s) => s.address().port);
  await Promise.all(servers.map((s) => new Promise((resolve) => s.close(resolve))));
  return ports;
}

/** Store, platform, one service and the hosts before it. */
export class Deployment {
  hosts = [];
  clients = [];

  constructor({ record, syncReplicas, routes, drainTimeoutMs = 7000, graceS = 6 }) {
    Object.assign(this, { record, drainTimeoutMs, graceS });
    this.store = new Store();
    this.group = new Group({ service: 'ledger', store: this.store, record, syncReplicas });
    this.platform = new Platform(this.store, record, (id) => this.group.promote(id));
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.config = {
      version: 1,
      routes: routes.map((route) => ({ priority: 1, service: 'ledger', ...route })),
      services: [{ name: 'ledger', maxConnections: 38, syncReplicas }],
      limits: { transactionIdleMs: 3000 },
    };
  }

  async start(hostCount) {
    this.platformPort = await this.platform.listen();
    this.store.put('op/config', this.config);
    const ids = ['u-one', 'u-two', 'u-three'];
    for (const [at, id] of ids.entries()) await this.group.add(id, ZONES[at], at === 0);
    for (let at = 0; at < hostCount; at += 1) await this.startHost(at);
    const until = performance.now() + START_TIMEOUT_MS;
    while (!(await this.areReady())) {
      if (performance.now() > until) throw new Error('hosts are not ready');
      await sleep(100);
    }
  }

  async startHost(at) {
    const [frontend, ready, control, first] = await freePorts(4);
    const name = `host-${at + 1}`;
    const address = (port) => `${LOOPBACK}:${port}`;
    const settings = {
      nodeName: name,
      role: 'gateway',
      machineClass: 'frontend',
      serves: ['frontend', 'control_plane'],
      ip: LOOPBACK,
      zone: ZONES[at % ZONES.length],
      region: 'region',
      zones: Object.fromEntries(ZONES.map((zone) => [zone, 'region'])),
      listenAddresses: {
        frontend: address(frontend),
        ready: address(ready),
        control: address(control),
      },
      internalPortRange: [first, first],
      seeds: [],
      firstStart: true,
      limits: {
        cpuShare: 0.675,
        cpuCores: 1,
        memoryMb: 350,
        maxFileDescriptors: 4200,
        linkMbps: 1000,
      },
      heartbeatMs: 1200,
      bounds: {
        touchMs: 4000,
        drainTimeoutMs: this.drainTimeoutMs,
        graceS: this.graceS,
        fencingRequired: false,
      },
      platform: { address: address(this.platformPort), form: 'kv', maxValueBytes: 1_048_576 },
      cloudApi: { address: address(this.platformPort), duties: ['failover'], dutyPerS: 50 },
    };
    const file = join(this.folder, `${name}.yaml`);
    writeFileSync(file, JSON.stringify(settings));
    const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'));
    const [program, ...args] = run.split(' ');
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, GLADESPOOL_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const host = { name, child, frontend, ready };
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8').on('data', (text) => {
        for (const line of text.split('\n'))
          if (KEPT_EVENTS.test(line)) this.record.line(`log ${line}`);
      });
    }
    child.once('exit', (code, signal) => this.record.line(`${name} ended: ${code ?? signal}`));
    this.hosts.push(host);
  }

  async areReady() {
    const answers = this.hosts.map(
      ({ ready }) =>
        new Promise((resolve) => {
          const req = request(
            { host: LOOPBACK, port: ready, path: '/gladespool/readiness' },
            (res) => {
              res.resume();
              resolve(res.statusCode === 200);
            },
          );
          req.on('error', () => resolve(false));
          req.end();
        }),
    );
    return (await Promise.all(answers)).every(Boolean);
  }

  /** Starts a client of a database on a host; `operations` are repeated with a pause between them. */
  startClient(host, database, operations, pauseMs) {
    const client = new Client(this.record, host, database);
    this.clients.push(client);
    void client.repeat(operations, pauseMs);
    return client;
  }

  async stop() {
    for (const client of this.clients) client.stop();
    const ends = this.hosts.map(
      ({ child }) => new Promise((resolve) => child.once('exit', resolve)),
    );
    for (const { child } of this.hosts) child.kill('SIGKILL');
    await Promise.all(
      this.hosts.map(({ child }, at) =>
        child.exitCode === null && child.signalCode === null ? ends[at] : undefined,
      ),
    );
    this.group.stop();
    this.platform.stop();
    rmSync(this.folder, { recursive: true, force: true });
    await this.record.end();
  }
}

/** A client that sends one statement at a time, and opens a new session after an error. */
export class Client {
  running = true;
  /** Ids of the writes and commits that were answered with success. */
  confirmed = [];

  constructor(record, host, database) {
    Object.assign(this, { record, host, database });
  }

  async repeat(operations, pauseMs) {
    for (let turn = 0; this.running; turn += 1) {
      const operation = operations[turn % operations.length];
      const writes = operation.some((text) => text.startsWith('WRITE'));
      try {
        if (this.socket === undefined) await this.open();
        for (const text of operation) {
          const commits = writes && (operation.length === 1 || text === 'COMMIT');
          if (!(await this.ask(text, commits))) break;
        }
      } catch {
        this.close();
      }
      await sleep(pauseMs);
    }
  }

  async open() {
    const socket = connect(this.host.frontend, LOOPBACK);
    socket.setNoDelay(true);
    this.socket = socket;
    this.text = '';
    socket.on('data', (chunk) => {
      this.text += chunk.toString('latin1');
      this.wake?.();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (this.socket === socket) this.socket = undefined;
      this.wake?.();
    });
    socket.write(`STARTUP ${this.database} client\r\n`);
    await this.readUntilReady(socket);
  }

  /** Sends a statement, `commits` if a success confirms writes; returns whether it was a success. */
  async ask(text, commits) {
    const id = randomBytes(8).toString('hex');
    const { socket } = this;
    this.record.line(`sent ${id} to ${this.host.name} (${this.database}): ${text}`);
    socket.write(`QUERY ${id} ${text}\r\n`);
    const lines = await this.readUntilReady(socket);
    this.record.line(`got ${id}: ${lines.join(' | ')}`);
    const isDone = lines.some((line) => line.startsWith('COMPLETE'));
    if (isDone && commits) this.confirmed.push(id);
    if (!isDone) this.close();
    return isDone;
  }

  async readUntilReady(socket) {
    while (!/^READY .*\r\n/m.test(this.text)) {
      if (this.socket !== socket) throw new Error('connection ended');
      await new Promise((resolve) => (this.wake = resolve));
    }
    const lines = this.text.split('\r\n').filter((line) => line !== '');
    this.text = '';
    return lines;
  }

  close() {
    this.socket?.destroy();
    this.socket = undefined;
  }

  stop() {
    this.running = false;
    this.close();
  }
}
