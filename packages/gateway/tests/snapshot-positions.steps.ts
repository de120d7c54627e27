import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  Access,
  azId,
  Consistency,
  formatPosition,
  hostId,
  RecordPhase,
  UpstreamFault,
  upstreamId,
} from '@gladespool/coordination';
import { ok } from 'neverthrow';
import type {
  BeginJob,
  DriverConnection,
  OpenTransaction,
  UpstreamAnswer,
  UpstreamCommand,
} from '../src/index.js';
import { GatewayBoard, LocalExecutor, ReportedRole } from '../src/index.js';
import { DATABASE, GROUP } from './fakes/fake-deployment.js';
import { homeContext } from './fakes/fake-home.js';

const PRIMARY = upstreamId('u0');
const STATEMENT_MS = 1000;
/** Pause before each command, milliseconds: longer than the interval between two watermarks that are kept. */
const BETWEEN_MS = 30;

interface SnapshotWorld {
  connection: SnapshotConnection;
  executor: LocalExecutor;
  /** Local time at which the latest command was sent, by its kind. */
  sentAt: Map<UpstreamCommand['kind'], number>;
}

/** Connection to a primary that tells inside a transaction the position at its begin. */
class SnapshotConnection implements DriverConnection {
  readonly initialPosition = undefined;
  readonly usable = true;
  readonly reusable = true;
  offset = 1;
  private snapshot: number | undefined;

  constructor(private readonly sentAt: Map<UpstreamCommand['kind'], number>) {}

  close(): void {
    this.snapshot = undefined;
  }

  /** Loses the log, as of an open transaction too. */
  loseLog(): void {
    this.offset = 0;
    this.snapshot = undefined;
  }

  exchange(command: UpstreamCommand): Promise<UpstreamAnswer> {
    this.sentAt.set(command.kind, performance.now());
    if (command.kind === 'begin') this.snapshot = this.offset;
    if (command.kind === 'commit' || command.kind === 'rollback') this.snapshot = undefined;
    const position = { term: 1, offset: this.snapshot ?? this.offset };
    if (command.kind === 'run' && command.text === 'fail') {
      const fault = UpstreamFault.Other;
      return Promise.resolve({ kind: 'faulted', fault, code: 'FAILED', text: '', position });
    }
    return Promise.resolve({ kind: 'completed', rows: [], signature: 's', position });
  }
}

function jobAt(now: number): BeginJob {
  const route = {
    database: DATABASE,
    group: GROUP,
    consistency: Consistency.Primary,
    maxStalenessMs: 0,
    timeoutMs: STATEMENT_MS,
    targetLatencyMs: STATEMENT_MS,
    priority: 1,
    isPublic: true,
  };
  const session = { values: new Map<string, string>(), own: undefined, workspace: undefined };
  return { route, id: 'b', ...session, beganAt: now, arrivedAt: now, readOnly: false };
}

Given(
  'a home whose primary tells inside a transaction the position at its begin',
  function (this: SnapshotWorld) {
    this.sentAt = new Map();
    this.connection = new SnapshotConnection(this.sentAt);
    const board = new GatewayBoard(hostId('h0'), azId('z0'));
    const entry = {
      id: PRIMARY,
      group: GROUP,
      address: 'none',
      port: 1,
      az: azId('z0'),
      role: ReportedRole.Primary,
      slots: 4,
      draining: false,
    };
    board.putUpstreams(new Map([[PRIMARY, entry]]));
    board.putRecord({
      group: GROUP,
      epoch: 1,
      phase: RecordPhase.Serving,
      primary: PRIMARY,
      holder: hostId('h0'),
    });
    board.recordProof(performance.now());
    const driver = {
      connect: () => Promise.resolve(ok(this.connection)),
      readStatus: () => undefined,
    };
    this.executor = new LocalExecutor(homeContext(board, driver));
  },
);

When(
  'a transaction begins, the primary commits {int} times, and the transaction does {string}',
  async function (this: SnapshotWorld, commits: number, steps: string) {
    const opened = await this.executor.begin(jobAt(performance.now()));
    this.connection.offset += commits;
    for (const step of steps.split(',')) {
      await pause(BETWEEN_MS);
      await runStep(opened._unsafeUnwrap(), step);
    }
  },
);

async function runStep(transaction: OpenTransaction, step: string): Promise<void> {
  const arrivedAt = performance.now();
  if (step === 'commit') {
    await transaction.commit('c', arrivedAt);
  } else if (step === 'rollback') {
    transaction.rollback();
    await pause(BETWEEN_MS);
  } else {
    const work = { kind: 'text', access: Access.Read, text: step } as const;
    await transaction.run({ id: 's', work, values: new Map(), arrivedAt });
  }
}

Then(
  /^the newest watermark at position (\S+) was asked for with the (begin|commit|rollback)$/,
  function (this: SnapshotWorld, position: string, asked: UpstreamCommand['kind']) {
    const { marks } = this.executor.home(GROUP);
    const { newest } = marks;
    assert.ok(newest);
    assert.equal(formatPosition(newest.position), position);
    assert.ok(newest.sentAt <= (this.sentAt.get(asked) ?? 0), 'asked for later');
  },
);

Then(
  'no watermark at position {word} was asked for after the begin',
  function (this: SnapshotWorld, position: string) {
    const { marks } = this.executor.home(GROUP);
    const later = marks.oldestSince((this.sentAt.get('begin') ?? 0) + BETWEEN_MS / 2);
    assert.notEqual(later && formatPosition(later.position), position);
  },
);
