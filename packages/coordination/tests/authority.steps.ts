import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { PeerRenewal, PrimaryRecord, SilenceEvidence, UpstreamId } from '../src/index.js';
import {
  isAnswerValid,
  DEFAULT_AUTHORITY,
  groupId,
  hasAuthority,
  hostId,
  DEFAULT_RETIREMENT,
  acknowledgesClaim,
  isNewerRecord,
  mayRetire,
  namedRecord,
  RecordPhase,
  isRenewalValid,
  proofsExpiredAt,
  upstreamId,
} from '../src/index.js';

interface AuthorityWorld {
  record: PrimaryRecord | undefined;
  provedAt: number;
  sentUnder: PrimaryRecord;
  answeredBy: UpstreamId;
  renewal: PeerRenewal;
  majorityAckedAt: number;
  evidence: SilenceEvidence;
  silentMs: number;
}

const NOW = 50_000;

function recordOf(epoch: number, phase: RecordPhase): PrimaryRecord {
  const group = groupId('g');
  return { group, epoch, phase, primary: upstreamId('a'), holder: hostId('h') };
}

/** Version of a record in a phase of the tables; "named" is a claim with a named successor. */
function versionOf(epoch: number, phase: string): PrimaryRecord {
  if (phase !== 'named') return recordOf(epoch, phaseOf(phase));
  const received = { term: 1, offset: 7 };
  const successor = { id: upstreamId('b'), isPrimary: false, term: 1, received };
  return namedRecord(recordOf(epoch, RecordPhase.Claimed), successor);
}

function phaseOf(text: string): RecordPhase {
  const phases = new Map<string, RecordPhase>(Object.values(RecordPhase).map((of) => [of, of]));
  const phase = phases.get(text);
  assert.ok(phase, text);
  return phase;
}

Given(
  'a record in phase {string} and a proof sent at {int} ms',
  function (this: AuthorityWorld, phase: string, provedAt: number) {
    this.record = phase === 'none' ? undefined : recordOf(2, phaseOf(phase));
    this.provedAt = provedAt;
  },
);

Given(
  /^the request was sent under epoch (\d+), and answered by (the primary|another upstream)$/,
  function (this: AuthorityWorld, epoch: string, by: string) {
    this.sentUnder = recordOf(Number(epoch), RecordPhase.Serving);
    this.answeredBy = by === 'the primary' ? this.sentUnder.primary : upstreamId('b');
  },
);

Given(
  '{int} of {int} hosts answer, by a list read {int} ms ago',
  function (this: AuthorityWorld, answered: number, listed: number, age: number) {
    this.renewal = { answered, listed, listReadAt: NOW - age };
  },
);

Given(
  'the majority acknowledged a claim at {int} ms',
  function (this: AuthorityWorld, majorityAt: number) {
    this.majorityAckedAt = majorityAt;
  },
);

Then(
  /^at (\d+) ms the host (may|may not) use the primary$/,
  function (this: AuthorityWorld, now: string, may: string) {
    const view = { record: this.record, provedAt: this.provedAt };
    assert.equal(hasAuthority(view, Number(now), DEFAULT_AUTHORITY), may === 'may');
  },
);

Then(
  /^an answer at (\d+) ms (counts|doesn't count)$/,
  function (this: AuthorityWorld, now: string, counts: string) {
    const view = { record: this.record, provedAt: this.provedAt };
    const found = isAnswerValid(
      this.sentUnder,
      this.answeredBy,
      view,
      Number(now),
      DEFAULT_AUTHORITY,
    );
    assert.equal(found, counts === 'counts');
  },
);

Then(/^the renewal (counts|doesn't count)$/, function (this: AuthorityWorld, counts: string) {
  assert.equal(isRenewalValid(this.renewal, NOW, DEFAULT_AUTHORITY), counts === 'counts');
});

Then(
  'silent hosts have released the primary at {int} ms',
  function (this: AuthorityWorld, at: number) {
    assert.equal(proofsExpiredAt(this.majorityAckedAt, DEFAULT_AUTHORITY), at);
  },
);

Given(
  'a host that holds epoch {int} in phase {string}',
  function (this: AuthorityWorld, epoch: number, phase: string) {
    this.record = versionOf(epoch, phase);
  },
);

Then(
  /^epoch (\d+) in phase "(\w+)" (replaces|doesn't replace) it$/,
  function (this: AuthorityWorld, epoch: string, phase: string, replaces: string) {
    const next = versionOf(Number(epoch), phase);
    assert.equal(isNewerRecord(this.record, next), replaces === 'replaces');
  },
);

Then(
  /^it (acknowledges|doesn't acknowledge) the claim of epoch 2$/,
  function (this: AuthorityWorld, acks: string) {
    assert.ok(this.record);
    const claim = recordOf(2, RecordPhase.Claimed);
    assert.equal(acknowledgesClaim(this.record, claim), acks === 'acknowledges');
  },
);

Given(
  '{int} of {int} hosts do not reach a host and {int} reach it, for {int} ms',
  function (
    this: AuthorityWorld,
    missing: number,
    listed: number,
    reaching: number,
    silentMs: number,
  ) {
    this.evidence = { missing, listed, reaching };
    this.silentMs = silentMs;
  },
);

Then(/^it is (retired|kept)$/, function (this: AuthorityWorld, verdict: string) {
  const retires = mayRetire(this.evidence, this.silentMs, DEFAULT_RETIREMENT);
  assert.equal(retires, verdict === 'retired');
});
