/**
 * Loopback proxy that can make its open connections unresponsive: it drops their bytes from then on, in one
 * direction or both, without closing them. Connections opened later are not affected.
 */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** Directions in which bytes are dropped, from the point of view of the connecting side. */
export enum Silence {
  Out = 'out',
  Back = 'back',
  Both = 'both',
}

const LOOPBACK = '127.0.0.1';

/** One connection through the proxy. */
class ProxiedConnection {
  private silence: Silence | undefined;

  constructor(
    private readonly caller: Socket,
    private readonly target: Socket,
  ) {
    this.forward(caller, target, Silence.Out);
    this.forward(target, caller, Silence.Back);
  }

  goSilent(silence: Silence): void {
    this.silence = silence;
  }

  close(): void {
    this.caller.destroy();
    this.target.destroy();
  }

  private forward(from: Socket, to: Socket, direction: Silence): void {
    from.on('data', (chunk: Buffer) => {
      if (!this.isSilent(direction)) to.write(chunk);
    });
    from.on('error', () => undefined);
    // A close is not forwarded either in a direction whose bytes are dropped.
    from.on('close', () => {
      if (!this.isSilent(direction)) to.destroy();
    });
  }

  private isSilent(direction: Silence): boolean {
    return this.silence === Silence.Both || this.silence === direction;
  }
}

/** Proxy in front of one loopback port. */
export class SilencingProxy {
  private readonly connections = new Set<ProxiedConnection>();
  private readonly server: Server;

  constructor(targetPort: number) {
    this.server = createServer((caller) => {
      this.connections.add(new ProxiedConnection(caller, connect(targetPort, LOOPBACK)));
    });
  }

  /** Port on which the proxy listens. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Listens on a free port. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, LOOPBACK, resolve);
    });
  }

  /** Drops bytes of the connections that are open now. */
  goSilent(silence: Silence): void {
    for (const connection of this.connections) connection.goSilent(silence);
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    for (const connection of this.connections) connection.close();
    await new Promise((resolve) => this.server.close(resolve));
  }
}
