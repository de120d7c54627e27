import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { ReadChoice, ReadRequirements, UpstreamView } from '../src/index.js';
import {
  AcknowledgementKind,
  azId,
  CoveringReplicaRouting,
  groupId,
  SessionGuarantee,
  ORIGIN,
  SeededRandom,
  upstreamId,
  UpstreamState,
} from '../src/index.js';
import { parseLineage, parseReports, recordWith } from './notation.js';

interface RoutingWorld {
  ids: readonly string[];
  zones: readonly string[];
  record: ReturnType<typeof recordWith>;
  az: string;
  reports: string;
  rates: Map<string, number>;
  ages: Map<string, number>;
  leaving: readonly string[];
  choice: ReadChoice;
  served: Map<string, number>;
}

const REQUIREMENTS: ReadRequirements = {
  floor: ORIGIN,
  barrier: false,
  maxAgeMs: undefined,
  maxWaitMs: 20,
};

Given(
  'upstreams {string} in zones {string} with primary {string} and lineage {string}',
  function (this: RoutingWorld, ids: string, zones: string, primary: string, lineage: string) {
    this.ids = ids.split(', ');
    this.zones = zones.split(', ');
    this.record = { ...recordWith(parseLineage(lineage)), primary: upstreamId(primary) };
    this.rates = new Map();
    this.ages = new Map();
    this.leaving = [];
  },
);

Given('the host is in zone {string}', function (this: RoutingWorld, az: string) {
  this.az = az;
});

Given('the upstreams report {string}', function (this: RoutingWorld, reports: string) {
  this.reports = reports;
});

Given(
  'upstream {string} applies {int} offset a millisecond',
  function (this: RoutingWorld, id: string, rate: number) {
    this.rates.set(id, rate);
  },
);

Given('upstreams {string} leave', function (this: RoutingWorld, ids: string) {
  this.leaving = ids.split(', ');
});

Given('the proved ages are {string}', function (this: RoutingWorld, ages: string) {
  for (const pair of ages.split(', ')) {
    const [id = '', age] = pair.split('=');
    this.ages.set(id, Number(age));
  }
});

When(
  'a session that has seen term {int} offset {int} reads',
  function (this: RoutingWorld, term: number, offset: number) {
    this.choice = choose(this, { ...REQUIREMENTS, floor: { term, offset } });
  },
);

When('a resumed session without a token reads', function (this: RoutingWorld) {
  this.choice = choose(this, { ...REQUIREMENTS, barrier: true });
});

When('a read tolerates data of {int} ms', function (this: RoutingWorld, maxAgeMs: number) {
  this.choice = choose(this, { ...REQUIREMENTS, maxAgeMs });
});

When(
  '{int} sessions read with seed {int}',
  function (this: RoutingWorld, count: number, seed: number) {
    const random = new SeededRandom(seed);
    this.served = new Map();
    for (let i = 0; i < count; i += 1) {
      const choice = choose(this, REQUIREMENTS, random);
      if (choice.kind !== 'use') continue;
      this.served.set(choice.upstream, (this.served.get(choice.upstream) ?? 0) + 1);
    }
  },
);

Then('the choice is {string}', function (this: RoutingWorld, wanted: string) {
  assert.equal(describe(this.choice), wanted);
});

Then(
  'each of {string} serves at least {int}',
  function (this: RoutingWorld, ids: string, least: number) {
    for (const id of ids.split(', ')) assert.ok((this.served.get(id) ?? 0) >= least, id);
  },
);

function choose(
  world: RoutingWorld,
  requirements: ReadRequirements,
  random = new SeededRandom(1),
): ReadChoice {
  const views = world.ids.map((id, index) => viewOf(world, id, index));
  const spec = {
    id: groupId('g'),
    upstreams: views.map((view) => view.spec),
    connectionsPerUpstream: 12,
    defaultMaxAgeMs: 0,
    acknowledgement: AcknowledgementKind.Majority,
    sessionGuarantee: SessionGuarantee.Monotonic,
  };
  const { record } = world;
  const input = {
    spec,
    record,
    az: azId(world.az),
    views,
    requirements,
    tried: new Set<never>(),
  };
  return new CoveringReplicaRouting().choose(input, random);
}

function viewOf(world: RoutingWorld, id: string, index: number): UpstreamView {
  const report = parseReports(world.reports).find((candidate) => candidate.upstream === id);
  const last = report === undefined ? undefined : { report, sentAt: 0, at: 0 };
  return {
    spec: {
      id: upstreamId(id),
      az: azId(world.zones[index] ?? ''),
      address: '127.0.0.1',
      port: 1,
      state: world.leaving.includes(id) ? UpstreamState.Leaving : UpstreamState.Active,
    },
    health: { last, failures: last === undefined ? 2 : 0, failingSince: 0 },
    inFlight: 0,
    applyRate: world.rates.get(id) ?? 0,
    ageMs: world.ages.get(id) ?? 0,
  };
}

function describe(choice: ReadChoice): string {
  if (choice.kind === 'use') return `use ${choice.upstream}`;
  if (choice.kind === 'wait') return `wait ${choice.forMs}`;
  return `refuse ${choice.reason}`;
}
