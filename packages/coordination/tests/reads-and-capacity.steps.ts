import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type {
  AzId,
  HomePlan,
  HostId,
  Position,
  UpstreamLoad,
  UpstreamCapacity,
} from '../src/index.js';
import {
  Distance,
  azId,
  chooseUpstream,
  groupId,
  hostId,
  homesOfWorkspace,
  hostsByZone,
  WatermarkLog,
  planHomes,
  readFloor,
  ConnectionAvailability,
  SeededRandom,
  upstreamId,
  workspaceId,
} from '../src/index.js';

interface ReadWorld {
  watermarks: WatermarkLog;
  floor: Position | undefined;
  loads: readonly UpstreamLoad[];
  plan: HomePlan;
}

const EPOCH = 2;
const TARGET_LATENCY_MS = 200;

function positionOf(text: string): Position {
  const [term, offset] = text.split('.').map(Number);
  return { term: term ?? 0, offset: offset ?? 0 };
}

Given('watermarks {string} under epoch 2', function (this: ReadWorld, marks: string) {
  this.watermarks = new WatermarkLog(EPOCH);
  for (const mark of marks.split(',')) {
    const [sentAt, position] = mark.split(':');
    this.watermarks.add({ sentAt: Number(sentAt), position: positionOf(position ?? '') });
  }
});

When(
  'a read begun at {int} ms accepts data {int} ms old, its session having committed {string}',
  function (this: ReadWorld, began: number, stale: number, own: string) {
    const mark = this.watermarks.oldestSince(began - stale);
    const [epoch, position] = own.split(':');
    const committed =
      own === 'none' ? undefined : { epoch: Number(epoch), position: positionOf(position ?? '') };
    this.floor = mark && readFloor(mark, EPOCH, committed);
  },
);

Then('it requires position {string}', function (this: ReadWorld, floor: string) {
  const found = this.floor === undefined ? 'none' : `${this.floor.term}.${this.floor.offset}`;
  assert.equal(found, floor);
});

Given('upstreams loaded {string}', function (this: ReadWorld, loads: string) {
  this.loads = loads.split(',').map((load) => {
    const [id, role, inFlight, meanMs, avoidUntil, place, reuse] = load.split(':');
    return {
      id: upstreamId(id ?? ''),
      isPrimary: role === 'primary',
      distance: place === 'near' ? Distance.SameZone : Distance.SameRegion,
      inFlight: Number(inFlight),
      meanMs: Number(meanMs),
      avoidUntil: Number(avoidUntil ?? '0'),
      availability:
        Object.values(ConnectionAvailability).find((any) => any === reuse) ??
        ConnectionAvailability.Ready,
    };
  });
});

Then('a read at {int} ms goes to {string}', function (this: ReadWorld, now: number, id: string) {
  const random = new SeededRandom(1);
  assert.equal(chooseUpstream(this.loads, TARGET_LATENCY_MS, now, random), id);
});

function planFor(zones: number, hosts: number, capacity: UpstreamCapacity): HomePlan {
  const listed = Array.from({ length: zones * hosts }, (_, index) => ({
    host: hostId(`h${index}`),
    az: azId(`z${index % zones}`),
  }));
  return planHomes(groupId('g'), hostsByZone(listed), capacity);
}

Given(
  '{int} zones of {int} hosts and upstreams of {int} connections and {int} slots',
  function (this: ReadWorld, zones: number, hosts: number, connections: number, slots: number) {
    this.plan = planFor(zones, hosts, { connections, slots, workspaces: 0 });
  },
);

Given(
  '{int} workspaces, {int} zones of 24 hosts and upstreams of {int} connections',
  function (this: ReadWorld, workspaces: number, zones: number, connections: number) {
    this.plan = planFor(zones, 24, { connections, slots: 2, workspaces });
  },
);

Then(
  'the first homes of {int} workspaces are in {int} zones, and the next ones in others',
  function (this: ReadWorld, count: number, zones: number) {
    const azOf = (host: HostId): AzId | undefined =>
      [...this.plan.homes].find(([, homes]) => homes.includes(host))?.[0];
    const firsts = new Set<AzId | undefined>();
    for (let index = 0; index < count; index += 1) {
      const order = homesOfWorkspace(this.plan, groupId('g'), workspaceId(`w${index}`));
      const places = order.map(azOf);
      assert.equal(new Set(places).size, this.plan.homes.size, 'each zone once');
      firsts.add(places[0]);
    }
    assert.equal(firsts.size, zones);
  },
);

Then(
  'each zone has {int} homes of {int} connections',
  function (this: ReadWorld, homes: number, each: number) {
    for (const ids of this.plan.homes.values()) assert.equal(ids.length, homes);
    assert.equal(this.plan.connectionsPerHome, each);
  },
);
