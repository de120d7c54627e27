import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type {
  PromotionLeaseClaim,
  HostId,
  SuccessorStatus,
  PrimaryRecord,
  ReachEvidence,
  SeenPromotionLease,
  SuccessorReport,
  UpstreamId,
} from '../src/index.js';
import {
  failoverOrder,
  chooseCoveringSuccessor,
  chooseSuccessor,
  newestTermOf,
  claimPromotionLease,
  DEFAULT_FAILOVER,
  groupId,
  hasEnoughReports,
  hostId,
  decideFailover,
  shouldKeepFormerPrimary,
  retainedSuccessor,
  namedRecord,
  RecordPhase,
  upstreamId,
} from '../src/index.js';

interface FailoverWorld {
  evidence: ReachEvidence;
  decision: string;
  reports: readonly SuccessorReport[];
  former: string;
  seen: SeenPromotionLease | undefined;
  claim: PromotionLeaseClaim;
  order: readonly HostId[];
  formerTerm: number | undefined;
  enough: boolean;
  covering: UpstreamId | undefined;
  claimRecord: PrimaryRecord;
  status: SuccessorStatus;
}

Given(
  "{int} hosts that reach the primary, {int} that don't, {int} silent",
  function (this: FailoverWorld, reaching: number, failing: number, silent: number) {
    this.evidence = { reaching, failing, silent };
  },
);

When(
  'it has been unreachable for the asking host for {int} ms',
  function (this: FailoverWorld, ms: number) {
    this.decision = decideFailover(this.evidence, ms, DEFAULT_FAILOVER);
  },
);

Then('the suspicion leads to {string}', function (this: FailoverWorld, verdict: string) {
  assert.equal(this.decision, verdict);
});

Given('upstreams reporting {string}', function (this: FailoverWorld, reports: string) {
  this.reports = reports.split(',').map((report) => {
    const [id, role, position, ...flags] = report.split(':');
    const [term, offset] = (position ?? '').split('.').map(Number);
    return {
      id: upstreamId(id ?? ''),
      isPrimary: role === 'primary',
      term: term ?? 0,
      received: { term: term ?? 0, offset: offset ?? 0 },
      draining: flags.includes('draining'),
      departed: flags.includes('departed'),
      isInFormerRegion: flags.includes('near'),
    };
  });
});

When('{string} was the primary', function (this: FailoverWorld, former: string) {
  this.former = former;
});

When(
  '{string} was the primary of a group with {int} replicas, {int} of which confirm',
  function (this: FailoverWorld, former: string, replicas: number, sync: number) {
    const id = upstreamId(former);
    this.enough = hasEnoughReports(this.reports, id, replicas, sync);
    this.covering = chooseCoveringSuccessor(this.reports, id, replicas, sync)?.id;
  },
);

Then(/^there are (enough|too few) reports$/, function (this: FailoverWorld, expected: string) {
  assert.equal(this.enough ? 'enough' : 'too few', expected);
});

When(
  '{string} was the primary, and led in term {string}',
  function (this: FailoverWorld, former: string, term: string) {
    this.former = former;
    this.formerTerm = term === 'unknown' ? undefined : Number(term);
  },
);

Then(
  /^the successor is "(\w+)", which (leads|does not lead) already$/,
  function (this: FailoverWorld, successor: string, leads: string) {
    const chosen = chooseSuccessor(this.reports, upstreamId(this.former), this.formerTerm);
    assert.equal(chosen?.id, successor);
    assert.equal(chosen.isPrimary, leads === 'leads');
  },
);

Then(
  'it leads by its promotion only in a term after {int}',
  function (this: FailoverWorld, newest: number) {
    assert.equal(newestTermOf(this.reports, this.formerTerm), newest);
  },
);

Then('the successor is {string}', function (this: FailoverWorld, successor: string) {
  const chosen = chooseSuccessor(this.reports, upstreamId(this.former));
  assert.equal(chosen?.id ?? 'none', successor);
});

Then('the covering successor is {string}', function (this: FailoverWorld, successor: string) {
  assert.equal(this.covering ?? 'none', successor);
});

Given(
  'the promotion lease {string} observed at {int} ms',
  function (this: FailoverWorld, record: string, seenAt: number) {
    const [holder, incarnation, fence] = record.split('/');
    this.seen =
      record === 'none'
        ? undefined
        : {
            holder: hostId(holder ?? ''),
            incarnation: Number(incarnation),
            fence: Number(fence),
            seenAt,
          };
  },
);

When(
  'host {string} of incarnation {int} requests the promotion lease at {int} ms',
  function (this: FailoverWorld, host: string, incarnation: number, now: number) {
    this.claim = claimPromotionLease(
      this.seen,
      { host: hostId(host), incarnation },
      now,
      DEFAULT_FAILOVER,
    );
  },
);

Then('it takes it with fence {int}', function (this: FailoverWorld, fence: number) {
  assert.deepEqual(this.claim, { kind: 'take', fence });
});

Then('it waits until {int} ms', function (this: FailoverWorld, until: number) {
  assert.deepEqual(this.claim, { kind: 'wait', until });
});

Then(
  /^a planned change (goes on|ends with the former primary)$/,
  function (this: FailoverWorld, ends: string) {
    const former = upstreamId(this.former);
    const held = this.reports.find((report) => report.id === former);
    const keeps = shouldKeepFormerPrimary(chooseSuccessor(this.reports, former), held);
    assert.equal(keeps ? 'ends with the former primary' : 'goes on', ends);
  },
);

When(
  'hosts ranked {string} determine the failover order at {int} ms',
  function (this: FailoverWorld, ranked: string, now: number) {
    const hosts = ranked.split(',').map((host) => hostId(host));
    this.order = failoverOrder(hosts, this.seen, now, DEFAULT_FAILOVER);
  },
);

Then('they act in the order {string}', function (this: FailoverWorld, order: string) {
  assert.equal(this.order.join(','), order);
});

Given(/^a claim that has named (u1|nobody)$/, function (this: FailoverWorld, named: string) {
  const claim: PrimaryRecord = {
    group: groupId('g'),
    epoch: 2,
    phase: RecordPhase.Claimed,
    primary: upstreamId('u0'),
    holder: hostId('h'),
  };
  const received = { term: 1, offset: 7 };
  const successor = { id: upstreamId(named), isPrimary: false, term: 1, received };
  this.claimRecord = named === 'nobody' ? claim : namedRecord(claim, successor);
});

Given(
  /^that upstream (has its entry|is gone|lies in an evacuated zone|was refused by the platform)$/,
  function (this: FailoverWorld, standing: string) {
    this.status = {
      isThere: standing !== 'is gone',
      isEvacuated: standing === 'lies in an evacuated zone',
      isRefused: standing === 'was refused by the platform',
    };
  },
);

Then(/^the next claim names (u1|nobody)$/, function (this: FailoverWorld, next: string) {
  const kept = retainedSuccessor(this.claimRecord, this.status);
  assert.equal(kept?.id ?? 'nobody', next);
});
