import assert from 'node:assert/strict';
import { deflateRawSync } from 'node:zlib';
import { Then, When } from '@cucumber/cucumber';
import type { GladespoolError } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import type { StoreDocuments } from '../src/index.js';
import { packDocuments, unpackDocuments } from '../src/index.js';

interface DocumentsWorld {
  documents: StoreDocuments;
  size: number;
  unpacked: Result<StoreDocuments, GladespoolError>;
}

const EMPTY = '{"items":[],"removed":[]}';
const BROKEN: ReadonlyMap<string, Uint8Array> = new Map([
  ['no deflated bytes', Buffer.from('hello')],
  ['deflated words', deflateRawSync('hello')],
  ['deflated wrong fields', deflateRawSync('{"items":[{"name":"a"}],"removed":[]}')],
  [
    'deflated negative revision',
    deflateRawSync('{"items":[],"removed":[{"key":"a","position":{"era":0,"revision":-1}}]}'),
  ],
  ['deflated, cut in half', deflateRawSync(EMPTY.repeat(100)).subarray(0, 10)],
]);

When(
  'documents with a value of {int} characters are packed and unpacked',
  function (this: DocumentsWorld, length: number) {
    const value = JSON.stringify({ route: 'é', timeoutMs: 1000 }).repeat(length).slice(0, length);
    this.documents = {
      items: [{ key: 'op/config', value, position: { era: 0, revision: 7 } }],
      removed: [{ key: 'servers/i-1', position: { era: 1, revision: 8 } }],
    };
    const packed = packDocuments(this.documents);
    this.size = packed.length;
    this.unpacked = unpackDocuments(packed, 'h1');
  },
);

Then(
  'they are the same, and took less than {int} bytes packed',
  function (this: DocumentsWorld, bytes: number) {
    assert.deepEqual(this.unpacked._unsafeUnwrap(), this.documents);
    assert.ok(this.size < bytes, `${this.size} bytes`);
  },
);

When(
  '{string} are unpacked from {string}',
  function (this: DocumentsWorld, name: string, peer: string) {
    const packed = BROKEN.get(name);
    assert.ok(packed, name);
    this.unpacked = unpackDocuments(packed, peer);
  },
);

Then(
  'that fails at {string} with {string}',
  function (this: DocumentsWorld, peer: string, message: string) {
    const error = this.unpacked._unsafeUnwrapErr();
    assert.equal(error.peer, peer);
    assert.ok(error.message.includes(message), error.message);
  },
);
