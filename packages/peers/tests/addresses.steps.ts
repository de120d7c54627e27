import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { Then, When } from '@cucumber/cucumber';
import type { GladespoolError } from '@gladespool/coordination';
import { createLogger } from '@gladespool/observability';
import { PeerNetwork } from '../src/index.js';

interface AddressWorld {
  address: string;
  error: GladespoolError;
}

When(
  /^a host opens a link to "(.*)" at port (\S+)$/,
  async function (this: AddressWorld, address: string, port: string) {
    const network = new PeerNetwork({
      identity: { host: 'h', az: 'z', key: Buffer.from('key'), incarnation: 1 },
      dial: connect,
      handshakeTimeoutMs: 1000,
      onControlBytes: () => undefined,
      log: createLogger('test'),
    });
    this.address = address;
    const link = await network.linkTo({ host: 'other', address, port: Number(port) });
    this.error = link._unsafeUnwrapErr();
    await network.stop();
  },
);

Then(
  'it gets an error that names the address and the step {string}',
  function (this: AddressWorld, step: string) {
    assert.equal(this.error.step, step);
    assert.ok(this.error.peer.startsWith(this.address));
  },
);
