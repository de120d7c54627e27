import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createLogger } from '@gladespool/observability';
import type { MonitoredLink } from '../src/peering/peer-liveness.js';
import { PeerLiveness } from '../src/peering/peer-liveness.js';

interface LivenessWorld {
  liveness: PeerLiveness;
  link: MonitoredLink;
  pings: number;
  closed: boolean;
}

const PEER = { host: 'b', address: '127.0.0.1', port: 1 };

Given('a link to host b', function (this: LivenessWorld) {
  this.liveness = new PeerLiveness(createLogger('test'));
  this.pings = 0;
  this.closed = false;
  this.link = {
    host: PEER.host,
    send: () => {
      this.pings += 1;
      return true;
    },
    close: () => {
      this.closed = true;
      this.liveness.noteLost(this.link);
    },
  };
});

function handleEvent(world: LivenessWorld, what: string, now: number): void {
  const { liveness, link } = world;
  switch (what) {
    case 'ask':
      liveness.expectReply(link, now);
      return;
    case 'frame':
      liveness.noteFrame(link);
      return;
    case 'lost':
      liveness.noteLost(link);
      return;
    case 'tick':
      liveness.tick(now);
      return;
    case 'reached':
      liveness.noteReached(PEER.host);
      return;
    case 'unreachable':
      liveness.noteUnreachable(PEER.host, now);
      return;
    default:
      assert.fail(`unknown event ${what}`);
  }
}

When('this happens on it: {string}', function (this: LivenessWorld, events: string) {
  for (const event of events.split(',')) {
    const [time, what] = event.split(':');
    handleEvent(this, what ?? '', Number(time));
  }
});

Then(
  'it was pinged {int} times and {string}',
  function (this: LivenessWorld, pings: number, state: string) {
    assert.equal(this.pings, pings);
    assert.equal(this.closed, state === 'closed');
  },
);

Then(
  /^at (\d+) ms host b (gets|misses) work$/,
  function (this: LivenessWorld, now: string, verdict: string) {
    assert.equal(this.liveness.isReachable(PEER, Number(now)), verdict === 'gets');
  },
);

Then(
  /^at (\d+) ms host b is (left|dialed)$/,
  function (this: LivenessWorld, now: string, tried: string) {
    assert.equal(this.liveness.shouldRedial(PEER, Number(now)), tried === 'dialed');
  },
);
