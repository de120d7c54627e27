/**
 * HTTP/JSON server on loopback through which a person or a test injects faults into the stand-ins.
 * The README of this package documents the requests.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as z from 'zod';
import type { StoreServer } from '../store/store-server.js';
import { StoreFault } from '../store/store-server.js';
import type { UpstreamServer } from '../upstream/upstream-server.js';
import type { FaultNetwork } from './fault-network.js';

/** Targets into which faults can be injected. */
export interface FaultTargets {
  readonly network: FaultNetwork;
  readonly store: StoreServer;
  readonly upstreams: readonly { readonly az: string; readonly server: UpstreamServer }[];
  /** Terminates a host as in a crash; false if no host has that name. */
  killHostNamed(name: string): Promise<boolean>;
}

const linkRequest = z.strictObject({ from: z.string(), to: z.string() });
const nameRequest = z.strictObject({ name: z.string() });
const lagRequest = z.strictObject({ name: z.string(), ms: z.number().min(0).max(3_600_000) });
const replicationRequest = z.strictObject({ name: z.string(), held: z.boolean() });
const storeRequest = z.strictObject({
  fault: z.enum(StoreFault),
  slow_ms: z.number().min(0).max(60_000).optional(),
});

const MAX_BODY_BYTES = 10_000;

/** Server of the fault port. */
export class FaultServer {
  private readonly server: Server;

  constructor(private readonly targets: FaultTargets) {
    this.server = createServer((req, res) => {
      void this.handle(req, res);
    });
  }

  get port(): number {
    return (this.server.address() as AddressInfo | null)?.port ?? 0;
  }

  listen(address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const body = await readJson(req);
      const done = await this.apply(req.url ?? '', body);
      res.writeHead(done ? 200 : 404).end(`${JSON.stringify({ done })}\n`);
    } catch (error) {
      const message = error instanceof Error ? error.message : 'bad request';
      res.writeHead(400).end(`${JSON.stringify({ error: message })}\n`);
    }
  }

  private async apply(url: string, body: unknown): Promise<boolean> {
    switch (url) {
      case '/link/cut':
        this.targets.network.cut(linkRequest.parse(body));
        return true;
      case '/link/heal':
        this.targets.network.heal(linkRequest.optional().parse(body));
        return true;
      case '/store':
        return this.setStore(storeRequest.parse(body));
      case '/host/kill':
        return this.targets.killHostNamed(nameRequest.parse(body).name);
      default:
        return this.applyToUpstream(url, body);
    }
  }

  private setStore(fault: z.output<typeof storeRequest>): boolean {
    if (fault.slow_ms !== undefined) this.targets.store.slowMs = fault.slow_ms;
    this.targets.store.setFault(fault.fault);
    return true;
  }

  private async applyToUpstream(url: string, body: unknown): Promise<boolean> {
    const { name } = z.object({ name: z.string() }).parse(body);
    const found = this.targets.upstreams.find(({ server }) => server.node.id === name);
    if (found === undefined) return false;
    const { server } = found;
    switch (url) {
      case '/upstream/stop':
        await server.stop();
        return true;
      case '/upstream/start':
        await server.listen();
        return true;
      case '/upstream/pause':
        server.setPaused(true);
        return true;
      case '/upstream/resume':
        server.setPaused(false);
        return true;
      case '/upstream/lag':
        server.node.applyLagMs = lagRequest.parse(body).ms;
        return true;
      case '/upstream/replication':
        server.node.replicationHeld = replicationRequest.parse(body).held;
        return true;
      default:
        return false;
    }
  }
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
    size += (chunk as Buffer).length;
    if (size > MAX_BODY_BYTES) throw new Error('body too large');
  }
  const text = Buffer.concat(chunks).toString();
  return text === '' ? undefined : (JSON.parse(text) as unknown);
}
