/**
 * Connection to an upstream. `pg` connects and authenticates; afterwards messages are passed through
 * unchanged, so that binary values and all message types arrive as the upstream sent them.
 */
import type { Socket } from 'node:net';
import type { GladespoolError, UpstreamSpec } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Lease as PoolLease, PoolConnection } from '@gladespool/pool';
import {
  BackendType,
  MessageSplitter,
  TransactionStatus,
  transactionStatusOf,
  TimeLimit,
} from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import pg from 'pg';
import type { AnswerSegment } from './answer-segment.js';

/** Options for connecting to upstreams. */
export interface UpstreamAccess {
  readonly user: string;
  readonly password: string;
  /** Timeout for connecting and authenticating, milliseconds. */
  readonly connectTimeoutMs: number;
  /** Maximum size of a reply that is buffered for one exchange, bytes. */
  readonly maxAnswerBytes: number;
  /** Application name that the upstream shows for the connection. */
  readonly applicationName: string;
  /** Creates an unconnected socket. */
  readonly createSocket: () => Socket;
}

/** Reason why an exchange failed. */
export enum ExchangeFailure {
  /** The connection was closed or the upstream violated the protocol. */
  Lost = 'lost',
  /** The deadline expired before the reply was complete; the connection is closed. */
  Deadline = 'deadline',
  /** The reply exceeded the maximum size; the connection is closed. */
  TooLarge = 'too-large',
}

interface PendingExchange {
  readonly expected: number;
  readonly segments: AnswerSegment[];
  messages: Buffer[];
  bytes: number;
  readonly settle: (result: Result<readonly AnswerSegment[], ExchangeFailure>) => void;
}

/** Internals of a `pg` client that its type declarations omit. */
interface ClientInternals {
  readonly connection: { readonly stream: Socket };
  readonly processID: number;
  readonly secretKey: number;
}

const CANCEL_REQUEST_CODE = 80877102;

/** Authenticated session on an upstream; runs one exchange at a time. */
export class UpstreamConnection implements PoolConnection {
  private pending: PendingExchange | undefined;
  private readonly splitter: MessageSplitter;
  private closed = false;
  /** Transaction status after the last segment. */
  status: TransactionStatus = TransactionStatus.Idle;

  private constructor(
    readonly spec: UpstreamSpec,
    private readonly access: UpstreamAccess,
    private readonly socket: Socket,
    private readonly backend: ClientInternals,
  ) {
    this.splitter = new MessageSplitter(access.maxAnswerBytes, spec.id);
    socket.removeAllListeners('data');
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('close', () => {
      this.fail(ExchangeFailure.Lost);
    });
  }

  /** Connects and authenticates. */
  static async connect(
    spec: UpstreamSpec,
    database: string,
    access: UpstreamAccess,
  ): Promise<Result<UpstreamConnection, GladespoolError>> {
    const client = new pg.Client({
      host: spec.address,
      port: spec.port,
      user: access.user,
      password: access.password,
      database,
      application_name: access.applicationName,
      stream: access.createSocket,
      connectionTimeoutMillis: access.connectTimeoutMs,
    });
    client.on('error', () => undefined);
    try {
      await client.connect();
    } catch (cause) {
      client.end().catch(() => undefined);
      const context = { step: Step.UpstreamConnect, peer: `${spec.address}:${spec.port}` };
      return err(gladespoolError(context, `upstream ${spec.id} refused a connection`, { cause }));
    }
    const internals = client as unknown as ClientInternals;
    return ok(new UpstreamConnection(spec, access, internals.connection.stream, internals));
  }

  /** Total bytes sent and received. */
  get bytes(): number {
    return this.socket.bytesRead + this.socket.bytesWritten;
  }

  /** Whether an exchange can be started. */
  get usable(): boolean {
    return !this.closed && this.pending === undefined;
  }

  get reusable(): boolean {
    return this.status === TransactionStatus.Idle;
  }

  /** Whether the connection is closed. */
  get ended(): boolean {
    return this.closed;
  }

  /**
   * Sends messages and collects the reply up to `segments` ReadyForQuery messages.
   *
   * A failed exchange closes the connection, because a reply may still be outstanding on it.
   */
  exchange(
    payload: Buffer,
    segments: number,
    timeoutMs: number,
  ): Promise<Result<readonly AnswerSegment[], ExchangeFailure>> {
    if (!this.usable) return Promise.resolve(err(ExchangeFailure.Lost));
    return new Promise((resolve) => {
      const limit = new TimeLimit(timeoutMs, () => {
        this.fail(ExchangeFailure.Deadline);
      });
      this.pending = {
        expected: segments,
        segments: [],
        messages: [],
        bytes: 0,
        settle: (result) => {
          limit.clear();
          resolve(result);
        },
      };
      this.socket.write(payload);
    });
  }

  /** Sends a cancel request for the running statement over a separate connection. */
  cancelRunning(): void {
    const request = Buffer.alloc(16);
    request.writeInt32BE(request.length, 0);
    request.writeInt32BE(CANCEL_REQUEST_CODE, 4);
    request.writeInt32BE(this.backend.processID, 8);
    request.writeInt32BE(this.backend.secretKey, 12);
    const socket = this.access.createSocket();
    socket.on('error', () => undefined);
    socket.connect(this.spec.port, this.spec.address);
    socket.end(request);
  }

  /** Closes the connection; an exchange in progress fails with {@link ExchangeFailure.Lost}. */
  close(): void {
    this.fail(ExchangeFailure.Lost);
  }

  private receive(chunk: Buffer): void {
    const messages = this.splitter.push(chunk);
    if (messages.isErr()) {
      this.fail(ExchangeFailure.TooLarge);
      return;
    }
    for (const message of messages.value) this.handleMessage(message);
  }

  private handleMessage(message: Buffer): void {
    const type = message[0];
    const isAsynchronous =
      type === BackendType.ParameterStatus ||
      type === BackendType.Notification ||
      (type === BackendType.Notice && this.pending === undefined);
    if (isAsynchronous) return;
    const pending = this.pending;
    if (pending === undefined) {
      this.fail(ExchangeFailure.Lost);
      return;
    }
    if (type === BackendType.ReadyForQuery) {
      this.completeSegment(pending, message);
      return;
    }
    pending.messages.push(message);
    pending.bytes += message.length;
    if (pending.bytes > this.access.maxAnswerBytes) this.fail(ExchangeFailure.TooLarge);
  }

  private completeSegment(pending: PendingExchange, ready: Buffer): void {
    this.status = transactionStatusOf(ready);
    pending.segments.push({ messages: pending.messages, status: this.status });
    pending.messages = [];
    if (pending.segments.length < pending.expected) return;
    this.pending = undefined;
    pending.settle(ok(pending.segments));
  }

  private fail(failure: ExchangeFailure): void {
    const pending = this.pending;
    this.pending = undefined;
    this.closed = true;
    this.socket.destroy();
    pending?.settle(err(failure));
  }
}

/** Lease of an upstream connection for one request or transaction. */
export type Lease = PoolLease<UpstreamConnection>;
