import assert from 'node:assert/strict';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { GladespoolError } from '@gladespool/coordination';
import type { HostListReading } from '@gladespool/platform';
import { HttpHostList } from '@gladespool/platform';
import type { Result } from 'neverthrow';

interface ListWorld {
  listServer: Server;
  reading: Result<HostListReading, GladespoolError>;
}

const LOOPBACK = '127.0.0.1';
const TIMEOUT_MS = 5000;
const ENTRY = { host: 'h', az: 'z', address: '10.0.0.1', port: 80, state: 'live' };

/** Text of an entry whose field is the given JSON text. */
function withField(field: string, text: string): string {
  const rest = JSON.stringify({ ...ENTRY, [field]: undefined }).slice(0, -1);
  return `${rest},"${field}":${text}}`;
}

function oddEntry(words: string): string {
  const [, field, text] = /^an? (\w+) of (.+)$/.exec(words) ?? [];
  if (field !== undefined && text !== undefined) return withField(field, text);
  const depth = Number(/^arrays nested (\d+) deep$/.exec(words)?.[1] ?? 0);
  return depth > 0 ? '['.repeat(depth) + ']'.repeat(depth) : 'null';
}

async function serve(world: ListWorld, body: string): Promise<void> {
  world.listServer = createServer((_req, res) => {
    res.writeHead(200, { 'content-type': 'application/json' }).end(body);
  });
  await new Promise<void>((resolve) => world.listServer.listen(0, LOOPBACK, resolve));
}

Given(
  /^a platform whose host list has two hosts and, between them, (.+)$/,
  async function (this: ListWorld, words: string) {
    const hosts = ['h1', 'h2'].map((host) => JSON.stringify({ ...ENTRY, host }));
    await serve(this, `{"hosts":[${[hosts[0], oddEntry(words), hosts[1]].join(',')}]}`);
  },
);

Given(
  'a platform whose host list is the text {string}',
  async function (this: ListWorld, text: string) {
    await serve(this, text);
  },
);

When('a host reads the list', async function (this: ListWorld) {
  const { port } = this.listServer.address() as AddressInfo;
  const dial = (to: number, address: string) => connect(to, address);
  const list = new HttpHostList({ address: LOOPBACK, port, timeoutMs: TIMEOUT_MS, dial });
  this.reading = await list.list();
  await list.close();
});

Then(
  'it gets the two hosts, and one unreadable entry at {string}',
  function (this: ListWorld, place: string) {
    const { hosts, unreadable } = this.reading._unsafeUnwrap();
    assert.deepEqual(
      hosts.map(({ host }) => host),
      ['h1', 'h2'],
    );
    assert.equal(unreadable.length, 1);
    assert.equal(unreadable[0]?.split(':')[0], place);
  },
);

Then('it gets an error at {string}', function (this: ListWorld, step: string) {
  assert.equal(this.reading._unsafeUnwrapErr().step, step);
});

After(function (this: Partial<ListWorld>) {
  this.listServer?.close();
});
