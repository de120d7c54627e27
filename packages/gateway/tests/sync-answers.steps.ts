import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { azId, hostId, RecordPhase } from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import { GatewayBoard } from '../src/knowledge/board.js';
import type { ForwardableProof } from '../src/control/proofs/forwardable-proof.js';
import { hostKey, primaryKey } from '../src/control/store/store-documents.js';
import { StoreView } from '../src/control/store/store-view.js';
import { SyncResponder } from '../src/control/proofs/sync-responder.js';
import { fakeReader } from './fakes/fake-documents.js';
import { at } from './fakes/store-positions.js';

interface AnswersWorld {
  board: GatewayBoard;
  view: StoreView;
  answers: SyncResponder;
  proof: ForwardableProof;
  link: PeerLink;
  sent: FrameOf<FrameKind.SyncReply>[];
  /** Local time at which the question arrived. */
  askedAt: number;
  revision: number;
}

const PROVED_MS_BEFORE = 100;
const ASKER = 'asker';
const LAPSE = { leavingAfterMs: 1000, goneAfterMs: 2000 };

function hostItem(name: string, revision: number) {
  const address = '127.0.0.1';
  const entry = { host: name, az: 'z', address, port: 1, incarnation: 1, linkMbps: 20 };
  return { key: hostKey(name), value: JSON.stringify(entry), position: at(revision) };
}

function create(world: AnswersWorld, listedAt: number | undefined): void {
  world.askedAt = performance.now();
  world.board = new GatewayBoard(hostId('self'), azId('z'));
  const reader = fakeReader(world.board);
  world.view = new StoreView({
    board: world.board,
    reader,
    metrics: new HostMetrics(),
    log: createLogger('test'),
    startedAt: 0,
    lapse: LAPSE,
  });
  const items = [hostItem('self', 4)];
  if (listedAt !== undefined) items.push(hostItem(ASKER, listedAt));
  world.revision = 12;
  world.view.replace('', { items, position: at(world.revision) }, 0);
  const sentAt = world.askedAt - PROVED_MS_BEFORE;
  world.proof = { sentAt, position: at(10), isFromStore: true };
  const passableTo = (host: string, incarnation: number): ForwardableProof | undefined =>
    world.view.wasListed(host, incarnation, world.proof.position) ? world.proof : undefined;
  world.answers = new SyncResponder({
    board: world.board,
    view: world.view,
    proofs: { forwardableTo: passableTo },
  });
  world.sent = [];
  const send = (frame: Frame): boolean => {
    if (frame.kind === FrameKind.SyncReply) world.sent.push(frame);
    return true;
  };
  world.link = { host: ASKER, send } as unknown as PeerLink;
}

Given(
  /^a question by a host (not listed|listed at revision \d+), with a proof of (none|\d+) ms and a wait of (\d+) ms$/,
  function (this: AnswersWorld, listed: string, age: string, wait: string) {
    const listedAt = /\d+/.exec(listed)?.[0];
    create(this, listedAt === undefined ? undefined : Number(listedAt));
    this.answers.onFrame(this.link, {
      kind: FrameKind.SyncRequest,
      id: 1,
      host: ASKER,
      incarnation: 1,
      ownPosition: at(this.revision),
      heard: this.view.newest,
      waitMs: Number(wait),
      ...(age !== 'none' && { proofAgeMs: Number(age) }),
    });
  },
);

Given(
  /^a proof of revision 8 by the word of (the store|other hosts)$/,
  function (this: AnswersWorld, whom: string) {
    create(this, 5);
    this.proof = { ...this.proof, position: at(8), isFromStore: whom === 'the store' };
  },
);

When(
  'a host listed at revision 5 asks that holds the documents up to revision {int}',
  function (this: AnswersWorld, ownRevision: number) {
    this.answers.onFrame(this.link, {
      kind: FrameKind.SyncRequest,
      id: 1,
      host: ASKER,
      incarnation: 1,
      ownPosition: at(ownRevision),
      heard: this.view.newest,
      waitMs: 0,
    });
  },
);

function listOne(world: AnswersWorld): void {
  world.revision += 1;
  const item = hostItem('other', world.revision);
  world.view.applyEvents([{ kind: 'written', item }], at(world.revision), performance.now());
}

When('nothing happens', function (this: AnswersWorld) {
  this.answers.tick(this.askedAt);
});

When('a proof of 200 ms later is taken', function (this: AnswersWorld) {
  const sentAt = this.askedAt + 200;
  this.proof = { sentAt, position: at(this.revision), isFromStore: true };
  this.board.recordProof(sentAt);
});

When('400 ms pass', function (this: AnswersWorld) {
  this.answers.tick(this.askedAt + 410);
});

When('a host lists itself', function (this: AnswersWorld) {
  listOne(this);
});

When('a host lists itself and a tick passes', function (this: AnswersWorld) {
  listOne(this);
  this.answers.tick(this.askedAt + 100);
});

When('a record changes', function (this: AnswersWorld) {
  this.revision += 1;
  const record = {
    group: 'g1',
    epoch: 2,
    phase: RecordPhase.Serving,
    primary: 'u1',
    holder: 'self',
  };
  const item = {
    key: primaryKey('g1'),
    value: JSON.stringify(record),
    position: at(this.revision),
  };
  this.view.applyEvents([{ kind: 'written', item }], at(this.revision), performance.now());
});

When('the link is lost and 400 ms pass', function (this: AnswersWorld) {
  this.answers.onLost(this.link);
  this.answers.tick(this.askedAt + 410);
});

Then(
  /^(\d+) answers were sent, with (?:no proof|a proof of (-?\d+) ms)$/,
  function (this: AnswersWorld, count: string, age: string | null) {
    assert.equal(this.sent.length, Number(count));
    const told = this.sent[0]?.proof?.ageMs;
    if (age === null) assert.equal(told, undefined);
    // Between setting up and asking a few milliseconds pass.
    else assert.ok(told !== undefined && Math.abs(told - Number(age)) < 50, `${told} ms`);
  },
);
