import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { ClaimAcknowledgements, HostListing, StorePosition } from '../src/index.js';
import { DEFAULT_AUTHORITY, isClaimQuorum, isEstablished } from '../src/index.js';

interface QuorumWorld {
  acks: ClaimAcknowledgements;
  listing: HostListing;
  settled: StorePosition;
}

/** Local time of the decisions, milliseconds. */
const NOW = 100_000;

Given(
  '{int} hosts are listed, of which {int} have acknowledged, {int} of them on every list in use',
  function (this: QuorumWorld, listed: number, acknowledged: number, established: number) {
    this.acks = { listed, acknowledged, established, retired: 0 };
  },
);

Given('{int} hosts were retired lately', function (this: QuorumWorld, retired: number) {
  this.acks = { ...this.acks, retired };
});

Then(/^the acknowledgements (are|are not) enough$/, function (this: QuorumWorld, are: string) {
  assert.equal(isClaimQuorum(this.acks), are === 'are');
});

Given(
  'a host that joined at revision {int}, which is known for {int} ms',
  function (this: QuorumWorld, revision: number, ms: number) {
    this.listing = { since: { era: 0, revision }, knownSince: NOW - ms };
  },
);

When(
  'all hosts have the list up to revision {int}',
  function (this: QuorumWorld, revision: number) {
    this.settled = { era: 0, revision };
  },
);

Then(/^it (is|is not) on every list in use$/, function (this: QuorumWorld, is: string) {
  const established = isEstablished(this.listing, this.settled, NOW, DEFAULT_AUTHORITY);
  assert.equal(established, is === 'is');
});
