/**
 * Server for callers: accepts connections up to a limit, runs the login, checks the session token given
 * at start-up, and dispatches cancel requests.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { Blackboard, Refusal, SessionFloor } from '@gladespool/coordination';
import { groupId, RefusalReason, refuse } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import { CallerFault } from '@gladespool/observability';
import type { CancelKey, ErrorFields, LoginInfo } from '@gladespool/protocol';
import { encodeError, LoginFault, startLogin } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import type { SessionContext } from './caller-session.js';
import { CallerSession } from './caller-session.js';
import { TOKEN_PARAMETER } from './local-statement.js';
import { refusalFields } from './refusal-message.js';
import { startOption } from './start-option.js';

/** TLS key and certificate for connections of callers. */
export interface CallerTls {
  readonly key: Buffer;
  readonly cert: Buffer;
}

/** Options of the caller server. */
export interface CallerServerOptions {
  readonly board: Blackboard;
  readonly session: SessionContext;
  readonly users: ReadonlyMap<string, string>;
  readonly tls: CallerTls | undefined;
  readonly loginTimeoutMs: number;
  readonly maxCallers: number;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}

const CALLER_FAULTS: Readonly<Record<LoginFault, CallerFault>> = {
  [LoginFault.Timeout]: CallerFault.LoginTimeout,
  [LoginFault.TooLarge]: CallerFault.LoginTooLarge,
  [LoginFault.Malformed]: CallerFault.Malformed,
  [LoginFault.WrongPassword]: CallerFault.WrongPassword,
};

const REPORTED_PARAMETERS: ReadonlyMap<string, string> = new Map([
  ['server_version', '16.0 (gladespool)'],
  ['server_encoding', 'UTF8'],
  ['client_encoding', 'UTF8'],
  ['DateStyle', 'ISO, MDY'],
  ['TimeZone', 'UTC'],
  ['integer_datetimes', 'on'],
  ['standard_conforming_strings', 'on'],
]);

/** Server that accepts connections of callers. */
export class CallerServer {
  private server: Server | undefined;
  private readonly sessions = new Map<number, CallerSession>();
  private readonly secrets = new Map<number, number>();
  private readonly sockets = new Set<Socket>();
  private draining = false;

  constructor(private readonly options: CallerServerOptions) {}

  get port(): number {
    return (this.server?.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Number of callers that are logged in. */
  get callers(): number {
    return this.sessions.size;
  }

  /** Starts to listen; rejects if the address can't be bound. */
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

  /**
   * Stops accepting callers and closes connections that are not logged in. Sessions end as they become
   * idle; those left after `timeoutMs` are closed.
   */
  async drain(timeoutMs: number): Promise<void> {
    this.draining = true;
    this.server?.close();
    for (const socket of this.sockets) if (!this.isLoggedIn(socket)) socket.destroy();
    const drained = Promise.all([...this.sessions.values()].map((session) => session.drain()));
    await Promise.race([drained, pause(timeoutMs, undefined, { ref: false })]);
    for (const session of this.sessions.values()) session.destroy();
  }

  private readonly loggedIn = new WeakSet<Socket>();

  private isLoggedIn(socket: Socket): boolean {
    return this.loggedIn.has(socket);
  }

  private accept(socket: Socket): void {
    const { metrics, maxCallers } = this.options;
    if (this.draining || this.sockets.size >= maxCallers) {
      metrics.callerFaults.inc({ fault: CallerFault.TooManyCallers });
      socket.on('error', () => undefined);
      socket.end(encodeError({ severity: 'FATAL', code: '53300', message: 'too many callers' }));
      return;
    }
    this.sockets.add(socket);
    metrics.callers.set(this.sockets.size);
    socket.setNoDelay(true);
    socket.on('close', () => {
      this.sockets.delete(socket);
      metrics.callers.set(this.sockets.size);
    });
    this.login(socket);
  }

  private login(socket: Socket): void {
    const { users, tls, loginTimeoutMs, metrics } = this.options;
    startLogin({
      socket,
      passwordOf: (user) => users.get(user),
      tls,
      timeoutMs: loginTimeoutMs,
      reportedParameters: REPORTED_PARAMETERS,
      admit: (parameters) => Promise.resolve(this.admit(parameters)),
      onLogin: (info) => {
        this.loggedIn.add(socket);
        this.startSession(info);
      },
      onFault: (fault) => {
        metrics.callerFaults.inc({ fault: CALLER_FAULTS[fault] });
      },
      onCancel: (key) => {
        this.cancel(key);
      },
    });
  }

  private admit(parameters: ReadonlyMap<string, string>): ErrorFields | undefined {
    const refusal = this.admissionRefusal(parameters);
    if (refusal === undefined) return undefined;
    this.options.metrics.refusals.inc({ reason: refusal.reason });
    return refusalFields(refusal, 'FATAL');
  }

  private admissionRefusal(parameters: ReadonlyMap<string, string>): Refusal | undefined {
    const user = parameters.get('user') ?? '';
    const database = parameters.get('database') ?? user;
    const { board } = this.options;
    if (board.bundle !== undefined && board.spec(groupId(database)) === undefined) {
      return refuse(RefusalReason.UnknownGroup, database);
    }
    const floor = this.floorOf(user, parameters);
    return floor.isErr() ? floor.error : undefined;
  }

  private floorOf(
    user: string,
    parameters: ReadonlyMap<string, string>,
  ): Result<SessionFloor, Refusal> {
    const token = startOption(parameters, TOKEN_PARAMETER);
    return token === undefined || token === ''
      ? ok([])
      : this.options.session.tokens.open(user, token);
  }

  private startSession(info: LoginInfo): void {
    const floor = this.floorOf(info.user, info.parameters).unwrapOr([]);
    const session = new CallerSession(info, floor, this.options.session);
    const { processId, secret } = info.key;
    this.sessions.set(processId, session);
    this.secrets.set(processId, secret);
    info.socket.on('close', () => {
      this.sessions.delete(processId);
      this.secrets.delete(processId);
    });
    if (this.draining) void session.drain();
  }

  private cancel(key: CancelKey): void {
    if (this.secrets.get(key.processId) === key.secret) {
      this.sessions.get(key.processId)?.cancel();
    }
  }
}

const LISTEN_BACKLOG = 4096;
