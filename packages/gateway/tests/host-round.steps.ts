import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { HostId } from '@gladespool/coordination';
import {
  azId,
  Distance,
  gladespoolError,
  hostId,
  SINGLE_REGION,
  regionId,
  Step,
  Topology,
} from '@gladespool/coordination';
import type { PeerAddress, PeerLink } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import { err, ok } from 'neverthrow';
import type { HostEntry } from '../src/index.js';
import { GatewayBoard, RelayOrder } from '../src/index.js';
import type { HostRoundOptions, RoundReply } from '../src/control/hosts/host-round.js';
import { HostRound } from '../src/control/hosts/host-round.js';

interface RoundWorld {
  topology: Topology;
  listed: ReadonlyMap<HostId, HostEntry>;
  rounds: Map<HostId, HostRound>;
  silent: Set<HostId>;
  /** Whether the requesting host knows which hosts are unresponsive. */
  silentIsKnown: boolean;
  sent: number;
  /** Hosts to which the requesting host has sent frames. */
  sentTo: Set<HostId>;
  answers: RoundReply[];
  told: HostId[];
}

const REQUESTER = hostId('h0');
const TIMEOUT_MS = 150;
const NO_REPLY = gladespoolError({ step: Step.PeerExchange, peer: 'other' }, 'no answer in time');

function entryOf(index: number, zones: number): HostEntry {
  const az = azId(`z${index % zones}`);
  const host = hostId(`h${index}`);
  return { host, az, address: '127.0.0.1', port: index + 1, incarnation: 1, linkMbps: 20 };
}

/** A link on which `to` receives frames. */
function linkTo(world: RoundWorld, from: HostId, to: HostId): PeerLink {
  const send = (frame: Frame): boolean => {
    world.rounds.get(to)?.onFrame(linkTo(world, to, from), frame);
    return true;
  };
  return { host: from, send } as unknown as PeerLink;
}

function callsOf(world: RoundWorld, self: HostId): HostRoundOptions['calls'] {
  const count = (peer: PeerAddress): void => {
    if (self !== REQUESTER) return;
    world.sent += 1;
    world.sentTo.add(hostId(peer.host));
  };
  const silent = (peer: PeerAddress): boolean => world.silent.has(hostId(peer.host));
  return {
    request: (peer, build, timeoutMs) => {
      count(peer);
      build(1);
      if (!silent(peer)) return Promise.resolve(ok({ kind: FrameKind.RevokeReply, id: 1 }));
      return new Promise((resolve) => {
        setTimeout(() => {
          resolve(err(NO_REPLY));
        }, timeoutMs);
      });
    },
    notify: (peer, frame) => {
      count(peer);
      const to = hostId(peer.host);
      if (frame.kind === FrameKind.StoreUpdate) world.told.push(to);
      if (!silent(peer)) world.rounds.get(to)?.onFrame(linkTo(world, to, self), frame);
      return Promise.resolve(true);
    },
    isReachable: (peer) => !(world.silentIsKnown && silent(peer)),
  };
}

function roundOf(world: RoundWorld, entry: HostEntry): HostRound {
  const board = new GatewayBoard(entry.host, entry.az, world.topology);
  board.putHosts(world.listed);
  return new HostRound({ board, order: new RelayOrder(board), calls: callsOf(world, entry.host) });
}

/** The hosts that a description in a table selects. */
function silentHosts(world: RoundWorld, words: string): readonly HostId[] {
  const board = new GatewayBoard(REQUESTER, azId('z0'));
  board.putHosts(world.listed);
  const other = new RelayOrder(board).hostsOf(azId('z1')).map((entry) => entry.host);
  switch (words) {
    case 'none':
      return [];
    case 'one host':
    case 'the first host of another zone':
      return other.slice(0, 1);
    case 'the first two of another zone, known to it':
      return other.slice(0, 2);
    case 'another zone':
      return other;
    default:
      throw new Error(`unknown words: ${words}`);
  }
}

/** Creates a fleet in which the hosts that a description in a table selects do not reply. */
function createFleet(world: RoundWorld, zones: number, hosts: number, words: string): void {
  const entries = Array.from({ length: zones * hosts }, (_, index) => entryOf(index, zones));
  world.listed = new Map(entries.map((entry) => [entry.host, entry]));
  world.silent = new Set(silentHosts(world, words));
  world.silentIsKnown = words.endsWith('known to it');
  world.sent = 0;
  world.sentTo = new Set();
  world.answers = [];
  world.told = [];
  world.rounds = new Map(entries.map((entry) => [entry.host, roundOf(world, entry)]));
}

Given(
  /^a fleet of (\d+) zones with (\d+) hosts each, of which (.*) do not answer$/,
  function (this: RoundWorld, zones: string, hosts: string, words: string) {
    this.topology = SINGLE_REGION;
    createFleet(this, Number(zones), Number(hosts), words);
  },
);

Given(
  /^a fleet of (\d+) zones in (\d+) regions with (\d+) hosts each, of which (.*) do not answer$/,
  function (this: RoundWorld, zones: string, regions: string, hosts: string, words: string) {
    const names = Array.from({ length: Number(zones) }, (_, index) => index);
    this.topology = new Topology(
      new Map(names.map((zone) => [azId(`z${zone}`), regionId(`r${zone % Number(regions)}`)])),
    );
    createFleet(this, Number(zones), Number(hosts), words);
  },
);

When('host 0 sends a request to all others', async function (this: RoundWorld) {
  const question = {
    kind: FrameKind.HoldRequest,
    id: 0,
    group: 'g1',
    epoch: 1,
    holdMs: 1,
  } as const;
  const answered = await this.rounds.get(REQUESTER)?.requestAll(question, TIMEOUT_MS, (answer) => {
    this.answers.push(answer);
  });
  assert.equal(answered?.size, this.answers.length);
});

Then('{int} hosts have replied, each once', function (this: RoundWorld, count: number) {
  assert.equal(this.answers.length, count);
  assert.equal(new Set(this.answers.map(({ host }) => host)).size, count);
});

Then('host 0 has sent at most {int} frames', function (this: RoundWorld, count: number) {
  assert.ok(this.sent <= count, `${this.sent} frames`);
});

Then(
  'host 0 has sent at most {int} frames, and has used links to {int} hosts of other regions',
  function (this: RoundWorld, frames: number, links: number) {
    assert.ok(this.sent <= frames, `${this.sent} frames`);
    const own = this.listed.get(REQUESTER)?.az;
    assert.ok(own);
    const far = [...this.sentTo].filter((host) => {
      const az = this.listed.get(host)?.az;
      return az !== undefined && this.topology.distance(own, az) === Distance.OtherRegion;
    });
    assert.equal(far.length, links);
  },
);

When('host 0 notifies the others of a changed record', function (this: RoundWorld) {
  this.rounds.get(REQUESTER)?.notifyAll({ kind: FrameKind.StoreUpdate, items: [] });
});

Then(
  '{int} hosts were notified, at least one of each zone',
  function (this: RoundWorld, count: number) {
    assert.equal(new Set(this.told).size, count);
    const zonesOf = (hosts: Iterable<HostId>): ReadonlySet<string | undefined> =>
      new Set([...hosts].map((host) => this.listed.get(host)?.az));
    assert.equal(zonesOf(this.told).size, zonesOf(this.listed.keys()).size);
  },
);

Given('host 0 does not know the last {int} hosts yet', function (this: RoundWorld, count: number) {
  const known = [...this.listed.values()].slice(0, -count);
  const self = known[0];
  assert.ok(self);
  const requester: RoundWorld = Object.create(this, {
    listed: { value: new Map(known.map((entry) => [entry.host, entry])) },
  }) as RoundWorld;
  this.rounds.set(REQUESTER, roundOf(requester, self));
});
