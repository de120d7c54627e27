/**
 * The connections between the hosts of one process, of which some hosts can be partitioned from the others.
 */
import { connect, Socket } from 'node:net';
import type { PeerNetworkOptions } from '@gladespool/peers';

/** A connection with the addresses of both hosts. */
interface OpenLink {
  readonly socket: Socket;
  readonly from: string;
  readonly to: string;
}

/** Opens the connections of all hosts, and ends those that cross the partition. */
export class FakeLinks {
  private open: OpenLink[] = [];
  private partitioned: ReadonlySet<string> = new Set();

  /** The function by which the host at `from` opens connections. */
  dialFrom(from: string): PeerNetworkOptions['dial'] {
    return (port, to) => {
      if (this.crosses(from, to)) return failingSocket();
      const socket = connect(port, to);
      const link = { socket, from, to };
      this.open.push(link);
      socket.once('close', () => {
        this.open = this.open.filter((other) => other !== link);
      });
      return socket;
    };
  }

  /** Separates the hosts at `addresses` from all others; none if the partition ends. */
  partition(addresses: readonly string[]): void {
    this.partitioned = new Set(addresses);
    for (const { socket, from, to } of this.open) {
      if (this.crosses(from, to)) socket.destroy();
    }
  }

  private crosses(from: string, to: string): boolean {
    return this.partitioned.has(from) !== this.partitioned.has(to);
  }
}

function failingSocket(): Socket {
  const socket = new Socket();
  process.nextTick(() => socket.destroy(new Error('partitioned')));
  return socket;
}
