/**
 * Injects faults and latency into connections made inside a test process: each party gets a dialer
 * whose sockets delay or hold back bytes. A cut direction loses no bytes; they are delivered after
 * the link is healed, as with TCP retransmission.
 */
import { Socket } from 'node:net';
import type { SocketConnectOpts } from 'node:net';

/** Party on the network: a host, an upstream, the store, or any name that a test chooses. */
export interface Party {
  readonly name: string;
  readonly az: string;
}

/** One direction between two parties or two availability zones; `*` matches all. */
export interface Cut {
  readonly from: string;
  readonly to: string;
}

/** Returns the one-way latency between two parties, milliseconds. */
export type Latency = (from: Party, to: Party) => number;

type Wake = () => void;

/** Simulated network of one test process. */
export class FaultNetwork {
  private readonly parties = new Map<string, Party>();
  private readonly cuts = new Set<string>();
  private readonly healListeners = new Set<Wake>();
  /** Latency between parties; experiments replace it. */
  latency: Latency = () => 0;

  /** Registers the party that listens on an address and port. */
  register(address: string, port: number, party: Party): void {
    this.parties.set(`${address}:${port}`, party);
  }

  partyAt(address: string, port: number): Party | undefined {
    return this.parties.get(`${address}:${port}`);
  }

  /** Holds back all bytes in one direction between parties or zones. */
  cut(cut: Cut): void {
    this.cuts.add(keyOf(cut));
  }

  /** Heals one direction, or all if none is given. */
  heal(cut?: Cut): void {
    if (cut === undefined) this.cuts.clear();
    else this.cuts.delete(keyOf(cut));
    const listeners = [...this.healListeners];
    this.healListeners.clear();
    for (const wake of listeners) wake();
  }

  /** Cuts the links between a zone and other zones in both directions. */
  isolate(az: string, others: readonly string[]): void {
    for (const other of others) {
      this.cut({ from: az, to: other });
      this.cut({ from: other, to: az });
    }
  }

  isCut(from: Party, to: Party): boolean {
    const froms = [from.name, from.az, '*'];
    const tos = [to.name, to.az, '*'];
    return froms.some((a) => tos.some((b) => this.cuts.has(`${a}>${b}`)));
  }

  /** Calls `wake` once, the next time that any link is healed. */
  healed(wake: Wake): void {
    this.healListeners.add(wake);
  }

  /** Returns a function that opens connections as `party`. */
  dialerFor(party: Party): (port: number, address: string) => Socket {
    return (port, address) => {
      const socket = new FaultSocket(this, party);
      socket.connect(port, address);
      return socket;
    };
  }

  /** Creates an unconnected socket of `party`, for libraries that connect the socket themselves. */
  socketFor(party: Party): Socket {
    return new FaultSocket(this, party);
  }
}

function keyOf(cut: Cut): string {
  return `${cut.from}>${cut.to}`;
}

type Action = () => void;

/** One direction of a socket: runs actions in order, each after the latency and only while the link is not cut. */
class DirectionQueue {
  private readonly actions: { readonly due: number; readonly run: Action }[] = [];
  private waiting = false;

  constructor(
    private readonly network: FaultNetwork,
    private readonly endpoints: () => readonly [Party, Party] | undefined,
  ) {}

  add(run: Action): void {
    const endpoints = this.endpoints();
    if (endpoints === undefined) {
      run();
      return;
    }
    const delay = this.network.latency(endpoints[0], endpoints[1]);
    const blocked = this.network.isCut(endpoints[0], endpoints[1]);
    if (delay === 0 && !blocked && this.actions.length === 0) {
      run();
      return;
    }
    this.actions.push({ due: performance.now() + delay, run });
    this.schedule();
  }

  private schedule(): void {
    const [first] = this.actions;
    if (this.waiting || first === undefined) return;
    this.waiting = true;
    setTimeout(
      () => {
        this.advance();
      },
      Math.max(0, first.due - performance.now()),
    );
  }

  private advance(): void {
    this.waiting = false;
    const endpoints = this.endpoints();
    if (endpoints !== undefined && this.network.isCut(endpoints[0], endpoints[1])) {
      this.waiting = true;
      this.network.healed(() => {
        this.advance();
      });
      return;
    }
    const now = performance.now();
    for (;;) {
      const [first] = this.actions;
      if (first === undefined || first.due > now) break;
      this.actions.shift();
      first.run();
    }
    this.schedule();
  }
}

class FaultSocket extends Socket {
  private peer: Party | undefined;
  private readonly outgoing: DirectionQueue;
  private readonly incoming: DirectionQueue;

  constructor(network: FaultNetwork, self: Party) {
    super();
    this.outgoing = new DirectionQueue(network, () => this.peer && [self, this.peer]);
    this.incoming = new DirectionQueue(network, () => this.peer && [this.peer, self]);
    this.resolvePeer = (port, address) => network.partyAt(address, port);
  }

  private readonly resolvePeer: (port: number, address: string) => Party | undefined;

  override connect(...args: unknown[]): this {
    const [first, second] = args;
    if (typeof first === 'number' && typeof second === 'string') {
      this.peer = this.resolvePeer(first, second);
      this.outgoing.add(() => {
        if (!this.destroyed) super.connect(first, second);
      });
      return this;
    }
    return super.connect(first as SocketConnectOpts);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    this.incoming.add(() => {
      if (!this.destroyed) super.push(chunk, encoding);
    });
    return true;
  }

  override _write(
    chunk: unknown,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.outgoing.add(() => {
      if (this.destroyed) done();
      else super._write(chunk, encoding, done);
    });
  }

  override _writev(
    chunks: { chunk: unknown; encoding: BufferEncoding }[],
    done: (error?: Error | null) => void,
  ): void {
    this.outgoing.add(() => {
      if (this.destroyed) done();
      else super._writev?.(chunks, done);
    });
  }

  override _final(done: (error?: Error | null) => void): void {
    this.outgoing.add(() => {
      if (this.destroyed) done();
      else super._final(done);
    });
  }
}
