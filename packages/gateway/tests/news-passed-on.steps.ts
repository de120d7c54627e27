import assert from 'node:assert/strict';
import { setImmediate as turn, setTimeout as pause } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GladespoolError } from '@gladespool/coordination';
import { azId, gladespoolError, hostId, Step, STORE_START } from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import { FrameKind } from '@gladespool/protocol';
import type { FrameOf } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { BoardSection, DEFAULT_SYNC_RULES, GatewayBoard, RelayOrder } from '../src/index.js';
import type { HostEntry } from '../src/index.js';
import type { SyncServiceOptions } from '../src/control/proofs/sync-service.js';
import { SyncService } from '../src/control/proofs/sync-service.js';
import { StoreView } from '../src/control/store/store-view.js';
import type { ActionWorld } from './fakes/action-world.js';
import { EXPIRY, fakeReader } from './fakes/fake-documents.js';

/** Local times up to which the proof and the documents were known to be current. */
interface AcceptedProof {
  readonly provenSince: number;
  readonly documentsSince: number;
}

interface UpdatesWorld extends ActionWorld {
  /** State of each host when it accepted each proof. */
  taken: readonly (readonly AcceptedProof[])[];
  requests: number;
  sync: SyncService;
}

type Reply = Result<FrameOf<FrameKind.SyncReply>, GladespoolError>;

/** Time for which a request waits, milliseconds. */
const WAIT_MS = 20;
const UNREACHABLE = gladespoolError({ step: Step.PeerConnect, peer: 'parent' }, 'no link in time');

When(
  'each host has taken {int} more proofs',
  { timeout: 20_000 },
  async function (this: UpdatesWorld, count: number) {
    const { hosts } = this.deployment;
    const taken = hosts.map(() => [] as AcceptedProof[]);
    // Waits until the initial documents have reached every host.
    const startedAt = performance.now();
    await this.deployment.until(() =>
      hosts.every(({ gateway }) => gateway.board.catalogConfirmedAt > startedAt),
    );
    hosts.forEach(({ gateway: { board } }, index) => {
      board.onChange(BoardSection.Proof, () => {
        const { latestProofAt: provenSince, catalogConfirmedAt: documentsSince } = board;
        taken[index]?.push({ provenSince, documentsSince });
      });
    });
    await this.deployment.until(() => taken.every((each) => each.length >= count));
    this.taken = taken;
  },
);

Then(
  'the documents of each host were known to be as recent as each of these proofs',
  function (this: UpdatesWorld) {
    for (const { provenSince, documentsSince } of this.taken.flat()) {
      assert.ok(documentsSince >= provenSince, `${provenSince - documentsSince} ms older`);
    }
  },
);

function entry(name: string): HostEntry {
  const address = '127.0.0.1';
  return { host: hostId(name), az: azId('z'), address, port: 1, incarnation: 1, linkMbps: 1 };
}

/** Starts a host that is no relay, whose parent replies with the result of `reply`. */
function startPolling(world: UpdatesWorld, reply: () => Promise<Reply>): void {
  const entries = [entry('h0'), entry('h1')];
  const listed = new Map(entries.map((each) => [each.host, each] as const));
  const parent = new RelayOrder(boardOf(entry('h0'), listed)).hosts[0];
  const self = entries.find((each) => each.host !== parent?.host);
  assert.ok(self);
  const board = boardOf(self, listed);
  world.requests = 0;
  const now = performance.now();
  const view = new StoreView({
    board,
    reader: fakeReader(board),
    metrics: new HostMetrics(),
    log: createLogger('test'),
    startedAt: now,
    expiry: EXPIRY,
  });
  // With a recent proof it sends requests only to its parent.
  view.markCurrent(now);
  board.recordProof(now);
  const options = {
    self,
    board,
    view,
    order: new RelayOrder(board),
    follower: { setActive: () => undefined },
    lists: { zoneListsToSend: () => [], acceptSettled: () => undefined },
    proofs: { failing: false, tick: () => false, msSinceRead: () => undefined },
    calls: {
      request: () => {
        world.requests += 1;
        return reply();
      },
    },
    loop: { pausedMsSince: () => 0 },
    seeds: [],
    rules: { ...DEFAULT_SYNC_RULES, waitMs: WAIT_MS },
    log: createLogger('test'),
  };
  world.sync = new SyncService(options as unknown as SyncServiceOptions);
  world.sync.tick(now);
}

function boardOf(self: HostEntry, listed: GatewayBoard['hosts']): GatewayBoard {
  const board = new GatewayBoard(self.host, self.az);
  board.putHosts(listed);
  return board;
}

Given('a host that polls its parent, which has no updates', function (this: UpdatesWorld) {
  const nothing = {
    kind: FrameKind.SyncReply,
    id: 1,
    position: STORE_START,
    newest: STORE_START,
    documentsPosition: STORE_START,
  } as const;
  startPolling(this, async () => {
    await pause(WAIT_MS + 1);
    return ok(nothing);
  });
});

Given('a host that polls its parent, which is unreachable', function (this: UpdatesWorld) {
  startPolling(this, () => Promise.resolve(err(UNREACHABLE)));
});

After(function (this: Partial<UpdatesWorld>) {
  this.sync?.stop();
});

When('its request has waited without an update', async function () {
  await pause(WAIT_MS);
});

When('its request has failed', async function () {
  await turn();
});

Then('it sends another request', async function (this: UpdatesWorld) {
  while (this.requests < 2) await pause(WAIT_MS);
});

Then('it sends no other request', function (this: UpdatesWorld) {
  assert.equal(this.requests, 1);
});
