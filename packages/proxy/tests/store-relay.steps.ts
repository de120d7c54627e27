import assert from 'node:assert/strict';
import { setImmediate as turn, setTimeout as pause } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { PlatformStore, StoredValue, WatchListener } from '@gladespool/platform';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';
import { StoreRelay } from '../src/control/store-relay.js';

interface StoreRelayWorld {
  storeRelay: StoreRelay;
  /** Completes the pending read. */
  completeRead: (result: Result<readonly StoredValue[], GladespoolError>) => void;
  watches: number;
}

const RETRY_MS = 1;
const STORE_UNREACHABLE = gladespoolError(
  { step: Step.StoreRead, peer: 'store' },
  'store did not answer',
);

Given('a relay whose watch is open and that reads all values', function (this: StoreRelayWorld) {
  this.watches = 0;
  const store: Pick<PlatformStore, 'watch' | 'readPrefix'> = {
    watch: (_prefix: string, listener: WatchListener) => {
      this.watches += 1;
      void turn().then(() => {
        listener.onOpen(1);
      });
      return () => undefined;
    },
    readPrefix: () =>
      new Promise((resolve) => {
        this.completeRead = resolve;
      }),
  };
  this.storeRelay = new StoreRelay({
    store: store as PlatformStore,
    listener: { onBundleHead: () => undefined, onRecord: () => undefined },
    metrics: new HostMetrics(),
    log: createLogger('test'),
    retryMs: RETRY_MS,
    maxRetryMs: RETRY_MS,
  });
  this.storeRelay.setActive(true);
});

After(function (this: Partial<StoreRelayWorld>) {
  this.storeRelay?.stop();
});

When('it is stopped and the read fails afterwards', async function (this: StoreRelayWorld) {
  await turn();
  await turn();
  this.storeRelay.stop();
  this.completeRead(err(STORE_UNREACHABLE));
  await turn();
});

When('the read fails', async function (this: StoreRelayWorld) {
  await turn();
  await turn();
  this.completeRead(err(STORE_UNREACHABLE));
});

Then('it does not reopen the watch', function (this: StoreRelayWorld) {
  assert.equal(this.storeRelay.active, false);
});

Then('it reopens the watch', async function (this: StoreRelayWorld) {
  while (this.watches < 2) await pause(RETRY_MS);
});
