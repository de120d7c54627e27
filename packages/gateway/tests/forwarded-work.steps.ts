import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { ForwardOperation } from '@gladespool/protocol';
import type { ForwardService } from '../src/forward/forward-service.js';
import type { ForwardReply } from './fakes/recording-home.js';
import { RecordingHome, requestOf, sendFrom, serviceOf } from './fakes/recording-home.js';

interface ForwardedWorld {
  home: RecordingHome;
  service: ForwardService;
  handle: number;
  /** Ends the statements that run. */
  finish: () => void;
  /** The reply that the other host waits for. */
  awaited: Promise<ForwardReply>;
  /** Events in the order in which they happened. */
  events: string[];
  startedAt: number;
  stopping: Promise<void>;
  refusedReply: ForwardReply;
}

const OTHER = 'h1';
const TIMES = { acceptMs: 0, transactionsMs: 300, statementsMs: 600, deregisterMs: 700 };
/** Timers fire up to this much early, milliseconds. */
const EARLY_MS = 5;

function startHome(world: ForwardedWorld): void {
  world.home = new RecordingHome();
  world.service = serviceOf(world.home);
  world.finish = () => undefined;
  world.events = [];
}

function blockStatements(world: ForwardedWorld): void {
  world.home.gate = new Promise((resolve) => {
    world.finish = resolve;
  });
}

function send(
  world: ForwardedWorld,
  operation: ForwardOperation,
  handle = 0,
): Promise<ForwardReply> {
  return sendFrom(OTHER, world.service, requestOf(operation, 'q', handle));
}

/** Sends a request whose reply the other host waits for. */
function sendAwaited(world: ForwardedWorld, operation: ForwardOperation, handle = 0): void {
  world.awaited = send(world, operation, handle).then((reply) => {
    world.events.push('replied');
    return reply;
  });
}

async function beginTransaction(world: ForwardedWorld): Promise<void> {
  startHome(world);
  const { transaction } = await send(world, ForwardOperation.Begin);
  assert.notEqual(transaction, 0);
  world.handle = transaction;
}

function stop(world: ForwardedWorld): void {
  world.startedAt = performance.now();
  world.stopping = world.service.drain(TIMES, world.startedAt).then(() => {
    world.events.push('stopped');
  });
}

After(function (this: Partial<ForwardedWorld>) {
  this.finish?.();
});

Given('a home that runs a statement for another host', function (this: ForwardedWorld) {
  startHome(this);
  blockStatements(this);
  sendAwaited(this, ForwardOperation.Run);
});

Given('a home with an open transaction of another host', async function (this: ForwardedWorld) {
  await beginTransaction(this);
});

Given(
  'a home with an open transaction of another host and a running statement in it',
  async function (this: ForwardedWorld) {
    await beginTransaction(this);
    blockStatements(this);
    sendAwaited(this, ForwardOperation.Step, this.handle);
  },
);

When('the home stops', function (this: ForwardedWorld) {
  stop(this);
});

When(
  'the home stops, and the statement ends {int} ms later',
  async function (this: ForwardedWorld, ms: number) {
    stop(this);
    await pause(ms);
    this.finish();
  },
);

When(
  'the home stops, and the other host commits {int} ms later',
  async function (this: ForwardedWorld, ms: number) {
    stop(this);
    await pause(ms);
    sendAwaited(this, ForwardOperation.Commit, this.handle);
  },
);

When(
  /^the home stops, and another host sends a (statement|begin)$/,
  async function (this: ForwardedWorld, request: string) {
    stop(this);
    const operation = request === 'begin' ? ForwardOperation.Begin : ForwardOperation.Run;
    this.refusedReply = await send(this, operation);
  },
);

Then(
  'the other host got its answer before the home had stopped',
  async function (this: ForwardedWorld) {
    const reply = await this.awaited;
    assert.equal(reply.outcome?.kind, 'completed');
    await this.stopping;
    assert.deepEqual(this.events, ['replied', 'stopped']);
  },
);

Then(
  'the transaction was rolled back after {int} ms',
  async function (this: ForwardedWorld, ms: number) {
    await this.stopping;
    assert.equal(this.home.opened[0]?.isEnded, true);
    assert.ok(performance.now() >= this.startedAt + ms - EARLY_MS);
  },
);

Then('the home has stopped after {int} ms', async function (this: ForwardedWorld, ms: number) {
  await this.stopping;
  assert.deepEqual(this.events, ['stopped']);
  assert.ok(performance.now() >= this.startedAt + ms - EARLY_MS);
});

Then(
  /^the (?:statement|begin) is refused as "(\w+)" and nothing more was run$/,
  function (this: ForwardedWorld, reason: string) {
    const { outcome, transaction } = this.refusedReply;
    assert.equal(outcome?.kind === 'refused' && outcome.reason, reason);
    assert.equal(transaction, 0);
    assert.equal(this.home.runs, 1);
    assert.equal(this.home.opened.length, 0);
  },
);
