/**
 * HTTP endpoints of a host for operators' tools: /metrics, /healthz, /readyz.
 */
import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { HostMetrics } from '@gladespool/observability';

/** Options of the server. */
export interface StatusServerOptions {
  readonly metrics: HostMetrics;
  /** Returns why the host cannot accept callers; undefined if it can. */
  readonly notReady: () => string | undefined;
}

/** Serves metrics, liveness and readiness over HTTP. */
export class StatusServer {
  private readonly server: Server;

  constructor(private readonly options: StatusServerOptions) {
    this.server = createServer((req, res) => {
      void this.respond(req.url ?? '', res);
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

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private async respond(url: string, res: ServerResponse): Promise<void> {
    if (url === '/metrics') {
      const { registry } = this.options.metrics;
      res.setHeader('content-type', registry.contentType);
      res.end(await registry.metrics());
      return;
    }
    if (url === '/healthz') {
      res.end('alive\n');
      return;
    }
    if (url === '/readyz') {
      const reason = this.options.notReady();
      res.writeHead(reason === undefined ? 200 : 503).end(`${reason ?? 'ready'}\n`);
      return;
    }
    res.writeHead(404).end('not found\n');
  }
}
