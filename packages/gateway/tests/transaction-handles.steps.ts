import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { Access, azId, Consistency, hostId } from '@gladespool/coordination';
import type { PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { ForwardOperation, FrameKind } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import { ForwardService } from '../src/forward/forward-service.js';
import type { Executor, OpenTransaction, StepJob } from '../src/home/job.js';
import { GatewayBoard } from '../src/knowledge/board.js';
import type { Outcome } from '../src/model/outcome.js';
import { pauseProcess } from './fakes/paused-process.js';

type ForwardRequest = FrameOf<FrameKind.ForwardRequest>;
type ForwardReply = FrameOf<FrameKind.ForwardReply>;

interface HandleWorld {
  home: RecordingHome;
  service: ForwardService;
  handle: number;
  /** Host and handle of the transaction that must stay as its own caller left it. */
  kept: { readonly host: string; readonly handle: number };
  transaction: RecordingTransaction;
  reply: ForwardReply | undefined;
}

const STATEMENT_MS = 600_000;
/** Idle timeout of transactions, milliseconds, where none is given. */
const DEFAULT_IDLE_MS = 3000;
const COMPLETED: Outcome = { kind: 'completed', rows: [], signature: 's', committed: undefined };

/** An open transaction that records what is done with it. */
class RecordingTransaction implements OpenTransaction {
  readonly statements: string[] = [];
  isEnded = false;

  run(step: StepJob): Promise<Outcome> {
    this.statements.push(step.id);
    return Promise.resolve(COMPLETED);
  }

  commit(): Promise<Outcome> {
    this.isEnded = true;
    return Promise.resolve(COMPLETED);
  }

  rollback(): void {
    this.isEnded = true;
  }
}

/** Home on whose upstreams transactions are opened. */
class RecordingHome implements Executor {
  readonly opened: RecordingTransaction[] = [];

  run(): Promise<Outcome> {
    return Promise.resolve(COMPLETED);
  }

  begin(): Promise<Result<OpenTransaction, Outcome>> {
    const transaction = new RecordingTransaction();
    this.opened.push(transaction);
    return Promise.resolve(ok(transaction));
  }
}

function startHome(world: HandleWorld, transactionIdleMs = DEFAULT_IDLE_MS): void {
  const board = new GatewayBoard(hostId('home'), azId('z'));
  const empty = { routes: new Map(), groups: new Map(), workspaces: new Map() };
  board.putCatalog({ version: 1, ...empty, keys: undefined, transactionIdleMs });
  world.home = new RecordingHome();
  world.service = new ForwardService(world.home, board);
}

/** Sends a frame from `host` to the home and returns the reply to a request. */
async function send(world: HandleWorld, host: string, frame: Frame): Promise<ForwardReply> {
  return new Promise((resolve) => {
    const link = {
      host,
      ready: true,
      send: (reply: ForwardReply) => {
        resolve(reply);
        return true;
      },
    };
    world.service.onFrame(link as unknown as PeerLink, frame);
  });
}

function requestOf(
  operation: ForwardOperation,
  request: string,
  transaction: number,
): ForwardRequest {
  const route = {
    database: 'db',
    group: 'g',
    consistency: Consistency.Primary,
    maxStalenessMs: 0,
    timeoutMs: STATEMENT_MS,
    targetLatencyMs: STATEMENT_MS,
    priority: 1,
    isPublic: false,
  };
  return {
    kind: FrameKind.ForwardRequest,
    id: 1,
    operation,
    request,
    transaction,
    route,
    readOnly: false,
    work: { access: Access.Write, text: request },
    values: [],
    beganMs: 0,
    arrivedMs: 0,
  };
}

/** Begins a transaction for a caller at `host`, with a statement `name`. */
async function begin(world: HandleWorld, host: string, name: string): Promise<number> {
  const reply = await send(world, host, requestOf(ForwardOperation.Begin, name, 0));
  assert.notEqual(reply.transaction, 0);
  const transaction = world.home.opened.at(-1);
  assert.ok(transaction);
  world.transaction = transaction;
  world.kept = { host, handle: reply.transaction };
  return reply.transaction;
}

async function sendFor(world: HandleWorld, host: string, what: string): Promise<void> {
  world.reply = undefined;
  const { handle } = world;
  if (what === 'rollback') {
    // A rollback gets no reply.
    void send(world, host, { kind: FrameKind.ForwardRollback, transaction: handle });
    return;
  }
  const operation = what === 'commit' ? ForwardOperation.Commit : ForwardOperation.Step;
  world.reply = await send(world, host, requestOf(operation, 'foreign', handle));
}

Given(
  'a caller at host {string} with a transaction open at a home',
  async function (this: HandleWorld, host: string) {
    startHome(this);
    this.handle = await begin(this, host, 'own');
  },
);

Given(
  'a caller at host {string} with a transaction open at a home, and an idle time of {int} ms',
  async function (this: HandleWorld, host: string, transactionIdleMs: number) {
    startHome(this, transactionIdleMs);
    this.handle = await begin(this, host, 'own');
  },
);

When(
  /^the home is paused for (\d+) ms, and meanwhile the first caller's (statement|commit) arrives$/,
  async function (this: HandleWorld, pauseMs: string, what: string) {
    await pauseProcess(Number(pauseMs));
    await sendFor(this, 'h1', what);
  },
);

Then(
  /^the first caller's (statement|commit) is run in its transaction$/,
  async function (this: HandleWorld, what: string) {
    assert.equal(this.reply?.outcome?.kind, 'completed');
    if (what === 'statement') await sendFor(this, 'h1', 'commit');
    assert.equal(this.transaction.isEnded, true);
  },
);

When(
  'the home restarts, and a caller at host {string} begins a transaction there',
  async function (this: HandleWorld, host: string) {
    startHome(this);
    await begin(this, host, 'own');
  },
);

When(
  /^the first caller's (statement|commit|rollback) arrives$/,
  function (this: HandleWorld, what: string) {
    return sendFor(this, 'h1', what);
  },
);

When(
  /^host "(\w+)" sends a (statement|commit|rollback) with the handle of that transaction$/,
  function (this: HandleWorld, host: string, what: string) {
    return sendFor(this, host, what);
  },
);

Then("the first caller's transaction is lost", function (this: HandleWorld) {
  const outcome = this.reply?.outcome;
  if (this.reply === undefined) return;
  assert.equal(outcome?.kind === 'refused' && outcome.reason, 'transaction-lost');
});

Then(
  /^the (?:other )?caller's transaction is still open, and only its own caller's statements ran in it$/,
  async function (this: HandleWorld) {
    assert.equal(this.transaction.isEnded, false);
    assert.deepEqual(this.transaction.statements, ['own']);
    const { host, handle } = this.kept;
    const reply = await send(this, host, requestOf(ForwardOperation.Step, 'next', handle));
    assert.equal(reply.outcome?.kind, 'completed');
    await send(this, host, requestOf(ForwardOperation.Commit, 'commit', handle));
  },
);
