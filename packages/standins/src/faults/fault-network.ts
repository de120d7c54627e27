/**
 * Faults and latency on connections made inside a test process: a dialer per party whose sockets
 * delay or hold their bytes as set. A held direction loses nothing; bytes go on after healing, as
 * TCP would resend them.
 */
import { Socket } from 'node:net';
import type { SocketConnectOpts } from 'node:net';

/** A party on the network: a host, an upstream, the store, or any name in a test. */
export interface Party {
  readonly name: string;
  readonly az: string;
}

/** Names one direction between two parties or two availability zones; `*` matches all. */
export interface Cut {
  readonly from: string;
  readonly to: string;
}

/** Latency between two parties, one way, milliseconds. */
export type Latency = (from: Party, to: Party) => number;

type Wake = () => void;

/** The network of one test process. */
export class FaultNetwork {
  private readonly parties = new Map<string, Party>();
  private readonly cuts = new Set<string>();
  private readonly sleepers = new Set<Wake>();
  /** Latency in force; replaced by experiments. */
  latency: Latency = () => 0;

  /** Declares who listens at an address and port. */
  register(address: string, port: number, party: Party): void {
    this.parties.set(`${address}:${port}`, party);
  }

  partyAt(address: string, port: number): Party | undefined {
    return this.parties.get(`${address}:${port}`);
  }

  /** Holds a direction between parties or zones. */
  cut(cut: Cut): void {
    this.cuts.add(keyOf(cut));
  }

  /** Heals one direction, or all of them. */
  heal(cut?: Cut): void {
    if (cut === undefined) this.cuts.clear();
    else this.cuts.delete(keyOf(cut));
    const sleepers = [...this.sleepers];
    this.sleepers.clear();
    for (const wake of sleepers) wake();
  }

  /** Cuts every link of a zone to other zones, both ways. */
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

  /** Resolves at the next heal. */
  healed(wake: Wake): void {
    this.sleepers.add(wake);
  }

  /** Creates sockets that belong to `party`. */
  dialerFor(party: Party): (port: number, address: string) => Socket {
    return (port, address) => {
      const socket = new FaultSocket(this, party);
      socket.connect(port, address);
      return socket;
    };
  }

  /** Creates an unconnected socket of `party`, for libraries that connect it themselves. */
  socketFor(party: Party): Socket {
    return new FaultSocket(this, party);
  }
}

function keyOf(cut: Cut): string {
  return `${cut.from}>${cut.to}`;
}

type Step = () => void;

/** One direction of a socket: runs steps in order, each after the latency and while not cut. */
class Lane {
  private readonly steps: { readonly due: number; readonly run: Step }[] = [];
  private waiting = false;

  constructor(
    private readonly network: FaultNetwork,
    private readonly ends: () => readonly [Party, Party] | undefined,
  ) {}

  add(run: Step): void {
    const ends = this.ends();
    if (ends === undefined) {
      run();
      return;
    }
    const delay = this.network.latency(ends[0], ends[1]);
    const blocked = this.network.isCut(ends[0], ends[1]);
    if (delay === 0 && !blocked && this.steps.length === 0) {
      run();
      return;
    }
    this.steps.push({ due: performance.now() + delay, run });
    this.schedule();
  }

  private schedule(): void {
    const [first] = this.steps;
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
    const ends = this.ends();
    if (ends !== undefined && this.network.isCut(ends[0], ends[1])) {
      this.waiting = true;
      this.network.healed(() => {
        this.advance();
      });
      return;
    }
    const now = performance.now();
    for (;;) {
      const [first] = this.steps;
      if (first === undefined || first.due > now) break;
      this.steps.shift();
      first.run();
    }
    this.schedule();
  }
}

class FaultSocket extends Socket {
  private peer: Party | undefined;
  private readonly outgoing: Lane;
  private readonly incoming: Lane;

  constructor(network: FaultNetwork, self: Party) {
    super();
    this.outgoing = new Lane(network, () => this.peer && [self, this.peer]);
    this.incoming = new Lane(network, () => this.peer && [this.peer, self]);
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
