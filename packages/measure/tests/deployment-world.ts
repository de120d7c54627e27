/**
 * Shared fixture of scenarios on an embedded deployment: starts it with short timings and stops it.
 */
import { After, setDefaultTimeout } from '@cucumber/cucumber';
import type { Host } from '@gladespool/proxy';
import type { SettingsOverride } from '../src/embedded/deployment.js';
import { summarizeError } from '../src/commands/error-summary.js';
import { Deployment } from '../src/embedded/deployment.js';
import { RAMDIN } from '../src/embedded/shape.js';
import { Caller } from '../src/load/caller.js';

/** The only group of the deployment. */
export const GROUP = 'ledger1';
/** Deadline that exceeds the duration of any promotion in a scenario, milliseconds. */
export const LONG_DEADLINE_MS = 20_000;

const STEP_TIMEOUT_MS = 60_000;
const SEED = 7;
const SHORT_TIMINGS: SettingsOverride = {
  peer: { heartbeat_ms: 100, expire_ms: 600 },
  host_list: { interval_ms: 200 },
  caller: { login_timeout_ms: 1500 },
  upstream: { suspect_after_ms: 400, status_interval_ms: 50, status_timeout_ms: 200 },
};

/** Cucumber world of a scenario on a deployment. */
export interface DeploymentWorld {
  running?: Deployment | undefined;
  callers: Caller[];
}

setDefaultTimeout(STEP_TIMEOUT_MS);

After(async function (this: DeploymentWorld) {
  const { running } = this;
  if (running === undefined) return;
  this.running = undefined;
  running.network.heal();
  await Promise.all(this.callers.map((caller) => caller.end().catch(() => undefined)));
  await running.stop();
});

/** Starts the deployment of a scenario; `overrides` replaces whole sections of the settings. */
export async function startDeployment(
  world: DeploymentWorld,
  hostsPerZone = 2,
  overrides: SettingsOverride = {},
): Promise<Deployment> {
  const shape = { ...RAMDIN, groups: [GROUP], hostsPerZone };
  const settings = { ...SHORT_TIMINGS, ...overrides };
  const deployment = new Deployment({ shape, seed: SEED, basePort: 0, latency: false, settings });
  world.running = deployment;
  world.callers = [];
  await deployment.start();
  return deployment;
}

/** Returns the deployment of a scenario; throws if none was started. */
export function deploymentOf(world: DeploymentWorld): Deployment {
  if (world.running === undefined) throw new Error('no deployment');
  return world.running;
}

/** Connects a caller to a host; the caller is closed after the scenario. */
export async function callerOn(
  world: DeploymentWorld,
  host: Host | undefined,
  token?: string,
): Promise<Caller> {
  const port = host?.callers.port ?? 0;
  const caller = await Caller.connect({
    port,
    group: GROUP,
    ...(token === undefined ? {} : { token }),
  });
  world.callers.push(caller);
  return caller;
}

/** Hosts in the zone of the primary (`near`), hosts in other zones (`far`), and the zone of the primary. */
export function hostsByPrimary(deployment: Deployment): {
  readonly near: readonly Host[];
  readonly far: readonly Host[];
  readonly az: string;
} {
  const primary = deployment.primaryOf(GROUP);
  const az = deployment.upstreams.find((placed) => placed.server === primary)?.az ?? '';
  const near = deployment.hosts.filter((host) => String(host.board.az) === az);
  const far = deployment.hosts.filter((host) => String(host.board.az) !== az);
  return { near, far, az };
}

/** Partitions a zone from the other zones and from the platform. */
export function isolate(deployment: Deployment, az: string): void {
  const { zones } = deployment.options.shape;
  deployment.network.isolate(az, [...zones.filter((zone) => zone !== az), 'platform']);
}

/** Result of a query: `ok`, or the summary of its error. */
export async function resultOf(run: Promise<unknown>): Promise<string> {
  try {
    await run;
    return 'ok';
  } catch (error) {
    return summarizeError(error);
  }
}

/** Number of changes of a key in the log of the group's primary. */
export function timesInLog(deployment: Deployment, table: string, key: string): number {
  return deployment
    .primaryOf(GROUP)
    .node.entries.flatMap((entry) => entry.changes)
    .filter((change) => change.table === table && change.key === key).length;
}
