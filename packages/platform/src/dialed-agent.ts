/**
 * HTTP agent that opens its connections with a given function, so that tests can inject faults.
 */
import type { Socket } from 'node:net';
import { Agent } from 'undici';

/** Opens a connection to an address and port. */
export type Dial = (port: number, address: string) => Socket;

/** Options of an agent. */
export interface DialedAgentOptions {
  readonly address: string;
  readonly port: number;
  readonly connections: number;
  /** Connect timeout, milliseconds; needed because a request cannot be aborted while its socket connects. */
  readonly timeoutMs: number;
  readonly dial: Dial;
}

export function dialedAgent(options: DialedAgentOptions): Agent {
  return new Agent({
    connections: options.connections,
    connect: (_options, callback) => {
      const socket = options.dial(options.port, options.address);
      const timer = setTimeout(() => {
        socket.destroy(new Error(`connect timed out after ${options.timeoutMs} ms`));
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
