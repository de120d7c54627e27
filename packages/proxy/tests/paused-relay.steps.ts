import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { azId, hostId, MemberState } from '@gladespool/coordination';
import type { PeerLink } from '@gladespool/peers';
import { FrameKind } from '@gladespool/protocol';
import { RelayService } from '../src/control/relay-service.js';

interface RelayWorld {
  relay: RelayService;
  /** Whether the host was still live just before the relay resumed reading. */
  isLive: boolean;
}

const EXPIRE_MS = 100;
const HOST = hostId('h1');
const AZ = azId('z1');

Given('a relay that receives heartbeats from a host', function (this: RelayWorld) {
  const rules = { expireMs: EXPIRE_MS, pushDelayMs: 1 };
  this.relay = new RelayService(AZ, 1, rules, () => undefined);
  const link = { host: HOST, send: () => true } as unknown as PeerLink;
  const address = '127.0.0.1';
  const state = MemberState.Live;
  this.relay.onFrame(link, {
    kind: FrameKind.Heartbeat,
    self: { host: HOST, az: AZ, address, port: 1, incarnation: 1, state },
    bundleVersion: 1,
    heardUpTo: 0,
    heardOf: 0,
  });
});

After(function (this: Partial<RelayWorld>) {
  this.relay?.stop();
});

When('it is paused for longer than the expiry time', async function (this: RelayWorld) {
  await pause(1);
  const until = performance.now() + 2 * EXPIRE_MS;
  while (performance.now() < until);
  // Due timers fire in order, so the relay's timer fires before this one.
  await pause(1);
  this.isLive = this.relay.hostVersions.has(HOST);
});

When('that host stops sending heartbeats', function () {
  // The host sends no further heartbeats.
});

Then('the host is still live when the relay resumes reading', function (this: RelayWorld) {
  assert.equal(this.isLive, true);
});

Then('the host eventually counts as gone', async function (this: RelayWorld) {
  while (this.relay.hostVersions.has(HOST)) await pause(1);
});
