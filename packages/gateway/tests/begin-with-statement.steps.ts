import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { GladespoolError } from '@gladespool/coordination';
import {
  Access,
  azId,
  Consistency,
  gladespoolError,
  groupId,
  hostId,
  Step,
  UpstreamFault,
} from '@gladespool/coordination';
import type { PeerLink } from '@gladespool/peers';
import type { Frame, FrameKind, FrameOf } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { ForwardService } from '../src/forward/forward-service.js';
import { RemoteExecutor } from '../src/forward/remote-executor.js';
import type { Executor, OpenTransaction, StepJob } from '../src/home/job.js';
import { GatewayBoard } from '../src/knowledge/board.js';
import type { Outcome } from '../src/model/outcome.js';

type ForwardCalls = ConstructorParameters<typeof RemoteExecutor>[0];

interface BeginWorld {
  home: FakeHome;
  requestCount: number;
  isSilent: boolean;
  remote: RemoteExecutor;
  opened: OpenTransaction;
  committed: Outcome;
}

const PEER = { host: 'home', address: 'none', port: 1 };
const STATEMENT_MS = 1000;
const OUTCOMES: Readonly<Record<string, Outcome>> = {
  completed: { kind: 'completed', rows: [], signature: 's', committed: undefined },
  faulted: { kind: 'faulted', fault: UpstreamFault.Other, code: 'FAILED', text: '' },
};

/** Home whose statements all have the same outcome. */
class FakeHome implements Executor, OpenTransaction {
  rolledBack = 0;

  constructor(private readonly end: Outcome) {}

  run(): Promise<Outcome> {
    return Promise.resolve(this.end);
  }

  begin(): Promise<Result<OpenTransaction, Outcome>> {
    return Promise.resolve(ok(this));
  }

  commit(): Promise<Outcome> {
    return Promise.resolve(this.end);
  }

  rollback(): void {
    this.rolledBack += 1;
  }
}

/** Peer calls that pass each request to the forward service of a home, and return its reply. */
function callsTo(world: BeginWorld, service: ForwardService): ForwardCalls {
  return {
    request: (_peer, build) => {
      world.requestCount += 1;
      if (world.isSilent) return Promise.resolve(err(noAnswer()));
      return new Promise((resolve) => {
        const link = fakeLink((frame) => {
          resolve(ok(frame as FrameOf<FrameKind.ForwardReply>));
        });
        service.onFrame(link, build(world.requestCount));
      });
    },
    notify: () => Promise.resolve(true),
  };
}

function fakeLink(send: (frame: Frame) => void): PeerLink {
  const link = {
    ready: true,
    send: (frame: Frame) => {
      send(frame);
      return true;
    },
  };
  return link as unknown as PeerLink;
}

function noAnswer(): GladespoolError {
  return gladespoolError({ step: Step.PeerExchange, peer: PEER.host }, 'no answer in time');
}

function jobOf(access: Access): Parameters<RemoteExecutor['begin']>[0] {
  const now = performance.now();
  const route = {
    database: 'db',
    group: groupId('g'),
    consistency: Consistency.Primary,
    maxStalenessMs: 0,
    timeoutMs: STATEMENT_MS,
    targetLatencyMs: STATEMENT_MS,
    priority: 1,
    isPublic: false,
  };
  const session = { values: new Map<string, string>(), own: undefined, workspace: undefined };
  const first = { kind: 'text', access, text: 'x' } as const;
  return { route, id: 'r', ...session, beganAt: now, arrivedAt: now, readOnly: false, first };
}

function stepOf(): StepJob {
  const work = { kind: 'text', access: Access.Read, text: 'y' } as const;
  return { id: 'r2', work, values: new Map(), arrivedAt: performance.now() };
}

Given(
  'a host that forwards to a home whose statements end as {string}',
  function (this: BeginWorld, end: string) {
    const outcome = OUTCOMES[end];
    assert.ok(outcome);
    this.home = new FakeHome(outcome);
    this.requestCount = 0;
    this.isSilent = false;
    const service = new ForwardService(this.home, new GatewayBoard(hostId('home'), azId('z')));
    this.remote = new RemoteExecutor(callsTo(this, service), PEER);
  },
);

When('a transaction begins with a statement that reads', async function (this: BeginWorld) {
  this.opened = (await this.remote.begin(jobOf(Access.Read)))._unsafeUnwrap();
});

When('a transaction begins with a statement that writes', async function (this: BeginWorld) {
  this.opened = (await this.remote.begin(jobOf(Access.Write)))._unsafeUnwrap();
});

When('it runs another statement', async function (this: BeginWorld) {
  assert.equal((await this.opened.run(stepOf())).kind, 'completed');
});

When('the home does not reply to its commit', async function (this: BeginWorld) {
  this.isSilent = true;
  this.committed = await this.opened.commit('r', performance.now());
});

Then(
  'one request was sent, and the statement ended as {string}',
  function (this: BeginWorld, end: string) {
    assert.equal(this.requestCount, 1);
    assert.equal(this.opened.first?.kind, end);
  },
);

Then('the transaction is open at the home', async function (this: BeginWorld) {
  assert.equal((await this.opened.run(stepOf())).kind, 'completed');
  this.opened.rollback();
});

Then('the transaction is over at the home', async function (this: BeginWorld) {
  const outcome = await this.opened.run(stepOf());
  assert.equal(outcome.kind === 'refused' && outcome.refusal.reason, 'transaction-lost');
});

Then('{int} requests were sent', function (this: BeginWorld, count: number) {
  assert.equal(this.requestCount, count);
  this.opened.rollback();
});

Then('the commit ends as {string}', function (this: BeginWorld, reason: string) {
  const { committed } = this;
  assert.equal(committed.kind === 'refused' && committed.refusal.reason, reason);
});
