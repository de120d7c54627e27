/**
 * HTTP agent whose connections come from a given dialer, so that tests can put faults on them.
 */
import type { Socket } from 'node:net';
import { Agent } from 'undici';

/** Opens a connection to an address and port. */
export type Dial = (port: number, address: string) => Socket;

/** Where and how an agent connects. */
export interface DialedAgentOptions {
  readonly address: string;
  readonly port: number;
  readonly connections: number;
  /** Longest time to connect, milliseconds; a request can't be given up while its socket connects. */
  readonly timeoutMs: number;
  readonly dial: Dial;
}

/** Creates the agent. */
export function dialedAgent(options: DialedAgentOptions): Agent {
  return new Agent({
    connections: options.connections,
    connect: (_options, callback) => {
      const socket = options.dial(options.port, options.address);
      const timer = setTimeout(() => {
        socket.destroy(new Error(`no connection within ${options.timeoutMs} ms`));
      }, options.timeoutMs);
      socket.once('connect', () => {
        clearTimeout(timer);
        callback(null, socket);
      });
      socket.once('error', (error) => {
        clearTimeout(timer);
        callback(error, null);
      });
    },
  });
}
