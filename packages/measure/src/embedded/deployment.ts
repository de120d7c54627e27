/**
 * A complete deployment in one process: stand-ins for the store, the host list and the upstreams, and
 * real hosts whose connections pass through a simulated network that injects faults and latency.
 */
import { randomBytes } from 'node:crypto';
import type { ReadRouting } from '@gladespool/coordination';
import { createLogger } from '@gladespool/observability';
import { publishBundle } from '@gladespool/operator';
import { HttpStoreClient } from '@gladespool/platform';
import type { Bundle, HostSettings, OperatorKeyPair } from '@gladespool/protocol';
import {
  createOperatorKeys,
  readBundle,
  readHostSettings,
  signManifest,
  splitBundle,
} from '@gladespool/protocol';
import type { CallerTls } from '@gladespool/proxy';
import { Host } from '@gladespool/proxy';
import type { FaultTargets, Party } from '@gladespool/standins';
import { FaultNetwork, StoreServer, UpstreamNode, UpstreamServer } from '@gladespool/standins';
import { stringify } from 'ini';
import { PortAllocator } from './port-allocator.js';
import type { DeploymentShape } from './shape.js';

/** User name with which callers log in to embedded deployments. */
export const EMBEDDED_USER = 'app';
/** Password of {@link EMBEDDED_USER}. */
export const EMBEDDED_PASSWORD = 'app';

const ADDRESS = '127.0.0.1';
const UPSTREAM_USER = 'gladespool';
const UPSTREAM_PASSWORD = 'upstream';
const KEY_BYTES = 32;
const OPERATOR = 'alice';

/** Host settings that an experiment overrides, by section and key. */
export type SettingsOverride = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

/** Options of an embedded deployment. */
export interface DeploymentOptions {
  readonly shape: DeploymentShape;
  readonly seed: number;
  /** First port; with 0 the operating system chooses every port. */
  readonly basePort: number;
  /** Whether the network adds the latencies of the shape. */
  readonly latency: boolean;
  readonly settings?: SettingsOverride;
  readonly routing?: ReadRouting;
  /** Key and certificate for connections of callers; without them hosts refuse TLS. */
  readonly tls?: CallerTls;
  /** Acknowledgement rule of every group, spelled as in a bundle. */
  readonly acknowledgement?: string;
  /** Session consistency rule of every group, spelled as in a bundle. */
  readonly session?: string;
}

/** An upstream with its group and availability zone. */
export interface PlacedUpstream {
  readonly group: string;
  readonly az: string;
  readonly server: UpstreamServer;
}

/** An embedded deployment; also the target of its fault server. */
export class Deployment implements FaultTargets {
  readonly network = new FaultNetwork();
  readonly store: StoreServer;
  readonly upstreams: PlacedUpstream[] = [];
  readonly hosts: Host[] = [];
  readonly hostSettings = new Map<string, HostSettings>();
  private readonly ports: PortAllocator;
  private readonly peerKey = randomBytes(KEY_BYTES).toString('base64');
  private readonly tokenKey = randomBytes(KEY_BYTES).toString('base64');
  private readonly operatorKeys = new Map<string, OperatorKeyPair>();
  private operator = OPERATOR;
  private readonly log = createLogger('embedded');
  private bundleVersion = 0;

  constructor(readonly options: DeploymentOptions) {
    this.ports = new PortAllocator(options.basePort);
    this.store = new StoreServer(ADDRESS, this.ports.next());
  }

  /** Starts all parts and waits until every host accepts callers and every group has a primary. */
  async start(): Promise<void> {
    const { shape, latency } = this.options;
    await this.store.listen();
    this.network.register(ADDRESS, this.store.port, { name: 'store', az: 'platform' });
    for (const group of shape.groups) await this.startGroup(group);
    for (const az of shape.zones) {
      for (let i = 1; i <= shape.hostsPerZone; i += 1) await this.startHost(`${az}-h${i}`, az);
    }
    this.refreshHostList();
    if (latency) this.network.latency = (from, to) => this.latencyBetween(from, to);
    await this.publish(this.bundleText({}));
    await this.waitUntilReady();
  }

  /** Waits until every host has the latest bundle, a record of each group and all members in its view. */
  async waitUntilReady(): Promise<void> {
    const { groups } = this.options.shape;
    await until(() =>
      this.hosts.every(
        (host) =>
          host.board.bundle?.version === this.bundleVersion &&
          groups.every((group) => host.board.record(group as never) !== undefined) &&
          host.board.members.length >= this.hosts.length,
      ),
    );
  }

  /** Starts one host and registers it with the network; the host list changes with {@link refreshHostList}. */
  async startHost(name: string, az: string): Promise<Host> {
    const settings = this.settingsOf(name, az);
    const party: Party = { name, az };
    const host = new Host({
      settings,
      seed: this.options.seed + this.hosts.length,
      incarnation: Date.now() + this.hosts.length,
      ports: {
        dial: this.network.dialerFor(party),
        createSocket: () => this.network.socketFor(party),
      },
      ...(this.options.routing === undefined ? {} : { routing: this.options.routing }),
      ...(this.options.tls === undefined ? {} : { tls: this.options.tls }),
    });
    await host.start();
    this.hosts.push(host);
    this.hostSettings.set(name, settings);
    this.network.register(ADDRESS, host.network.port, party);
    this.network.register(ADDRESS, host.callers.port, party);
    return host;
  }

  /** Stops a host without draining it, as a crash would, and removes it from {@link hosts}. */
  async killHost(host: Host): Promise<void> {
    this.hosts.splice(this.hosts.indexOf(host), 1);
    await host.stop();
  }

  async killHostNamed(name: string): Promise<boolean> {
    const host = this.hosts.find((candidate) => candidate.board.host === name);
    if (host === undefined) return false;
    await this.killHost(host);
    return true;
  }

  /** Replaces the platform's host list by the running hosts. */
  refreshHostList(): void {
    this.store.hosts = this.hosts.map((host) => ({
      host: host.board.host,
      az: host.board.az,
      address: ADDRESS,
      port: host.network.port,
      state: 'live',
    }));
  }

  /**
   * Signs and publishes the text of the next bundle version.
   *
   * @param operator - operator whose key the new version lists
   * @param signer - operator that signs it, by default the operator in force
   * @throws Error when the store refuses the bundle
   */
  async publish(
    text: string,
    operator: string = this.operator,
    signer: string = this.operator,
  ): Promise<void> {
    const previousOperator = this.operator;
    this.operator = operator;
    const renamed = text.replaceAll(`[operator.${previousOperator}]`, `[operator.${operator}]`);
    const previousKey = this.keysOf(previousOperator).publicKey.toString('base64');
    const nextKey = this.keysOf(operator).publicKey.toString('base64');
    const bundle = readBundle('embedded', renamed.replaceAll(previousKey, nextKey))._unsafeUnwrap();
    const store = this.storeClient();
    const signatures = [this.sign(bundle, signer)];
    const change = `embedded/${bundle.version}`;
    const outcome = await publishBundle(store, { bundle, signatures, change });
    await store.close();
    const { kind } = outcome._unsafeUnwrap();
    if (kind === 'refused') throw new Error('the store refused the bundle');
    this.bundleVersion = bundle.version;
  }

  /** Version of the bundle published last. */
  get publishedVersion(): number {
    return this.bundleVersion;
  }

  /** Creates a store client as an operator's tool uses it; the caller closes it. */
  storeClient(): HttpStoreClient {
    return new HttpStoreClient({
      address: ADDRESS,
      port: this.store.port,
      timeoutMs: STORE_TIMEOUT_MS,
      dial: this.network.dialerFor({ name: 'operator', az: 'platform' }),
    });
  }

  /** Signs the manifest of a bundle with the key of an operator, by default the operator in force. */
  sign(bundle: Bundle, operator: string = this.operator): ReturnType<typeof signManifest> {
    const { manifest } = splitBundle(bundle);
    return signManifest(manifest, operator, this.keysOf(operator).privateKey);
  }

  private keysOf(operator: string): OperatorKeyPair {
    const held = this.operatorKeys.get(operator);
    if (held !== undefined) return held;
    const created = createOperatorKeys();
    this.operatorKeys.set(operator, created);
    return created;
  }

  /** Text of the next bundle version; `states` sets the state of upstreams by name, `active` by default. */
  bundleText(states: Readonly<Record<string, string>>): string {
    const { shape, acknowledgement, session } = this.options;
    const group = Object.fromEntries(
      shape.groups.map((name) => [
        name,
        {
          connections_per_upstream: shape.connectionsPerUpstream,
          ...(acknowledgement === undefined ? {} : { acknowledgement }),
          ...(session === undefined ? {} : { session }),
        },
      ]),
    );
    const upstream: Record<string, Record<string, object>> = {};
    for (const placed of this.upstreams) {
      const { id } = placed.server.node;
      (upstream[placed.group] ??= {})[id] = {
        az: placed.az,
        address: ADDRESS,
        port: placed.server.port,
        state: states[id] ?? 'active',
      };
    }
    const version = this.bundleVersion + 1;
    const key = this.keysOf(this.operator).publicKey.toString('base64');
    return stringify({
      bundle: { version, base: this.bundleVersion, threshold: 1 },
      operator: { [this.operator]: { key } },
      group,
      upstream,
    });
  }

  /** The upstream named as primary by the group record of the highest term that any host knows. */
  primaryOf(group: string): UpstreamServer {
    const records = this.hosts
      .map((host) => host.board.record(group as never)?.record)
      .filter((record) => record !== undefined);
    const newest = records.sort((a, b) => b.term - a.term)[0];
    const found = this.upstreams.find((placed) => placed.server.node.id === newest?.primary);
    if (found === undefined) throw new Error(`group ${group} has no primary`);
    return found.server;
  }

  /** Upstreams of a group. */
  upstreamsOf(group: string): readonly UpstreamServer[] {
    return this.upstreams.filter((placed) => placed.group === group).map((placed) => placed.server);
  }

  /** Heals the network and stops hosts, upstreams and store. */
  async stop(): Promise<void> {
    this.network.heal();
    await Promise.all(this.hosts.map((host) => host.stop()));
    for (const { server } of this.upstreams) {
      server.setPaused(false);
      server.node.dispose();
      await server.stop();
    }
    await this.store.close();
    this.log.info('stopped');
  }

  private async startGroup(group: string): Promise<void> {
    const { zones, connectionsPerUpstream, connectMs } = this.options.shape;
    const ids = zones.map((_, index) => `${group}-u${index + 1}`);
    const index = this.options.shape.groups.indexOf(group);
    const primary = ids[index % ids.length] ?? '';
    const zoneOf = new Map(ids.map((id, at) => [id, zones[at] ?? '']));
    const party = (id: string): Party => ({ name: id, az: zoneOf.get(id) ?? '' });
    const links = {
      delayMs: (from: string, to: string): number | undefined => {
        if (this.network.isCut(party(from), party(to))) return undefined;
        if (this.network.isCut(party(to), party(from))) return undefined;
        return this.network.latency(party(from), party(to));
      },
    };
    const nodes = ids.map((id) => new UpstreamNode(id, primary, links));
    for (const node of nodes) {
      node.connectPeers(nodes);
      const server = new UpstreamServer({
        node,
        address: ADDRESS,
        port: this.ports.next(),
        user: UPSTREAM_USER,
        password: UPSTREAM_PASSWORD,
        maxConnections: connectionsPerUpstream,
        connectMs,
      });
      await server.listen();
      this.network.register(ADDRESS, server.port, party(node.id));
      this.upstreams.push({ group, az: zoneOf.get(node.id) ?? '', server });
    }
  }

  private settingsOf(name: string, az: string): HostSettings {
    const operator = { [OPERATOR]: { key: this.keysOf(OPERATOR).publicKey.toString('base64') } };
    const base: Record<string, Record<string, unknown>> = {
      host: { name, az },
      listen: {
        address: ADDRESS,
        caller_port: this.ports.next(),
        peer_port: this.ports.next(),
        metrics_port: this.ports.next(),
      },
      store: { address: ADDRESS, port: this.store.port },
      host_list: { address: ADDRESS, port: this.store.port, interval_ms: 1000 },
      peer: { key: this.peerKey },
      upstream: { user: UPSTREAM_USER, password: UPSTREAM_PASSWORD },
      caller: {},
      user: { [EMBEDDED_USER]: { password: EMBEDDED_PASSWORD } },
      token_key: { k1: { secret: this.tokenKey } },
      operator,
    };
    for (const [section, values] of Object.entries(this.options.settings ?? {})) {
      base[section] = { ...base[section], ...values };
    }
    const read = readHostSettings(name, stringify(base));
    if (read.isErr()) throw new Error(JSON.stringify(read.error));
    return read.value;
  }

  private latencyBetween(from: Party, to: Party): number {
    const { zoneLatencyMs, callerLatencyMs } = this.options.shape;
    if (from.az === 'caller' || to.az === 'caller') return callerLatencyMs;
    return from.az === to.az ? 0 : zoneLatencyMs;
  }
}

const STORE_TIMEOUT_MS = 2000;
const UNTIL_POLL_MS = 10;
const UNTIL_TIMEOUT_MS = 30_000;

/** Polls a condition every 10 ms until it holds; throws after `limitMs`, by default 30 s. */
export async function until(
  condition: () => boolean | Promise<boolean>,
  limitMs: number = UNTIL_TIMEOUT_MS,
): Promise<void> {
  const end = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > end) throw new Error(`condition not met: ${condition.toString()}`);
    await new Promise((resolve) => setTimeout(resolve, UNTIL_POLL_MS));
  }
}
