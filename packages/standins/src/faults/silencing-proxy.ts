/**
 * A loopback proxy whose open connections can be made silent: their bytes are dropped from then on, in one
 * direction or both, and neither side is told. Connections opened later work.
 */
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** Directions in which a connection goes silent, seen from who opened it. */
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
    this.pass(caller, target, Silence.Out);
    this.pass(target, caller, Silence.Back);
  }

  goSilent(silence: Silence): void {
    this.silence = silence;
  }

  end(): void {
    this.caller.destroy();
    this.target.destroy();
  }

  private pass(from: Socket, to: Socket, direction: Silence): void {
    from.on('data', (chunk: Buffer) => {
      if (!this.isSilent(direction)) to.write(chunk);
    });
    from.on('error', () => undefined);
    // The other side of a silent connection does not learn of its end either.
    from.on('close', () => {
      if (!this.isSilent(direction)) to.destroy();
    });
  }

  private isSilent(direction: Silence): boolean {
    return this.silence === Silence.Both || this.silence === direction;
  }
}

/** Proxy in front of one port. */
export class SilencingProxy {
  private readonly connections = new Set<ProxiedConnection>();
  private readonly server: Server;

  constructor(targetPort: number) {
    this.server = createServer((caller) => {
      this.connections.add(new ProxiedConnection(caller, connect(targetPort, LOOPBACK)));
    });
  }

  /** Port to connect to in place of the target's. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Listens at a free port. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, LOOPBACK, resolve);
    });
  }

  /** Makes the connections that are open now silent. */
  goSilent(silence: Silence): void {
    for (const connection of this.connections) connection.goSilent(silence);
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    for (const connection of this.connections) connection.end();
    await new Promise((resolve) => this.server.close(resolve));
  }
}
