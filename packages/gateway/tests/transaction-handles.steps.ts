import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Frame } from '@gladespool/protocol';
import { ForwardOperation, FrameKind } from '@gladespool/protocol';
import type { ForwardService } from '../src/forward/forward-service.js';
import { pauseProcess } from './fakes/paused-process.js';
import type { ForwardReply, RecordingTransaction } from './fakes/recording-home.js';
import { RecordingHome, requestOf, sendFrom, serviceOf } from './fakes/recording-home.js';

interface HandleWorld {
  home: RecordingHome;
  service: ForwardService;
  handle: number;
  /** Host and handle of the transaction that must stay as its own caller left it. */
  kept: { readonly host: string; readonly handle: number };
  transaction: RecordingTransaction;
  reply: ForwardReply | undefined;
}

function startHome(world: HandleWorld, transactionIdleMs?: number): void {
  world.home = new RecordingHome();
  world.service = serviceOf(world.home, transactionIdleMs);
}

function send(world: HandleWorld, host: string, frame: Frame): Promise<ForwardReply> {
  return sendFrom(host, world.service, frame);
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
