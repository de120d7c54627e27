import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { DataTable } from '@cucumber/cucumber';
import { stringify } from 'ini';
import type { Result } from 'neverthrow';
import type {
  Bundle,
  BundleSignature,
  ConfigFault,
  OperatorKeyPair,
  TrustRoot,
} from '../src/index.js';
import {
  classifyStatement,
  createOperatorKeys,
  isAuthorized,
  joinParts,
  readBundle,
  readHostSettings,
  readMarks,
  signManifest,
  splitBundle,
} from '../src/index.js';

interface TextWorld {
  faults: readonly ConfigFault[];
  bundle: Result<Bundle, readonly ConfigFault[]>;
  large: Bundle;
  changed: Bundle;
  keys: Map<string, OperatorKeyPair>;
  trust: TrustRoot;
  signatures: readonly BundleSignature[];
}

const MANIFEST = '2 1\nabc *\n';

Then('{string} is classified as {string}', (sql: string, kind: string) => {
  assert.equal(classifyStatement(sql), kind);
});

Then('the marks of {string} are {string}', (comment: string, wanted: string) => {
  const marked = readMarks(`SELECT 1 /*${comment}*/`);
  if (marked.isErr()) {
    assert.equal(`refused ${marked.error.reason}`, wanted);
    return;
  }
  const { requestId, repeatable, maxAgeMs, deadlineMs, priority } = marked.value.marks;
  const words = [
    requestId === undefined ? [] : [`id=${requestId}`],
    [`repeatable=${repeatable}`],
    maxAgeMs === undefined ? [] : [`age=${maxAgeMs}`],
    deadlineMs === undefined ? [] : [`deadline=${deadlineMs}`],
    priority === undefined ? [] : [priority],
  ];
  assert.equal(words.flat().join(' '), wanted);
});

When('these settings are read:', function (this: TextWorld, text: string) {
  const settings = readHostSettings('test.ini', text);
  this.faults = settings.isErr() ? settings.error : [];
});

Then('the faults are:', function (this: TextWorld, table: DataTable) {
  const found = this.faults.map((fault) => ({
    place: placeOf(fault),
    seen: fault.seen ?? 'missing',
  }));
  const byPlace = (a: { place: string }, b: { place: string }): number =>
    a.place.localeCompare(b.place);
  const wanted = table.hashes().map(({ place = '', seen = '' }) => ({ place, seen }));
  assert.deepEqual([...found].sort(byPlace), [...wanted].sort(byPlace));
});

When('a bundle with {string} is read', function (this: TextWorld, change: string) {
  this.bundle = readBundle('test', stringify(changedBundle(change)));
});

Then('it is refused at {string}', function (this: TextWorld, place: string) {
  assert.ok(this.bundle.isErr());
  assert.ok(this.bundle.error.map(placeOf).includes(place), this.bundle.error.map(placeOf).join());
});

Given(
  'a bundle of {int} groups over {int} zones',
  function (this: TextWorld, groups: number, zones: number) {
    this.large = readBundle('test', stringify(largeBundle(groups, zones)))._unsafeUnwrap();
  },
);

When('one group changes', function (this: TextWorld) {
  const groups = this.large.groups.map((group, index) =>
    index === 7 ? { ...group, defaultMaxAgeMs: 900 } : group,
  );
  const { version } = this.large;
  this.changed = { ...this.large, version: version + 1, base: version, groups };
});

Then(
  '{int} parts differ, and the parts join to the same bundle',
  function (this: TextWorld, count: number) {
    const before = new Set(splitBundle(this.large).parts.map((part) => part.hash));
    const { parts } = splitBundle(this.changed);
    assert.equal(parts.filter((part) => !before.has(part.hash)).length, count);
    const joined = readBundle('test', joinParts(parts.map((part) => part.text)))._unsafeUnwrap();
    const ordered = (bundle: Bundle): readonly unknown[] =>
      [...bundle.groups].sort((a, b) => (a.id < b.id ? -1 : 1));
    assert.deepEqual(ordered(joined), ordered(this.changed));
  },
);

Given(
  'operators {string} with threshold {int}',
  function (this: TextWorld, names: string, threshold: number) {
    this.keys = new Map(names.split(', ').map((name) => [name, createOperatorKeys()]));
    const operators = [...this.keys].map(([name, pair]) => ({ name, key: pair.publicKey }));
    this.trust = { operators, threshold };
  },
);

When('the manifest is signed by {string}', function (this: TextWorld, signers: string) {
  this.signatures = signers.split(', ').map((signer) => {
    const keys = this.keys.get(signer) ?? createOperatorKeys();
    return signManifest(MANIFEST, signer.replace("'", ''), keys.privateKey);
  });
});

Then(/^it is (authorized|not authorized)$/, function (this: TextWorld, verdict: string) {
  const authorized = isAuthorized(MANIFEST, this.signatures, this.trust);
  assert.equal(authorized ? 'authorized' : 'not authorized', verdict);
});

function placeOf(fault: ConfigFault): string {
  return `[${fault.section}]${fault.key === '' ? '' : ` ${fault.key}`}`;
}

interface BundleText {
  bundle: Record<string, unknown>;
  operator: Record<string, unknown>;
  group: Record<string, Record<string, unknown>>;
  upstream: Record<string, Record<string, Record<string, unknown>>>;
}

function validBundle(): BundleText {
  const key = createOperatorKeys().publicKey.toString('base64');
  const upstream = (az: string): Record<string, unknown> => ({ az, address: '127.0.0.1', port: 1 });
  return {
    bundle: { version: 1, base: 0, threshold: 1 },
    operator: { alice: { key } },
    group: { g: { connections_per_upstream: 25 } },
    upstream: { g: { u1: upstream('az1'), u2: upstream('az2'), u3: upstream('az3') } },
  };
}

function changedBundle(change: string): BundleText {
  const text = validBundle();
  const { u1 = {}, u2 = {}, u3 = {} } = text.upstream.g ?? {};
  const changes: Readonly<Record<string, () => void>> = {
    'no upstreams': () => {
      text.upstream = {};
    },
    'two of three upstreams leaving': () => {
      text.upstream.g = { u1: { ...u1, state: 'leaving' }, u2: { ...u2, state: 'leaving' }, u3 };
    },
    '11 connections for three zones': () => {
      text.group.g = { connections_per_upstream: 11 };
    },
    'an upstream of an unknown group': () => {
      text.upstream.other = { u1 };
    },
    'version not above base': () => {
      text.bundle = { ...text.bundle, base: 1 };
    },
    'threshold above operators': () => {
      text.bundle = { ...text.bundle, threshold: 2 };
    },
    'a port out of range': () => {
      text.upstream.g = { u1: { ...u1, port: 70_000 }, u2, u3 };
    },
  };
  changes[change]?.();
  return text;
}

function largeBundle(groups: number, zones: number): BundleText {
  const text = validBundle();
  text.group = {};
  text.upstream = {};
  for (let i = 0; i < groups; i += 1) {
    text.group[`g${i}`] = { connections_per_upstream: 25 };
    const members = [0, 1, 2].map((place): [string, Record<string, unknown>] => {
      const zone = 3 * (i % (zones / 3)) + place;
      return [`u${place}`, { az: `az${zone}`, address: '127.0.0.1', port: 1000 + i }];
    });
    text.upstream[`g${i}`] = Object.fromEntries(members);
  }
  return text;
}
