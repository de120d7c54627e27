/**
 * A small deployment with the machines, bounds and limits of a site: hosts run as separate processes with the command
 * of the deploy file; the platform and one service of three backends are stand-ins in this process.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Platform } from './platform.mjs';
import { Record } from './record.mjs';
import { Service } from './database.mjs';

const LOOPBACK = '127.0.0.1';
const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** "After a short delay, a process that ends or is killed is started again": half a second on the bench. */
const RESTART_DELAY_MS = 500;
const START_TIMEOUT_MS = 30_000;

const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  touchMs: 4000,
  ackTimeoutMs: 5000,
  catchUpS: 4,
  drainTimeoutMs: 7000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 3000,
  rollbackSlackMs: 250,
  maxSkewMs: 12_000,
  recoveryS: 12,
  fencingRequired: false,
  unfreezeSlackMs: 300,
};

/** The deployments of the pages that the cases use, as far as a case needs them. */
export const SITES = {
  'galdi-riga': {
    region: 'lv-riga',
    hosts: { 'riga-a': 3, 'riga-b': 2, 'riga-c': 2 },
    maxFileDescriptors: 4300,
    service: 'tables-core',
    backends: { slots: 2, queueLength: 16, maxConnections: 16, lagMs: 60, promoteMs: 600 },
    routes: [
      { host: 'moves', kind: 'primary', timeoutMs: 800, targetLatencyMs: 120, priority: 1 },
      {
        host: 'lobby',
        kind: 'bounded_staleness',
        timeoutMs: 1500,
        targetLatencyMs: 400,
        priority: 2,
        maxStalenessMs: 1500,
      },
    ],
  },
  'harborline-hq': {
    region: 'new-england',
    hosts: { 'boston-hall': 3, 'providence-hall': 3, 'hartford-hall': 2 },
    maxFileDescriptors: 4200,
    service: 'script-core',
    backends: { slots: 3, queueLength: 24, maxConnections: 38, lagMs: 20, promoteMs: 600 },
    routes: [
      { host: 'outcomes', kind: 'primary', timeoutMs: 1000, targetLatencyMs: 200, priority: 1 },
      {
        host: 'dashboard',
        kind: 'bounded_staleness',
        timeoutMs: 2000,
        targetLatencyMs: 600,
        priority: 2,
        maxStalenessMs: 1500,
      },
    ],
  },
};

function configOf({ service, routes, backends }, syncReplicas) {
  return {
    version: 7,
    routes: routes.map((route, index) => ({
      name: `r-${index + 1}`,
      pathPrefix: '/',
      service,
      maxAttempts: 2,
      ...route,
    })),
    services: [
      {
        name: service,
        healthPath: '/health',
        maxConnections: backends.maxConnections,
        protocol: 'h1',
        tlsEnabled: false,
        syncReplicas,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 262_144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
      transactionIdleMs: 3000,
    },
  };
}

export class Deployment {
  /**
   * @param siteName one of `SITES`
   * @param options `workMsOf(text)` and `syncReplicas` of the service; 5 ms and 0 if left out
   */
  constructor(siteName, recordFile, { workMsOf = () => 5, syncReplicas = 0 } = {}) {
    this.site = SITES[siteName];
    this.zones = Object.keys(this.site.hosts);
    this.record = new Record(recordFile);
    this.platform = new Platform(this.record);
    const options = { ...this.site.backends, workMsOf, syncReplicas };
    this.service = new Service(this.site.service, this.zones, options, this.record);
    this.platform.promote = (service, id) => this.service.promote(id);
    this.hosts = [];
    this.stopped = false;
    this.folder = mkdtempSync(join(tmpdir(), 'gladespool-review-'));
    this.run = runWords();
    // A run that is ended from outside leaves no process behind.
    process.once('SIGTERM', () => {
      this.stopped = true;
      for (const { child } of this.hosts) child?.kill('SIGKILL');
      rmSync(this.folder, { recursive: true, force: true });
      process.exit(2);
    });
  }

  /** Starts everything; resolves when every host is ready. */
  async start() {
    const platform = `${LOOPBACK}:${await this.platform.listen()}`;
    await this.service.start(this.platform);
    this.platform.put('op/config', configOf(this.site, this.service.options.syncReplicas));
    let index = 0;
    for (const zone of this.zones) {
      for (let number = 1; number <= this.site.hosts[zone]; number += 1) {
        index += 1;
        await this.addHost(`frontend-${zone}-${number}`, zone, `127.0.0.${10 + index}`, platform);
      }
    }
    for (const host of this.hosts) this.writeSettings(host);
    for (const host of this.hosts) this.spawn(host);
    for (const host of this.hosts) {
      if (!(await this.waitUntilReady(host, START_TIMEOUT_MS)))
        throw new Error('a host is not ready');
    }
    this.record.add(`deployment: ${this.hosts.length} hosts are ready`);
  }

  async stop() {
    this.stopped = true;
    const ends = this.hosts
      .filter(({ child }) => child.exitCode === null && child.signalCode === null)
      .map(({ child }) => {
        const end = new Promise((done) => child.once('exit', done));
        child.kill('SIGKILL');
        return end;
      });
    await Promise.all(ends);
    this.service.stop();
    this.platform.close();
    rmSync(this.folder, { recursive: true, force: true });
    this.record.write();
  }

  host(name) {
    return this.hosts.find((host) => host.name === name);
  }

  hostsOf(zone) {
    return this.hosts.filter((host) => host.zone === zone);
  }

  /** Sends a signal to a host's process; if it ends, it is started again as the platform does. */
  signal(host, signal) {
    this.record.add(`platform: ${signal} to ${host.name}`);
    host.expected = host.child;
    host.child.kill(signal);
  }

  async isReady({ ip, ports }) {
    try {
      const answer = await globalThis.fetch(`http://${ip}:${ports.ready}/gladespool/readiness`);
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady(host, timeoutMs) {
    const until = this.record.now() + timeoutMs;
    while (this.record.now() < until) {
      if (await this.isReady(host)) return true;
      await pause(20);
    }
    return false;
  }

  async addHost(name, zone, ip, platform) {
    const [frontend, ready, control, first] = await freePorts(ip, 4);
    const file = join(this.folder, `${name}.yaml`);
    const ports = { frontend, ready, control, first };
    this.hosts.push({ name, zone, ip, ports, file, platform, child: undefined, firstStart: true });
  }

  writeSettings({ name, zone, ip, ports, file, platform, firstStart }) {
    const settings = {
      nodeName: name,
      role: 'gateway',
      machineClass: 'frontend',
      serves: ['frontend', 'control_plane'],
      ip,
      zone,
      region: this.site.region,
      zones: Object.fromEntries(this.zones.map((each) => [each, this.site.region])),
      listenAddresses: {
        frontend: `${ip}:${ports.frontend}`,
        ready: `${ip}:${ports.ready}`,
        control: `${ip}:${ports.control}`,
      },
      internalPortRange: [ports.first, ports.first],
      seeds: this.hosts.slice(0, 3).map((seed) => `${seed.ip}:${seed.ports.control}`),
      firstStart,
      lossCounts: false,
      limits: {
        cpuShare: 0.675,
        cpuCores: 1,
        memoryMb: 350,
        maxFileDescriptors: this.site.maxFileDescriptors,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: 'platform',
      entry: 'virtual_ip',
      heartbeatMs: 1200,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
      faultTolerance: { machines: 2, zones: 1, regions: 0 },
      bounds: BOUNDS,
      platform: {
        address: platform,
        form: 'kv',
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        maxValueBytes: 1_048_576,
        minTtlMs: 1000,
      },
      cloudApi: { address: platform, ratePerS: 50, duties: ['failover'], dutyPerS: 50 },
    };
    // JSON is valid YAML.
    writeFileSync(file, JSON.stringify(settings, undefined, 2));
  }

  spawn(host) {
    const { PATH, HOME, LANG } = process.env;
    const variables = { PATH, HOME, LANG, GLADESPOOL_CONFIG: host.file };
    const env = Object.fromEntries(Object.entries(variables).filter(([, value]) => value));
    const [program, ...words] = this.run;
    const child = spawn(program, words, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    host.child = child;
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8').on('data', (text) => this.noteLog(host, text));
    }
    child.once('exit', (code, signal) => {
      if (this.stopped) return;
      const how = host.expected === child ? '' : ' by itself';
      this.record.add(`platform: the process of ${host.name} has ended${how} (${signal ?? code})`);
      host.firstStart = false;
      this.writeSettings(host);
      setTimeout(() => {
        if (this.stopped) return;
        this.record.add(`platform: starts ${host.name} again`);
        this.spawn(host);
      }, RESTART_DELAY_MS);
    });
  }

  /** Keeps the log lines that a scenario asks for. */
  noteLog(host, text) {
    if (this.onLog === undefined) return;
    for (const line of text.split('\n')) if (line !== '') this.onLog(host, line);
  }
}

/** The words of the `run` line of the deploy file. */
function runWords() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text);
  if (run === null) throw new Error('the deploy file has no run line');
  return run[1].split(' ');
}

async function freePorts(ip, count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((done, fail) => server.once('error', fail).listen(0, ip, done));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

export function pause(ms) {
  return new Promise((done) => setTimeout(done, ms));
}
