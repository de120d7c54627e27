import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { TrackedMember, HostId, Member } from '../src/index.js';
import {
  azId,
  expiredMembers,
  groupId,
  heartbeatIntervalMs,
  homeShare,
  homesOf,
  hostId,
  mergeViews,
  MemberState,
  applyHeartbeat,
} from '../src/index.js';

interface HomesWorld {
  hosts: readonly HostId[];
  groups: number;
  zoneShare: number;
  homesPerGroup: number;
  oldAndNew: readonly number[];
  views: readonly (readonly Member[])[];
  expired: readonly Member[];
}

const RELEASE_MS = 5000;
const EXPIRE_MS = 3500;

Given(
  '{int} hosts of a zone and {int} groups',
  function (this: HomesWorld, hosts: number, groups: number) {
    this.hosts = Array.from({ length: hosts }, (_, index) => hostId(`h${index}`));
    this.groups = groups;
  },
);

When('one host is lost', function (this: HomesWorld) {
  assert.ok(this.hosts.length > 1);
});

Then(
  'only groups that it held change their homes, and each by one host',
  function (this: HomesWorld) {
    const [lost, ...left] = this.hosts;
    for (let i = 0; i < this.groups; i += 1) {
      const group = groupId(`g${i}`);
      const before = homesOf(group, this.hosts, 2);
      const after = homesOf(group, left, 2);
      const kept = before.filter((host) => after.includes(host)).length;
      const held = lost !== undefined && before.includes(lost);
      assert.equal(kept, held ? 1 : 2);
    }
  },
);

Given(
  "a zone's share of {int} connections and {int} homes a group",
  function (this: HomesWorld, part: number, homesPerGroup: number) {
    this.zoneShare = part;
    this.homesPerGroup = homesPerGroup;
  },
);

When('both homes are replaced at once and old and new serve together', function (this: HomesWorld) {
  const old = shareAfter(this, RELEASE_MS * 10);
  const fresh = shareAfter(this, 0);
  this.oldAndNew = [old, old, fresh, fresh];
});

Then(
  'they hold at most {int} connections together and each at least 1',
  function (this: HomesWorld, most: number) {
    const sum = this.oldAndNew.reduce((total, part) => total + part, 0);
    assert.ok(sum <= most, `${sum} > ${most}`);
    for (const part of this.oldAndNew) assert.ok(part >= 1);
  },
);

Then(
  'a home of {int} s has less than one of {int} s when releasing a slot takes 5 s',
  function (this: HomesWorld, young: number, old: number) {
    assert.ok(shareAfter(this, young * 1000) < shareAfter(this, old * 1000));
  },
);

Given('relay views {string}', function (this: HomesWorld, views: string) {
  this.views = views.split(', ').map((view) => {
    const [incarnation, state] = view.split(':');
    return [memberOf(Number(incarnation), stateOf(state))];
  });
});

Then(/^host "x" is (live|leaving|gone)$/, function (this: HomesWorld, state: string) {
  assert.equal(mergeViews(this.views)[0]?.state, state);
});

When(
  'a host sends heartbeats at {string} and the relay checks at {int}',
  function (this: HomesWorld, heartbeats: string, now: number) {
    let tracked: TrackedMember | undefined;
    for (const at of heartbeats.split(', ').map(Number)) {
      tracked = applyHeartbeat(tracked, memberOf(1, MemberState.Live), at).heard;
    }
    this.expired = tracked === undefined ? [] : expiredMembers([tracked], now, EXPIRE_MS);
  },
);

Then('the relay reports {string}', function (this: HomesWorld, told: string) {
  assert.equal(this.expired.map((member) => member.state).join(', '), told);
});

Then(
  'a zone of {int} hosts sends heartbeats every {int} ms with base {int} and expiry {int}',
  (members: number, interval: number, base: number, expiry: number) => {
    assert.equal(Math.round(heartbeatIntervalMs(base, members, expiry)), interval);
  },
);

function shareAfter(world: HomesWorld, now: number): number {
  const rules = { homesPerGroup: world.homesPerGroup, releaseTimeoutMs: RELEASE_MS };
  return homeShare(world.zoneShare, { since: 0, handedOver: false }, rules, now);
}

function memberOf(incarnation: number, state: MemberState): Member {
  const address = '127.0.0.1';
  return { host: hostId('x'), az: azId('az1'), address, port: 1, incarnation, state };
}

function stateOf(text: string | undefined): MemberState {
  const state = Object.values(MemberState).find((candidate) => text === candidate.valueOf());
  if (state === undefined) throw new Error(`no state ${text ?? ''}`);
  return state;
}
