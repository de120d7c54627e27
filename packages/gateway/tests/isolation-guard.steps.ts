import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { azId, DEFAULT_AUTHORITY, hostId } from '@gladespool/coordination';
import { createLogger } from '@gladespool/observability';
import { GatewayBoard, IsolationGuard } from '../src/index.js';

interface GuardWorld {
  board: GatewayBoard;
  guard: IsolationGuard;
  closeCount: number;
  now: number;
}

const STEP_MS = 200;

Given(
  'a host whose latest proof was sent at {int} ms, and a load balancer that notices within {int} ms',
  function (this: GuardWorld, provedAt: number, noticedAfterMs: number) {
    this.board = new GatewayBoard(hostId('h1'), azId('z1'));
    this.board.recordProof(provedAt);
    this.closeCount = 0;
    this.now = 0;
    this.guard = new IsolationGuard({
      board: this.board,
      authority: DEFAULT_AUTHORITY,
      balancerDelayMs: noticedAfterMs,
      closeSessionsWhenIdle: () => {
        this.closeCount += 1;
      },
      log: createLogger('test'),
    });
  },
);

When('the guard checks every 200 ms until {int} ms', function (this: GuardWorld, until: number) {
  for (; this.now < until; this.now += STEP_MS) this.guard.tick(this.now);
  this.guard.tick(until);
});

When('a proof sent at {int} ms arrives', function (this: GuardWorld, sentAt: number) {
  this.board.recordProof(sentAt);
});

Then(
  /^the host is (there|isolated), and sessions were closed (\d+) times$/,
  function (this: GuardWorld, state: string, times: string) {
    assert.equal(this.guard.isIsolated(this.now), state === 'isolated');
    assert.equal(this.closeCount, Number(times));
  },
);
