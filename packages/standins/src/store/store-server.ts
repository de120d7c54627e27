/**
 * Stand-in for the platform's store over HTTP: the part of the etcd v3 JSON mapping that the proxy
 * uses, and the host list. Counts each call; an open watch counts as one.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { BUNDLE_HEAD_KEY } from '@gladespool/protocol';
import * as z from 'zod';
import type { StoredKey } from './store-state.js';
import { StoreState } from './store-state.js';

/** Faults that can be injected into the store. */
export enum StoreFault {
  None = 'none',
  /** Closes connections without a response. */
  Down = 'down',
  /** Responds after {@link StoreServer.slowMs}. */
  Slow = 'slow',
  /** Executes writes, then drops the response. */
  ReplyLost = 'reply-lost',
}

/** Number of calls by kind since the start. */
export interface StoreCalls {
  reads: number;
  writes: number;
  watches: number;
  hostLists: number;
}

const DEFAULT_SLOW_MS = 2000;
const base64Text = z.base64().transform((value) => Buffer.from(value, 'base64').toString());
const rangeRequest = z.object({ key: base64Text, range_end: base64Text.optional() });
const txnRequest = z.object({
  compare: z.array(z.object({ key: base64Text, mod_revision: z.coerce.number() })),
  success: z.array(z.object({ request_put: z.object({ key: base64Text, value: z.string() }) })),
});
const watchRequest = z.object({ create_request: rangeRequest });

/** Entry of the stand-in's host list. */
export interface ListedHostEntry {
  readonly host: string;
  readonly az: string;
  readonly address: string;
  readonly port: number;
  readonly state: 'live' | 'leaving';
}

/** Server of the stand-in store. */
export class StoreServer {
  readonly state = new StoreState();
  readonly calls: StoreCalls = { reads: 0, writes: 0, watches: 0, hostLists: 0 };
  fault = StoreFault.None;
  slowMs = DEFAULT_SLOW_MS;
  /** Sets {@link StoreFault.Down} after the next write of a bundle head, with its watch events and reply sent. */
  refuseReadsAfterHead = false;
  /** The platform's host list; callers that change it determine its delay. */
  hosts: readonly ListedHostEntry[] = [];
  private server: Server | undefined;
  private readonly watchEnds = new Set<() => void>();

  constructor(
    private readonly address: string,
    private readonly requestedPort: number,
  ) {}

  get port(): number {
    return (this.server?.address() as AddressInfo | null)?.port ?? this.requestedPort;
  }

  async listen(): Promise<void> {
    const server = createServer((req, res) => {
      void this.handle(req, res);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.requestedPort, this.address, resolve);
    });
    this.server = server;
  }

  async close(): Promise<void> {
    const server = this.server;
    if (server === undefined) return;
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }

  /** Sets the fault; {@link StoreFault.Down} also closes all open watches. */
  setFault(fault: StoreFault): void {
    this.fault = fault;
    if (fault === StoreFault.Down) this.endWatches();
  }

  /** Closes all open watches, as a load balancer does on idle connections. */
  endWatches(): void {
    for (const end of [...this.watchEnds]) end();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const body = await readBody(req);
      if (this.fault === StoreFault.Down) {
        res.destroy();
        return;
      }
      if (this.fault === StoreFault.Slow) await sleep(this.slowMs);
      this.route(req.url ?? '', body, res);
    } catch (error) {
      const message = error instanceof Error ? error.message : 'bad request';
      res.writeHead(400).end(JSON.stringify({ error: message }));
    }
  }

  private route(url: string, body: string, res: ServerResponse): void {
    switch (url) {
      case '/v3/kv/range':
        this.range(body, res);
        return;
      case '/v3/kv/txn':
        this.transact(body, res);
        return;
      case '/v3/watch':
        this.watch(body, res);
        return;
      case '/v1/hosts':
        this.calls.hostLists += 1;
        res.end(JSON.stringify({ hosts: this.hosts }));
        return;
      default:
        res.writeHead(404).end();
    }
  }

  private range(body: string, res: ServerResponse): void {
    this.calls.reads += 1;
    const req = rangeRequest.parse(JSON.parse(body));
    const kvs = this.state.range(req.key, req.range_end).map(encodeKey);
    res.end(JSON.stringify({ header: this.header(), kvs }));
  }

  private transact(body: string, res: ServerResponse): void {
    this.calls.writes += 1;
    const req = txnRequest.parse(JSON.parse(body));
    const compares = req.compare.map(({ key, mod_revision }) => ({
      key,
      modRevision: mod_revision,
    }));
    const puts = req.success.map(({ request_put }) => request_put);
    const succeeded = this.state.transact(compares, puts);
    if (this.fault === StoreFault.ReplyLost) {
      res.destroy();
      return;
    }
    res.end(JSON.stringify({ header: this.header(), succeeded }));
    const isHead = puts.some((put) => put.key === BUNDLE_HEAD_KEY);
    if (this.refuseReadsAfterHead && isHead) this.fault = StoreFault.Down;
  }

  private watch(body: string, res: ServerResponse): void {
    this.calls.watches += 1;
    const { create_request: req } = watchRequest.parse(JSON.parse(body));
    const send = (result: object): void => {
      res.write(`${JSON.stringify({ result: { header: this.header(), ...result } })}\n`);
    };
    send({ created: true });
    const stop = this.state.watch(req.key, req.range_end, (changed) => {
      send({ events: [{ type: 'PUT', kv: encodeKey(changed) }] });
    });
    const end = (): void => {
      res.destroy();
    };
    this.watchEnds.add(end);
    res.on('close', () => {
      stop();
      this.watchEnds.delete(end);
    });
  }

  private header(): { readonly revision: string } {
    return { revision: String(this.state.revision) };
  }
}

function encodeKey(entry: StoredKey): object {
  return {
    key: Buffer.from(entry.key).toString('base64'),
    value: entry.value,
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
  };
}

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
