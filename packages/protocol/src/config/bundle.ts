/**
 * The operators' configuration bundle: an INI document, split into content-addressed parts so that a change of one
 * group transfers little data, and a signed manifest that lists the parts.
 */
import { createHash } from 'node:crypto';
import type { GroupSpec, UpstreamSpec } from '@gladespool/coordination';
import {
  AcknowledgementKind,
  azId,
  groupId,
  hash32,
  MIN_ZONE_SHARE,
  majorityOf,
  SessionGuarantee,
  upstreamId,
  UpstreamState,
} from '@gladespool/coordination';
import { stringify } from 'ini';
import type { Result } from 'neverthrow';
import * as z from 'zod';
import { base64Bytes, ipAddress, name, oneOf, port, integerBetween } from './fields.js';
import type { OperatorKey } from './host-settings.js';
import type { ConfigFault, NestedSection } from './ini-document.js';
import { IniDocument } from './ini-document.js';

const PUBLIC_KEY_BYTES = 32;
const DEFAULT_CONNECTIONS = 25;
/** Parts per set of availability zones; with 3,800 groups in 7 regions, a part holds about 34 groups. */
const BUCKETS_PER_ZONE_SET = 16;
/** Zones of a part that all hosts need. */
const ALL_ZONES = '*';
const HASH_LENGTH = 32;

const headSection = z.strictObject({
  version: integerBetween(1, Number.MAX_SAFE_INTEGER),
  base: integerBetween(0, Number.MAX_SAFE_INTEGER),
  threshold: integerBetween(1, 16).default(1),
});

const operatorSection = z.strictObject({ key: base64Bytes(PUBLIC_KEY_BYTES) });

const groupSection = z.strictObject({
  connections_per_upstream: integerBetween(1, 10_000).default(DEFAULT_CONNECTIONS),
  max_age_ms: integerBetween(0, 86_400_000).default(0),
  acknowledgement: oneOf([AcknowledgementKind.Majority, AcknowledgementKind.PrimaryCommit]).default(
    AcknowledgementKind.Majority,
  ),
  session: oneOf([SessionGuarantee.Monotonic, SessionGuarantee.OwnWrites]).default(
    SessionGuarantee.Monotonic,
  ),
});

const upstreamSection = z.strictObject({
  az: name,
  address: ipAddress,
  port,
  state: oneOf([UpstreamState.Active, UpstreamState.Leaving]).default(UpstreamState.Active),
});

/** A decoded bundle. */
export interface Bundle {
  readonly version: number;
  /** Version on which it is based; 0 for the first bundle. */
  readonly base: number;
  /** Number of signatures that the next version needs. */
  readonly threshold: number;
  readonly operators: readonly OperatorKey[];
  readonly groups: readonly GroupSpec[];
}

/** Version, base, threshold and operators of a bundle. */
export type BundleCore = Omit<Bundle, 'groups'>;

type Faults = readonly ConfigFault[];

/** Decodes and validates a bundle; reports all faults at once. */
export function readBundle(file: string, text: string): Result<Bundle, Faults> {
  const document = new IniDocument(file, withoutSignatures(text));
  const core = coreOf(document);
  const groups = groupsOf(document);
  return document.finish<Bundle>(core === undefined ? undefined : { ...core, groups });
}

/** Decodes the first part of a split bundle. */
export function readBundleCore(file: string, text: string): Result<BundleCore, Faults> {
  const document = new IniDocument(file, text);
  return document.finish<BundleCore>(coreOf(document));
}

/** Decodes one of the other parts of a split bundle. */
export function readBundleGroups(file: string, text: string): Result<readonly GroupSpec[], Faults> {
  const document = new IniDocument(file, text);
  return document.finish(groupsOf(document));
}

function coreOf(document: IniDocument): BundleCore | undefined {
  const head = document.section('bundle', headSection);
  const operators = document.named('operator', operatorSection);
  if (head === undefined) return undefined;
  if (head.version <= head.base) {
    const seen = String(head.version);
    document.report({ section: 'bundle', key: 'version', seen, allowed: 'above base' });
  }
  if (head.threshold > operators.length) {
    const allowed = `at most the number of operators, ${operators.length}`;
    document.report({ section: 'bundle', key: 'threshold', seen: String(head.threshold), allowed });
  }
  const { version, base, threshold } = head;
  const keys = operators.map((entry) => ({ name: entry.name, key: entry.value.key }));
  return { version, base, threshold, operators: keys };
}

function groupsOf(document: IniDocument): readonly GroupSpec[] {
  const groups = document.named('group', groupSection);
  const upstreams = document.nested('upstream', upstreamSection);
  const byGroup = new Map<string, UpstreamSpec[]>();
  for (const section of upstreams) {
    const existing = byGroup.get(section.outer);
    if (existing === undefined) byGroup.set(section.outer, [specOf(section)]);
    else existing.push(specOf(section));
  }
  const specs = groups.map(({ name: id, value }) => ({
    id: groupId(id),
    upstreams: byGroup.get(id) ?? [],
    connectionsPerUpstream: value.connections_per_upstream,
    defaultMaxAgeMs: value.max_age_ms,
    acknowledgement: value.acknowledgement,
    sessionGuarantee: value.session,
  }));
  checkGroups(document, specs, upstreams);
  return specs;
}

type UpstreamSection = NestedSection<z.output<typeof upstreamSection>>;

function specOf(section: UpstreamSection): UpstreamSpec {
  return {
    id: upstreamId(section.name),
    az: azId(section.value.az),
    address: section.value.address,
    port: section.value.port,
    state: section.value.state,
  };
}

function checkGroups(
  document: IniDocument,
  groups: readonly GroupSpec[],
  upstreams: readonly UpstreamSection[],
): void {
  const known = new Set(groups.map((group) => String(group.id)));
  for (const { outer, name: id } of upstreams) {
    if (known.has(outer)) continue;
    const section = `upstream.${outer}.${id}`;
    document.report({ section, key: '', seen: outer, allowed: 'a group of this bundle' });
  }
  for (const group of groups) checkGroup(document, group);
}

function checkGroup(document: IniDocument, group: GroupSpec): void {
  const section = `group.${group.id}`;
  const total = group.upstreams.length;
  const active = group.upstreams.filter((spec) => spec.state === UpstreamState.Active).length;
  if (total === 0 || active < majorityOf(total)) {
    const allowed = `active upstreams in a majority of its ${total}, and at least one`;
    document.report({ section, key: '', seen: `${active} active`, allowed });
  }
  const zones = new Set(group.upstreams.map((spec) => spec.az)).size;
  if (group.connectionsPerUpstream < zones * MIN_ZONE_SHARE) {
    const seen = String(group.connectionsPerUpstream);
    const allowed = `at least ${MIN_ZONE_SHARE} for each of its ${zones} availability zones`;
    document.report({ section, key: 'connections_per_upstream', seen, allowed });
  }
}

const SIGNATURES_LINE = /^\[signatures\]\s*$/m;

/** Returns the document without its signatures, from which the parts are created. */
export function withoutSignatures(text: string): string {
  const match = SIGNATURES_LINE.exec(text);
  return match === null ? text : text.slice(0, match.index);
}

/** A part of a bundle, addressed by the hash of its text. */
export interface BundlePart {
  readonly hash: string;
  /** Comma-separated availability zones that need the part, or `*` for all. */
  readonly zones: string;
  readonly text: string;
}

/** A bundle split for storage and distribution. */
export interface SplitBundle {
  /** Head and operators first, followed by the groups by zones and bucket. */
  readonly parts: readonly BundlePart[];
  /** Text signed by operators: version, base, and hash and zones of each part. */
  readonly manifest: string;
}

/** Splits a bundle. The parts depend only on its content, not on the layout or comments of its text. */
export function splitBundle(bundle: Bundle): SplitBundle {
  const buckets = new Map<string, GroupSpec[]>();
  for (const group of bundle.groups) {
    const key = `${zonesOf(group)}#${hash32(group.id) % BUCKETS_PER_ZONE_SET}`;
    const existing = buckets.get(key);
    if (existing === undefined) buckets.set(key, [group]);
    else existing.push(group);
  }
  const ordered = [...buckets].sort(([a], [b]) => (a < b ? -1 : 1));
  const parts = [
    partOf(writeHead(bundle), ALL_ZONES),
    ...ordered.map(([key, groups]) => partOf(writeGroups(groups), key.split('#')[0] ?? ALL_ZONES)),
  ];
  const lines = parts.map((part) => `${part.hash} ${part.zones}`);
  return { parts, manifest: [`${bundle.version} ${bundle.base}`, ...lines, ''].join('\n') };
}

function zonesOf(group: GroupSpec): string {
  return [...new Set(group.upstreams.map((spec) => spec.az))].sort().join(',');
}

/** Entry of a part in a manifest. */
export interface ListedPart {
  readonly hash: string;
  readonly zones: string;
}

/** A decoded manifest. */
export interface Manifest {
  readonly version: number;
  readonly base: number;
  /** The first part contains the head and the operators. */
  readonly parts: readonly [ListedPart, ...ListedPart[]];
}

/** Decodes a manifest; undefined if it is malformed. */
export function readManifest(text: string): Manifest | undefined {
  const [head, ...lines] = text.trimEnd().split('\n');
  const match = /^(\d+) (\d+)$/.exec(head ?? '');
  const listed = lines.map(readPartLine).filter((part) => part !== undefined);
  const [first, ...others] = listed;
  if (match === null || first === undefined || listed.length !== lines.length) return undefined;
  return { version: Number(match[1]), base: Number(match[2]), parts: [first, ...others] };
}

function readPartLine(line: string): ListedPart | undefined {
  const match = /^([0-9a-f]+) (\S+)$/.exec(line);
  const hash = match?.[1];
  const zones = match?.[2];
  return hash === undefined || zones === undefined ? undefined : { hash, zones };
}

/** Whether hosts in `az` need a part. */
export function isNeededInZone(part: ListedPart, az: string): boolean {
  return part.zones === ALL_ZONES || part.zones.split(',').includes(az);
}

/** Hash that addresses a part. */
export function hashPart(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_LENGTH);
}

/** Joins the texts of parts into one document. */
export function joinParts(texts: readonly string[]): string {
  return texts.join('\n');
}

function partOf(text: string, zones: string): BundlePart {
  return { hash: hashPart(text), zones, text };
}

function writeHead(bundle: Bundle): string {
  const operator = Object.fromEntries(
    bundle.operators.map((entry) => [entry.name, { key: entry.key.toString('base64') }]),
  );
  const { version, base, threshold } = bundle;
  return stringify({ bundle: { version, base, threshold }, operator });
}

function writeGroups(groups: readonly GroupSpec[]): string {
  const ordered = [...groups].sort((a, b) => (a.id < b.id ? -1 : 1));
  const group = Object.fromEntries(
    ordered.map((spec) => [
      spec.id,
      {
        connections_per_upstream: spec.connectionsPerUpstream,
        max_age_ms: spec.defaultMaxAgeMs,
        acknowledgement: spec.acknowledgement,
        session: spec.sessionGuarantee,
      },
    ]),
  );
  const upstream = Object.fromEntries(
    ordered.map((spec) => [spec.id, Object.fromEntries(spec.upstreams.map(writeUpstream))]),
  );
  return stringify({ group, upstream });
}

function writeUpstream(spec: UpstreamSpec): readonly [string, object] {
  const { az, address, port: portNumber, state } = spec;
  return [spec.id, { az, address, port: portNumber, state }];
}
