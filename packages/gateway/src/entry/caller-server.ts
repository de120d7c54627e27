/**
 * Accepts callers and ends their connections in order when the host stops.
 */
import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { CallerFault } from '@gladespool/observability';
import type { CallerCodec } from './caller-codec.js';
import { CallerConnection } from './caller-connection.js';
import type { SessionContext } from './session.js';

/** Options of the server. */
export interface CallerServerOptions {
  readonly session: SessionContext;
  readonly createCodec: () => CallerCodec;
  /** Connections at most. */
  readonly maxCallers: number;
  /** Time in which a caller has to start its session, milliseconds. */
  readonly startTimeoutMs: number;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}

/** Times of a planned stop, milliseconds from its begin. */
export interface DrainTimes {
  /** Until then callers are still accepted, since the balancer has yet to notice. */
  readonly acceptMs: number;
  /** Until then open transactions may go on. */
  readonly transactionsMs: number;
  /** Until then statements that are under way may end. */
  readonly statementsMs: number;
  /** The host ends by then, be it that the store has not answered to its leaving the list. */
  readonly deregisterMs: number;
}

/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 4096;
/** Time between two looks at whether all callers are gone, milliseconds. */
const POLL_MS = 20;

/** Listening side towards callers. */
export class CallerServer {
  private server: Server | undefined;
  private readonly connections = new Set<CallerConnection>();

  constructor(private readonly options: CallerServerOptions) {}

  /** Starts to accept callers. */
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

  /** Ends every session where it is idle, in the order that `times` gives. */
  async drain(times: DrainTimes): Promise<void> {
    const startedAt = performance.now();
    await pause(times.acceptMs);
    this.server?.close();
    this.closeSessionsWhenIdle();
    await this.untilGone(startedAt + times.transactionsMs);
    for (const connection of this.connections) connection.closeAfterStatement();
    await this.untilGone(startedAt + times.statementsMs);
  }

  /** Ends every session where it is idle; callers are accepted as before. */
  closeSessionsWhenIdle(): void {
    for (const connection of this.connections) connection.closeWhenIdle();
  }

  private async untilGone(until: number): Promise<void> {
    while (this.connections.size > 0 && performance.now() < until) await pause(POLL_MS);
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
