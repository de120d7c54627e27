import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { azId, hostId, RecordPhase, STORE_START } from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import { GatewayBoard } from '../src/knowledge/board.js';
import type { ForwardableProof } from '../src/control/proofs/forwardable-proof.js';
import { hostKey, primaryKey } from '../src/control/store/store-documents.js';
import { StoreView } from '../src/control/store/store-view.js';
import { SyncResponder } from '../src/control/proofs/sync-responder.js';
import { EXPIRY, fakeReader } from './fakes/fake-documents.js';
import { at } from './fakes/store-positions.js';

interface ResponderWorld {
  board: GatewayBoard;
  view: StoreView;
  answers: SyncResponder;
  proof: ForwardableProof;
  link: PeerLink;
  sent: FrameOf<FrameKind.SyncReply>[];
  /** Local time at which the request arrived. */
  requestedAt: number;
  revision: number;
}

const PROVED_MS_BEFORE = 100;
const REQUESTER = 'asker';

function hostItem(name: string, revision: number) {
  const address = '127.0.0.1';
  const entry = { host: name, az: 'z', address, port: 1, incarnation: 1, linkMbps: 20 };
  return { key: hostKey(name), value: JSON.stringify(entry), position: at(revision) };
}

function create(world: ResponderWorld, listedAt: number | undefined): void {
  world.requestedAt = performance.now();
  world.board = new GatewayBoard(hostId('self'), azId('z'));
  const reader = fakeReader(world.board);
  world.view = new StoreView({
    board: world.board,
    reader,
    metrics: new HostMetrics(),
    log: createLogger('test'),
    startedAt: 0,
    expiry: EXPIRY,
  });
  const items = [hostItem('self', 4)];
  if (listedAt !== undefined) items.push(hostItem(REQUESTER, listedAt));
  world.revision = 12;
  world.view.replace('', { items, position: at(world.revision) }, 0);
  const sentAt = world.requestedAt - PROVED_MS_BEFORE;
  world.proof = { sentAt, position: at(10), isFromStore: true };
  const forwardableTo = (host: string, incarnation: number): ForwardableProof | undefined =>
    world.view.wasListed(host, incarnation, world.proof.position) ? world.proof : undefined;
  world.answers = new SyncResponder({
    board: world.board,
    view: world.view,
    proofs: { forwardableTo },
    lists: { settled: STORE_START, noteRequest: () => undefined },
  });
  world.sent = [];
  const send = (frame: Frame): boolean => {
    if (frame.kind === FrameKind.SyncReply) world.sent.push(frame);
    return true;
  };
  world.link = { host: REQUESTER, send } as unknown as PeerLink;
}

Given(
  /^a request by a host (not listed|listed at revision \d+), with a proof of (none|\d+) ms and a wait of (\d+) ms$/,
  function (this: ResponderWorld, listed: string, age: string, wait: string) {
    const listedAt = /\d+/.exec(listed)?.[0];
    create(this, listedAt === undefined ? undefined : Number(listedAt));
    this.answers.onFrame(this.link, {
      kind: FrameKind.SyncRequest,
      id: 1,
      host: REQUESTER,
      incarnation: 1,
      ownPosition: at(this.revision),
      heard: this.view.newest,
      waitMs: Number(wait),
      ...(age !== 'none' && { proofAgeMs: Number(age) }),
    });
  },
);

Given(
  /^a proof of revision 8 from (the store|other hosts)$/,
  function (this: ResponderWorld, whom: string) {
    create(this, 5);
    this.proof = { ...this.proof, position: at(8), isFromStore: whom === 'the store' };
  },
);

When(
  'a host listed at revision 5 sends a request, and holds the documents up to revision {int}',
  function (this: ResponderWorld, ownRevision: number) {
    this.answers.onFrame(this.link, {
      kind: FrameKind.SyncRequest,
      id: 1,
      host: REQUESTER,
      incarnation: 1,
      ownPosition: at(ownRevision),
      heard: this.view.newest,
      waitMs: 0,
    });
  },
);

function listOne(world: ResponderWorld): void {
  world.revision += 1;
  const item = hostItem('other', world.revision);
  world.view.applyEvents([{ kind: 'written', item }], at(world.revision), performance.now());
}

When('nothing happens', function (this: ResponderWorld) {
  this.answers.tick(this.requestedAt);
});

When('a proof of 200 ms later is taken', function (this: ResponderWorld) {
  const sentAt = this.requestedAt + 200;
  this.proof = { sentAt, position: at(this.revision), isFromStore: true };
  this.board.recordProof(sentAt);
});

When('400 ms pass', function (this: ResponderWorld) {
  this.answers.tick(this.requestedAt + 410);
});

When('a host lists itself', function (this: ResponderWorld) {
  listOne(this);
});

When('a host lists itself and a tick passes', function (this: ResponderWorld) {
  listOne(this);
  this.answers.tick(this.requestedAt + 100);
});

When('a record changes', function (this: ResponderWorld) {
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

When('the link is lost and 400 ms pass', function (this: ResponderWorld) {
  this.answers.onLost(this.link);
  this.answers.tick(this.requestedAt + 410);
});

Then(
  /^(\d+) replies were sent, with (?:no proof|a proof of (-?\d+) ms)$/,
  function (this: ResponderWorld, count: string, age: string | null) {
    assert.equal(this.sent.length, Number(count));
    const ageMs = this.sent[0]?.proof?.ageMs;
    if (age === null) assert.equal(ageMs, undefined);
    // A few milliseconds pass between the setup and the request.
    else assert.ok(ageMs !== undefined && Math.abs(ageMs - Number(age)) < 50, `${ageMs} ms`);
  },
);
