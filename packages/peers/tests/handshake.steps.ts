import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { After, Then, When } from '@cucumber/cucumber';
import type { Frame } from '@gladespool/protocol';
import {
  createNonce,
  encodeFrame,
  FrameKind,
  HandshakeSide,
  PEER_PROTOCOL_VERSION,
} from '@gladespool/protocol';
import { PeerLink } from '../src/index.js';

interface HandshakeWorld {
  dialer: Socket;
  stop: () => void;
  ready: boolean;
  closed: boolean;
}

const LOOPBACK = '127.0.0.1';
const WAIT_MS = 100;

const FRAMES: ReadonlyMap<string, Frame> = new Map<string, Frame>([
  [
    'hello',
    {
      kind: FrameKind.Hello,
      version: PEER_PROTOCOL_VERSION,
      host: 'evil',
      az: 'z',
      nonce: createNonce(),
    },
  ],
  ['ready', { kind: FrameKind.Ready, epoch: 1 }],
  ['wrong-proof', { kind: FrameKind.Proof, mac: Buffer.alloc(32) }],
]);

function listen(world: HandshakeWorld): Promise<number> {
  const server = createServer((socket) => {
    new PeerLink({
      socket,
      side: HandshakeSide.Listener,
      identity: { host: 'h', az: 'z', key: Buffer.from('key'), incarnation: 1 },
      handshakeTimeoutMs: 10_000,
      onControlBytes: () => undefined,
      listener: {
        onReady: () => {
          world.ready = true;
        },
        onFrame: () => undefined,
        onClose: () => {
          world.closed = true;
        },
      },
    });
  });
  world.stop = () => server.close();
  return new Promise((resolve) => {
    server.listen(0, LOOPBACK, () => {
      const address = server.address();
      assert.ok(address !== null && typeof address === 'object');
      resolve(address.port);
    });
  });
}

When(
  'a dialer sends {string} to a listener',
  async function (this: HandshakeWorld, frames: string) {
    this.ready = false;
    this.closed = false;
    const port = await listen(this);
    this.dialer = connect(port, LOOPBACK);
    for (const name of frames.split(',')) {
      const frame = FRAMES.get(name);
      assert.ok(frame, name);
      this.dialer.write(encodeFrame(frame));
    }
  },
);

Then(/^the listener (waits|closes the link)$/, async function (this: HandshakeWorld, ends: string) {
  if (ends === 'waits') await pause(WAIT_MS);
  else while (!this.closed && !this.ready) await pause(1);
  assert.equal(this.closed, ends !== 'waits');
  assert.equal(this.ready, false);
});

After(function (this: Partial<HandshakeWorld>) {
  this.dialer?.destroy();
  this.stop?.();
});
