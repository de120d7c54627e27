/**
 * Accepts connections of callers, and closes them gracefully when the host stops.
 */
import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { CallerFault } from '@gladespool/observability';
import type { CallerCodec } from './caller-codec.js';
import { CallerConnection } from './caller-connection.js';
import type { SessionContext } from './session.js';

/** Dependencies and settings of the server. */
export interface CallerServerOptions {
  readonly session: SessionContext;
  readonly createCodec: () => CallerCodec;
  /** Maximum number of connections. */
  readonly maxCallers: number;
  /** Time within which a caller has to send its start message, milliseconds. */
  readonly startTimeoutMs: number;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}

/** Deadlines of a planned stop, milliseconds after its start. */
export interface DrainTimes {
  /** Until then callers are still accepted, since the load balancer may not have noticed the stop yet. */
  readonly acceptMs: number;
  /** Until then open transactions may continue. */
  readonly transactionsMs: number;
  /** Until then running statements may finish; the rest are answered as unknown. */
  readonly statementsMs: number;
  /** The host stops by then, even if the store has not confirmed its deregistration. */
  readonly deregisterMs: number;
}

/** Maximum number of connections waiting to be accepted. */
const LISTEN_BACKLOG = 4096;
/** Interval at which a drain checks whether all connections are closed, milliseconds. */
const POLL_MS = 20;

export class CallerServer {
  private server: Server | undefined;
  private readonly connections = new Set<CallerConnection>();

  constructor(private readonly options: CallerServerOptions) {}

  /** Starts to accept connections. */
  async listen(address: string, port: number): Promise<void> {
    const server = createServer((socket) => {
      this.accept(socket);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ port, host: address, backlog: LISTEN_BACKLOG }, resolve);
    });
    this.server = server;
  }

  /** Closes all sessions within the deadlines of `times`, first those that are idle. */
  async drain(times: DrainTimes): Promise<void> {
    const startedAt = performance.now();
    await pause(times.acceptMs);
    this.server?.close();
    this.closeSessionsWhenIdle();
    await this.waitUntilClosed(startedAt + times.transactionsMs);
    for (const connection of this.connections) connection.closeAfterStatement();
    await this.waitUntilClosed(startedAt + times.statementsMs);
    for (const connection of [...this.connections]) connection.abandonStatement();
  }

  /** Closes every session as soon as it is idle; new connections are still accepted. */
  closeSessionsWhenIdle(): void {
    for (const connection of this.connections) connection.closeWhenIdle();
  }

  private async waitUntilClosed(deadline: number): Promise<void> {
    while (this.connections.size > 0 && performance.now() < deadline) await pause(POLL_MS);
  }

  private accept(socket: Socket): void {
    const { metrics, maxCallers, session, startTimeoutMs, log, createCodec } = this.options;
    if (this.connections.size >= maxCallers) {
      metrics.callerFaults.inc({ fault: CallerFault.TooManyCallers });
      socket.destroy();
      return;
    }
    const connection = new CallerConnection({
      socket,
      codec: createCodec(),
      session,
      startTimeoutMs,
      log,
      onClose: () => {
        this.connections.delete(connection);
        metrics.callers.set(this.connections.size);
      },
    });
    this.connections.add(connection);
    metrics.callers.set(this.connections.size);
  }
}
