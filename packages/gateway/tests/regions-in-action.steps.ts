import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AzId, RegionId } from '@gladespool/coordination';
import { azId, regionId, Topology } from '@gladespool/coordination';
import type { HostEntry } from '../src/index.js';
import { RelayOrder } from '../src/index.js';
import type { ActionWorld } from './fakes/action-world.js';
import { FORMER, host } from './fakes/action-world.js';
import type { FakeHost } from './fakes/fake-deployment.js';
import { FakeDeployment } from './fakes/fake-deployment.js';

const ZONES = ['z0', 'z1', 'z2'].map(azId);
/** Time over which bytes are counted, milliseconds: a few reads of the store. */
const COUNTED_MS = 1000;
/** Time for links to open and initial updates to arrive, milliseconds. */
const SETTLING_MS = 1000;
/** Round trip to the store from the far region where a scenario does not set it, milliseconds. */
const FAR_MS = 30;

/** Creates a deployment whose zones `far` form a region of their own, `roundTripMs` away from the store. */
function createSpread(far: readonly AzId[], roundTripMs: number): FakeDeployment {
  const deployment = new FakeDeployment();
  const regionOf = (az: AzId): RegionId => regionId(far.includes(az) ? 'far' : 'near');
  deployment.topology = new Topology(new Map(ZONES.map((az) => [az, regionOf(az)])));
  for (const az of far) deployment.roundTripsMs.set(az, roundTripMs);
  return deployment;
}

Given(
  '{int} hosts that serve a group, those of zones {string} {int} ms away from the store in a region of their own',
  { timeout: 20_000 },
  async function (this: ActionWorld, count: number, zones: string, roundTripMs: number) {
    this.deployment = createSpread(zones.split(',').map(azId), roundTripMs);
    await this.deployment.start(count);
    this.former = FORMER;
  },
);

Given(
  '{int} hosts that ping another each {int} ms, those of zones {string} in a region of their own',
  { timeout: 20_000 },
  async function (this: ActionWorld, count: number, pingMs: number, zones: string) {
    this.deployment = createSpread(zones.split(',').map(azId), FAR_MS);
    this.deployment.pingMs = pingMs;
    await this.deployment.start(count);
  },
);

/** The entries of all listed hosts. */
function listed(world: ActionWorld): readonly HostEntry[] {
  return [...host(world, 0).gateway.board.hosts.values()];
}

Then('each host reports its round trip to the store', function (this: ActionWorld) {
  for (const { az, storeRoundTripMs } of listed(this)) {
    const leastMs = this.deployment.roundTripsMs.get(az) ?? 0;
    assert.ok(storeRoundTripMs !== undefined && storeRoundTripMs >= leastMs - 1, az);
  }
});

Then('no host reports its round trip to the store', function (this: ActionWorld) {
  assert.ok(listed(this).every((entry) => entry.storeRoundTripMs === undefined));
});

function parentOf({ gateway }: FakeHost): HostEntry | undefined {
  return new RelayOrder(gateway.board).parent;
}

Then(
  'the host that reads the store is one of zone {string}',
  function (this: ActionWorld, az: string) {
    const readers = this.deployment.hosts.filter((each) => parentOf(each) === undefined);
    assert.deepEqual(
      readers.map(({ gateway }) => gateway.board.az),
      [az],
    );
  },
);

/** Whether a host gets its updates from another region. */
function pollsAcrossRegions(each: FakeHost): boolean {
  const { board } = each.gateway;
  const parent = parentOf(each);
  return (
    parent !== undefined && board.topology.regionOf(parent.az) !== board.topology.regionOf(board.az)
  );
}

/** Bytes that a host has sent to the other region so far. */
async function farBytes({ metrics }: FakeHost): Promise<number> {
  const { values } = await metrics.peerBytes.get();
  return values.find(({ labels }) => labels.distance === 'other-region')?.value ?? 0;
}

/** Asserts that at most `count` hosts send bytes to the other region during `course`, forwarders of updates included. */
async function assertSenders(
  { deployment: { hosts } }: ActionWorld,
  count: number,
  course: () => Promise<void>,
): Promise<void> {
  await pause(SETTLING_MS);
  const before = await Promise.all(hosts.map(farBytes));
  await course();
  const after = await Promise.all(hosts.map(farBytes));
  const sending = hosts.filter((_, index) => (after[index] ?? 0) > (before[index] ?? 0));
  const forwarding = hosts.filter(
    (each) => parentOf(each) === undefined || pollsAcrossRegions(each),
  );
  assert.equal(forwarding.length, 2);
  assert.ok(forwarding.every((each) => sending.includes(each)));
  assert.ok(sending.length <= count, `${sending.length} hosts`);
}

/** Blocks the event loop. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

Then(
  'at most {int} hosts send bytes to the other region, the reader and the one that polls it among them',
  { timeout: 20_000 },
  async function (this: ActionWorld, count: number) {
    await assertSenders(this, count, () => pause(COUNTED_MS));
  },
);

Then(
  'at most {int} hosts send bytes to the other region while all of them pause for {int} ms',
  { timeout: 20_000 },
  async function (this: ActionWorld, count: number, pauseMs: number) {
    await assertSenders(this, count, async () => {
      await pause(COUNTED_MS);
      block(pauseMs);
      await pause(COUNTED_MS);
    });
  },
);

When(
  'the host of the far region that polls the reader no longer reaches the store, nor replies to others',
  async function (this: ActionWorld) {
    const asking = this.deployment.hosts.filter(pollsAcrossRegions);
    assert.equal(asking.length, 1);
    const [gone] = asking;
    assert.ok(gone);
    this.other = gone;
    gone.store.cut = true;
    await gone.gateway.closePeers();
  },
);
