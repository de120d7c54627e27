import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { Refusal, Workspace } from '@gladespool/coordination';
import {
  azId,
  DEFAULT_AUTHORITY,
  gladespoolError,
  hostId,
  retryAfterMsOf,
  Step,
  workspaceId,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import { FrameKind } from '@gladespool/protocol';
import { err, ok } from 'neverthrow';
import type { AllowanceReply, Outcome } from '../src/index.js';
import { AllowanceOwner, FleetLimits, GatewayBoard } from '../src/index.js';
import { FakeDeployment, WORKSPACE } from './fakes/fake-deployment.js';

const MS_PER_SECOND = 1000;
const OWNER = hostId('keeper');
const STAND_IN = hostId('stand-in');
const HOST = hostId('h1');
const AZ = azId('z1');
const LIMITED: Workspace = { id: workspaceId('w'), limit: { ratePerS: 10, burst: 10 } };
const NOT_HELD: AllowanceReply = { kept: false, granted: 0, retryAfterMs: 0 };

interface LimitsWorld {
  deployment: FakeDeployment | undefined;
  startedAt: number;
  outcomes: readonly Outcome[];
  limits: FleetLimits;
  requested: number[];
  ends: (Refusal | undefined)[];
  ownerBoard: GatewayBoard;
  granted: string;
}

Given(
  '{int} hosts and a workspace that may run {int} operations a second and bursts of {int}',
  async function (this: LimitsWorld, hosts: number, ratePerS: number, burst: number) {
    this.startedAt = performance.now();
    this.deployment = new FakeDeployment();
    this.deployment.limit = { ratePerS, burst };
    await this.deployment.start(hosts);
  },
);

After(async function (this: Partial<LimitsWorld>) {
  await this.deployment?.stop();
});

When(
  'its callers start {int} operations on each host at once',
  async function (this: LimitsWorld, count: number) {
    const { deployment } = this;
    assert.ok(deployment);
    const running = deployment.hosts.flatMap((host) =>
      Array.from({ length: count }, (_, index) => deployment.run(host, `READ ${index}`)),
    );
    this.outcomes = await Promise.all(running);
  },
);

Then(
  'no more ran than its limit allows, each on a connection of the workspace',
  function (this: LimitsWorld) {
    assert.ok(this.deployment?.limit);
    const { limit, group } = this.deployment;
    const elapsedS = (performance.now() - this.startedAt) / MS_PER_SECOND;
    const completed = this.outcomes.filter(({ kind }) => kind === 'completed');
    assert.ok(completed.length > 0);
    assert.ok(completed.length <= limit.burst + limit.ratePerS * elapsedS);
    assert.equal(group.ran.length, completed.length);
    for (const { workspace } of group.ran) assert.equal(workspace, WORKSPACE);
  },
);

Then(
  'the others were refused as {string} with a retry time',
  function (this: LimitsWorld, reason: string) {
    const refusals = this.outcomes.flatMap((outcome) =>
      outcome.kind === 'refused' ? [outcome.refusal] : [],
    );
    assert.ok(refusals.length > 0);
    for (const refusal of refusals) {
      assert.equal(refusal.reason, reason);
      assert.ok(retryAfterMsOf(refusal) > 0);
    }
  },
);

function parseAnswer(text: string): AllowanceReply | undefined {
  if (text === 'lost') return undefined;
  if (text === 'none') return NOT_HELD;
  const [granted = 0, retryAfterMs = 0] = text.split('/').map(Number);
  return { kept: true, granted, retryAfterMs };
}

Given(
  'an owner on another host that replies {string}',
  function (this: LimitsWorld, answers: string) {
    const replies = answers.split(',').map(parseAnswer);
    const board = new GatewayBoard(HOST, AZ);
    const entry = { az: AZ, address: '127.0.0.1', port: 1, incarnation: 1, linkMbps: 1 };
    board.putHosts(new Map([OWNER, STAND_IN].map((host) => [host, { ...entry, host }])));
    this.requested = [];
    this.ends = [];
    this.limits = new FleetLimits({
      board,
      directory: { ownersOf: () => [OWNER, STAND_IN] },
      keeper: { grant: () => NOT_HELD },
      calls: {
        isReachable: () => true,
        request: (_peer, build) => {
          const frame = build(1);
          assert.equal(frame.kind, FrameKind.AllowanceRequest);
          this.requested.push(frame.wanted);
          const answer = replies.shift();
          const place = { step: Step.PeerExchange, peer: OWNER };
          if (answer === undefined) return Promise.resolve(err(gladespoolError(place, 'silent')));
          return Promise.resolve(ok({ kind: FrameKind.AllowanceReply, id: 1, ...answer }));
        },
      },
      tolerance: { windowS: 5, overrun: 0, slack: 0 },
      metrics: new HostMetrics(),
    });
  },
);

async function runEvent(world: LimitsWorld, event: string): Promise<void> {
  const [what, count = '1'] = event.split(':');
  const now = performance.now();
  if (what === 'give-back') {
    world.limits.refund(LIMITED, now);
    return;
  }
  const asking = Array.from({ length: Number(count) }, () => world.limits.admit(LIMITED, now));
  world.ends.push(...(await Promise.all(asking)));
}

When('this happens on a host: {string}', async function (this: LimitsWorld, events: string) {
  for (const event of events.split(',')) await runEvent(this, event);
});

Then(
  'the operations end as {string} after requests for {string}',
  function (this: LimitsWorld, ends: string, asked: string) {
    assert.equal(this.ends.map((end) => end?.reason ?? 'in').join(','), ends);
    assert.equal(this.requested.join(','), asked);
  },
);

Given(
  'the host {string} where "k" owns an allowance of {int} operations a second and "s" is its stand-in',
  function (this: LimitsWorld, host: string, ratePerS: number) {
    this.ownerBoard = new GatewayBoard(hostId(host), AZ);
    const workspace = { ...LIMITED, limit: { ratePerS, burst: 10 } };
    this.ownerBoard.putCatalog({
      version: 1,
      routes: new Map(),
      groups: new Map(),
      keys: new Map(),
      workspaces: new Map([[LIMITED.id, workspace]]),
      transactionIdleMs: 1000,
    });
  },
);

/** Times at which proofs arrive, milliseconds, by the condition of the scenario; each proof is valid for one second. */
const PROOFS: ReadonlyMap<string, readonly number[]> = new Map([
  ['no proof comes', [0]],
  ['proofs come again at 2000', [0, 2000]],
]);
const STEADY_PROOFS = [0, 500, 1000, 1500, 2000, 2500];

When(
  'it is asked for operations at {string} while {string}',
  function (this: LimitsWorld, asked: string, known: string) {
    const board = this.ownerBoard;
    const usual = [hostId('k'), hostId('s')];
    let keepers = usual;
    const directory = { ownersOf: () => keepers, unchangedSince: 0 };
    const keeper = new AllowanceOwner({
      board,
      directory,
      isReachable: () => known !== 'it misses the keeper',
      tolerance: { windowS: 5, overrun: 0, slack: 100 },
      authority: DEFAULT_AUTHORITY,
      log: createLogger('test'),
    });
    const proofs = [...(PROOFS.get(known) ?? STEADY_PROOFS)];
    const answers = asked.split(',').map((question, index) => {
      const [at = 0, wanted = 0] = question.split(':').map(Number);
      while (proofs[0] !== undefined && proofs[0] <= at) {
        const provedAt = proofs.shift() ?? 0;
        board.recordProof(provedAt);
        keeper.noteProof(provedAt);
      }
      if (known === 'another host keeps it meanwhile' && index > 0) {
        keepers = [hostId('x')];
        keeper.noteHosts();
        keepers = usual;
        directory.unchangedSince = at;
      }
      const answer = keeper.grant(LIMITED.id, wanted, at);
      return answer.kept ? String(answer.granted) : 'none';
    });
    this.granted = answers.join(',');
  },
);

Then('it grants {string}', function (this: LimitsWorld, granted: string) {
  assert.equal(this.granted, granted);
});
