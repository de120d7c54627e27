import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import type { SessionFloor } from '@gladespool/coordination';
import { Access, Consistency, groupId } from '@gladespool/coordination';
import fc from 'fast-check';
import type { Frame, TokenKey } from '../src/index.js';
import {
  classifyStatement,
  decodeFrontend,
  decodeHead,
  encodeFrame,
  ForwardOperation,
  FrameDecoder,
  FrameKind,
  isStartupBody,
  MessageSplitter,
  readBundle,
  readHostSettings,
  readManifest,
  readMarks,
  TokenCodec,
} from '../src/index.js';

type Decoder = (bytes: Buffer) => unknown;

const KEY_BYTES = 32;
const LIMIT = 4096;

const DECODERS: Readonly<Record<string, Decoder>> = {
  'the message splitter': (bytes) => new MessageSplitter(LIMIT, 'test').push(bytes),
  'the caller message decoder': (bytes) => decodeFrontend(bytes),
  'the frame decoder': (bytes) => new FrameDecoder('test', LIMIT).push(bytes),
  'the session token': (bytes) => codec('k1').open('u', bytes.toString('base64url')),
  'the request marks': (bytes) => readMarks(`SELECT 1 /*${bytes.toString()}*/`),
  'the start-up check': (bytes) => isStartupBody(bytes),
  'the bundle head': (bytes) => decodeHead(bytes.toString()),
  'the manifest': (bytes) => readManifest(bytes.toString()),
  'the bundle': (bytes) => readBundle('test', bytes.toString()),
  'the settings': (bytes) => readHostSettings('test', bytes.toString()),
  'the statement classifier': (bytes) => classifyStatement(bytes.toString()),
};

Then(
  /^(.+) handles (\d+) random inputs with seed (\d+) without throwing$/,
  (name: string, runs: string, seed: string) => {
    const probe = DECODERS[name];
    assert.ok(probe !== undefined, name);
    const text = fc.string({ unit: 'binary', maxLength: 200 }).map((value) => Buffer.from(value));
    const bytes = fc.uint8Array({ maxLength: 200 }).map((value) => Buffer.from(value));
    const input = fc.oneof(bytes, text);
    const property = fc.property(input, (value) => {
      probe(value);
    });
    fc.assert(property, { numRuns: Number(runs), seed: Number(seed) });
  },
);

Then(
  '{int} random frames in random chunks with seed {int} are decoded completely and in order',
  (runs: number, seed: number) => {
    const frames = fc.array(anyFrame(), { minLength: 1, maxLength: 5 });
    const property = fc.property(frames, fc.integer({ min: 1, max: 50 }), (sent, size) => {
      const stream = Buffer.concat(sent.map(encodeFrame));
      const decoder = new FrameDecoder('test');
      const received: Frame[] = [];
      for (let at = 0; at < stream.length; at += size) {
        received.push(...decoder.push(stream.subarray(at, at + size))._unsafeUnwrap());
      }
      assert.deepEqual(received.map(plain), sent.map(plain));
    });
    fc.assert(property, { numRuns: runs, seed });
  },
);

Then(
  '{int} random floors with seed {int} are opened for their user and refused for another',
  (runs: number, seed: number) => {
    const property = fc.property(anyFloor(), fc.string(), (floor, user) => {
      const token = codec('k1').seal(user, floor);
      assert.deepEqual(codec('k1').open(user, token)._unsafeUnwrap(), floor);
      assert.ok(codec('k1').open(`${user}x`, token).isErr());
    });
    fc.assert(property, { numRuns: runs, seed });
  },
);

Then('any single changed bit of a token is refused', () => {
  const floor = [{ group: groupId('g'), position: { term: 3, offset: 77 } }];
  const token = Buffer.from(codec('k1').seal('u', floor), 'base64url');
  for (let bit = 0; bit < token.length * 8; bit += 1) {
    const changed = Buffer.from(token);
    changed[bit >> 3] = (changed[bit >> 3] ?? 0) ^ (1 << (bit & 7));
    assert.ok(codec('k1').open('u', changed.toString('base64url')).isErr(), `bit ${bit}`);
  }
});

Then(
  'a token sealed with key {string} is opened by keys {string} and refused by {string}',
  (sealer: string, openers: string, others: string) => {
    const token = codec(sealer).seal('u', []);
    assert.ok(
      codec(...openers.split(', '))
        .open('u', token)
        .isOk(),
    );
    assert.ok(codec(others).open('u', token).isErr());
  },
);

Then(
  'a frame header of {int} bytes is refused by a decoder that allows {int}',
  (size: number, limit: number) => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(size);
    assert.ok(new FrameDecoder('test', limit).push(header).isErr());
  },
);

function codec(...ids: readonly string[]): TokenCodec {
  const keys = ids.map((id): TokenKey => ({ id, secret: Buffer.alloc(KEY_BYTES, id) }));
  const [first, ...others] = keys;
  if (first === undefined) throw new Error('no keys');
  return new TokenCodec([first, ...others]);
}

function anyFloor(): fc.Arbitrary<SessionFloor> {
  const position = fc.record({ term: fc.nat(), offset: fc.nat() }, { noNullPrototype: true });
  const group = fc.string({ minLength: 1 }).map(groupId);
  const entry = fc.record({ group, position }, { noNullPrototype: true });
  return fc.uniqueArray(entry, { selector: (value) => value.group, maxLength: 10 });
}

function anyFrame(): fc.Arbitrary<Frame> {
  return fc.oneof(
    fc.record({ kind: fc.constant(FrameKind.Cancel as const), id: fc.nat() }),
    fc.record({
      kind: fc.constant(FrameKind.Proof as const),
      mac: fc.uint8Array({ minLength: 1, maxLength: 64 }),
    }),
    fc.record({
      kind: fc.constant(FrameKind.SuspicionRequest as const),
      id: fc.nat(),
      group: fc.string(),
      term: fc.nat(),
    }),
  );
}

function plain(frame: Frame): unknown {
  return frame.kind === FrameKind.Proof ? { ...frame, mac: [...frame.mac] } : { ...frame };
}

Then(
  'a forwarded read of {int} bytes of id takes fewer than {int} bytes and its answer fewer than {int} beside its rows',
  (idBytes: number, askBytes: number, answerBytes: number) => {
    const ask: Frame = {
      kind: FrameKind.ForwardRequest,
      id: 12_345,
      operation: ForwardOperation.Run,
      request: 'a'.repeat(idBytes),
      transaction: 0,
      route: {
        database: 'ledgers',
        group: 'ledger1',
        consistency: Consistency.ReadYourWrites,
        maxStalenessMs: 2500,
        timeoutMs: 800,
        targetLatencyMs: 201,
        priority: 2,
        isPublic: false,
      },
      workspace: 'notary1',
      readOnly: false,
      work: { access: Access.Read, text: 'READ 1a4' },
      values: [],
      own: { epoch: 3, position: { term: 3, offset: 1207 } },
      beganMs: 0.3127,
      arrivedMs: 0.3127,
    };
    const rows = ['x'.repeat(500)];
    const signature = '7.1f3.c.2b.90e1c4d2a7b3f655';
    const outcome = { kind: 'completed', rows, signature } as const;
    const answer: Frame = { kind: FrameKind.ForwardReply, id: 12_345, transaction: 0, outcome };
    for (const frame of [ask, answer]) {
      const read = new FrameDecoder('test').push(encodeFrame(frame))._unsafeUnwrap();
      assert.deepEqual(read, [frame]);
    }
    assert.ok(encodeFrame(ask).length < askBytes);
    assert.ok(encodeFrame(answer).length - (rows[0]?.length ?? 0) < answerBytes + signature.length);
  },
);
