/**
 * Settings of one host, read from an INI file: addresses, availability zone, keys and limits.
 */
import type { AzId, HostId } from '@gladespool/coordination';
import { azId, hostId } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import * as z from 'zod';
import type { TokenKey } from '../session-token.js';
import { base64Bytes, ipAddress, name, port, integerBetween } from './fields.js';
import type { ConfigFault } from './ini-document.js';
import { IniDocument } from './ini-document.js';

const MIN_KEY_BYTES = 16;
const DAY_MS = 86_400_000;

const hostSection = z.strictObject({
  name: name.describe('Name of this host, unique in the deployment.'),
  az: name.describe('Availability zone of this host.'),
});

const listenSection = z.strictObject({
  address: ipAddress.default('127.0.0.1').describe('IP address to listen on and to be reached at.'),
  caller_port: port.default(6432).describe('Port for callers; 0 chooses a free one.'),
  peer_port: port.default(6433).describe('Port for other hosts; 0 chooses a free one.'),
  metrics_port: port
    .default(6434)
    .describe('Port of /metrics, /healthz and /readyz; 0 chooses one.'),
});

const storeSection = z.strictObject({
  address: ipAddress.default('127.0.0.1').describe("IP address of the platform's store."),
  port: port.default(2379).describe("Port of the platform's store."),
  timeout_ms: integerBetween(10, 60_000).default(2000).describe('Longest wait for the store, ms.'),
});

const hostListSection = z.strictObject({
  address: ipAddress.default('127.0.0.1').describe("IP address of the platform's host list."),
  port: port.default(2379).describe("Port of the platform's host list."),
  interval_ms: integerBetween(100, 600_000)
    .default(10_000)
    .describe('How often the list is read, ms.'),
});

const peerSection = z.strictObject({
  key: base64Bytes(MIN_KEY_BYTES).describe('Shared key that hosts prove to each other, base64.'),
  heartbeat_ms: integerBetween(20, 60_000)
    .default(1000)
    .describe('Heartbeat interval to relays, ms.'),
  expire_ms: integerBetween(60, 600_000)
    .default(3500)
    .describe('A host not heard of for so long counts as gone, ms.'),
  homes_per_group: integerBetween(1, 16).default(2).describe('Hosts of a zone that hold a group.'),
  relays: integerBetween(1, 8)
    .default(2)
    .describe('Hosts of a zone that hold the watches on the store.'),
});

const upstreamSection = z.strictObject({
  user: z.string({ error: 'user name' }).default('gladespool').describe('User on upstreams.'),
  password: z.string({ error: 'password' }).describe('Password on upstreams.'),
  connect_timeout_ms: integerBetween(10, 60_000)
    .default(1000)
    .describe('Longest connect time, ms.'),
  status_interval_ms: integerBetween(5, 60_000)
    .default(500)
    .describe('Time between status queries, ms.'),
  status_timeout_ms: integerBetween(5, 60_000)
    .default(500)
    .describe('Longest wait for a status, ms.'),
  suspect_after_ms: integerBetween(10, 600_000)
    .default(1000)
    .describe('Writes not confirmable for so long make the primary suspect, ms.'),
  ledger_keep_ms: integerBetween(1000, 30 * DAY_MS)
    .default(DAY_MS)
    .describe('Time for which ids of requests that run at most once are kept, ms.'),
});

const callerSection = z.strictObject({
  default_deadline_ms: integerBetween(1, 300_000)
    .default(5000)
    .describe('Deadline of unmarked requests, ms.'),
  login_timeout_ms: integerBetween(10, 600_000).default(10_000).describe('Longest login, ms.'),
  max_callers: integerBetween(1, 1_000_000).default(20_000).describe('Caller connections at most.'),
  max_message_bytes: integerBetween(1024, 16_777_216)
    .default(1_048_576)
    .describe('Largest message, bytes.'),
  max_answer_bytes: integerBetween(1024, 16_777_216)
    .default(8_388_608)
    .describe('Largest answer, bytes.'),
  max_waiting: integerBetween(1, 100_000)
    .default(200)
    .describe('Requests that wait per upstream at most.'),
  replica_wait_ms: integerBetween(0, 10_000)
    .default(20)
    .describe('Longest wait for a replica, ms.'),
  drain_ms: integerBetween(0, DAY_MS)
    .default(30_000)
    .describe('Longest time to finish work on a stop, ms.'),
  tls_key_file: z.string().optional().describe('Private key file; unset refuses TLS.'),
  tls_cert_file: z.string().optional().describe('Certificate file; unset refuses TLS.'),
});

const userSection = z.strictObject({
  password: z.string({ error: 'password' }).describe('Password of this caller.'),
});

const tokenKeySection = z.strictObject({
  secret: base64Bytes(MIN_KEY_BYTES).describe('Secret that authenticates session tokens, base64.'),
});

const trustSection = z.strictObject({
  threshold: integerBetween(1, 16).default(1).describe('Signatures that the first bundle needs.'),
});

const operatorSection = z.strictObject({
  key: base64Bytes(32).describe('Ed25519 public key of an operator trusted at first, base64.'),
});

/** Unnamed sections, for validation and for `settings show`. */
export const SETTINGS_SECTIONS = {
  host: hostSection,
  listen: listenSection,
  store: storeSection,
  host_list: hostListSection,
  peer: peerSection,
  upstream: upstreamSection,
  caller: callerSection,
  trust: trustSection,
} as const;

/** Sections that may occur several times, as `[prefix.name]`. */
export const SETTINGS_NAMED_SECTIONS = {
  user: userSection,
  token_key: tokenKeySection,
  operator: operatorSection,
} as const;

/** Public key of an operator. */
export interface OperatorKey {
  readonly name: string;
  /** Raw Ed25519 public key, 32 bytes. */
  readonly key: Buffer;
}

/** Trusted operators and the number of their signatures needed. */
export interface TrustRoot {
  readonly operators: readonly OperatorKey[];
  readonly threshold: number;
}

/** Validated settings of a host. */
export interface HostSettings {
  readonly host: HostId;
  readonly az: AzId;
  readonly listen: z.output<typeof listenSection>;
  readonly store: z.output<typeof storeSection>;
  readonly hostList: z.output<typeof hostListSection>;
  readonly peer: z.output<typeof peerSection>;
  readonly upstream: z.output<typeof upstreamSection>;
  readonly caller: z.output<typeof callerSection>;
  readonly users: ReadonlyMap<string, string>;
  readonly tokenKeys: readonly [TokenKey, ...TokenKey[]];
  readonly trust: TrustRoot;
}

/** Decodes settings; reports all faults at once. */
export function readHostSettings(
  file: string,
  text: string,
): Result<HostSettings, readonly ConfigFault[]> {
  const document = new IniDocument(file, text);
  const host = document.section('host', hostSection);
  const listen = document.section('listen', listenSection);
  const store = document.section('store', storeSection);
  const hostList = document.section('host_list', hostListSection);
  const peer = document.section('peer', peerSection);
  const upstream = document.section('upstream', upstreamSection);
  const caller = document.section('caller', callerSection);
  const trust = document.section('trust', trustSection);
  const users = document.named('user', userSection);
  const tokenKeys = readTokenKeys(document);
  const operators = document.named('operator', operatorSection);
  checkTls(document, caller);
  const complete = host && listen && store && hostList && peer && upstream && caller && trust;
  if (!complete || tokenKeys === undefined) return document.finish<HostSettings>(undefined);
  return document.finish<HostSettings>({
    host: hostId(host.name),
    az: azId(host.az),
    listen,
    store,
    hostList,
    peer,
    upstream,
    caller,
    users: new Map(users.map((user) => [user.name, user.value.password])),
    tokenKeys,
    trust: {
      operators: operators.map((entry) => ({ name: entry.name, key: entry.value.key })),
      threshold: trust.threshold,
    },
  });
}

function readTokenKeys(document: IniDocument): [TokenKey, ...TokenKey[]] | undefined {
  const sections = document.named('token_key', tokenKeySection);
  const [first, ...others] = sections.map(({ name: id, value }) => ({ id, secret: value.secret }));
  if (first !== undefined) return [first, ...others];
  const allowed = 'at least one [token_key.NAME] section';
  document.report({ section: 'token_key', key: '', seen: undefined, allowed });
  return undefined;
}

function checkTls(document: IniDocument, caller: z.output<typeof callerSection> | undefined): void {
  if (caller === undefined) return;
  const hasKey = caller.tls_key_file !== undefined;
  const hasCert = caller.tls_cert_file !== undefined;
  if (hasKey === hasCert) return;
  const key = hasKey ? 'tls_cert_file' : 'tls_key_file';
  document.report({ section: 'caller', key, seen: undefined, allowed: 'both TLS files or none' });
}
