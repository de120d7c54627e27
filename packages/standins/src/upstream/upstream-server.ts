/**
 * Server of a stand-in upstream: logins with a configurable delay, connection limit, cancel requests.
 */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { CancelKey, ErrorFields, LoginInfo } from '@gladespool/protocol';
import { startLogin } from '@gladespool/protocol';
import { CONTROL_APPLICATION } from '@gladespool/upstreams';
import { ControlFunctions } from './control-functions.js';
import { Executor } from './executor.js';
import { SqlState } from './expression.js';
import { RowLocks } from './row-locks.js';
import { UpstreamSession } from './session.js';
import type { UpstreamNode } from './upstream-node.js';

/** Options of an upstream server. */
export interface UpstreamServerOptions {
  readonly node: UpstreamNode;
  readonly address: string;
  /** Port to listen on; 0 for any free port. */
  readonly port: number;
  readonly user: string;
  readonly password: string;
  /** Maximum number of open request connections; control connections of hosts do not count. */
  readonly maxConnections: number;
  /** Duration of a login, milliseconds. */
  readonly connectMs: number;
}

const LOGIN_TIMEOUT_MS = 10_000;

/** Server that accepts the connections to one stand-in upstream. */
export class UpstreamServer {
  private readonly sessions = new Map<number, UpstreamSession>();
  private readonly sockets = new Set<Socket>();
  private readonly cancelSecrets = new Map<number, number>();
  private readonly locks = new RowLocks();
  private server: Server | undefined;
  private boundPort: number;
  private requestSessions = 0;
  /** Highest number of concurrently open request sessions since the start. */
  peakSessions = 0;
  /** Number of logins refused because of the connection limit. */
  refusedLogins = 0;

  constructor(private readonly options: UpstreamServerOptions) {
    this.boundPort = options.port;
    options.node.onReset(() => {
      this.endSessions();
    });
  }

  get port(): number {
    return this.boundPort;
  }

  get node(): UpstreamNode {
    return this.options.node;
  }

  /** Starts to listen; also restarts a stopped upstream. */
  async listen(): Promise<void> {
    const server = createServer((socket) => {
      this.accept(socket);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.boundPort, this.options.address, resolve);
    });
    this.server = server;
    this.boundPort = (server.address() as AddressInfo).port;
    this.node.stopped = false;
  }

  /** Stops the upstream as in a crash; its log is kept. */
  async stop(): Promise<void> {
    this.node.stopped = true;
    for (const socket of this.sockets) socket.destroy();
    const server = this.server;
    this.server = undefined;
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  /** Pauses or resumes the upstream, to simulate a frozen process. */
  setPaused(paused: boolean): void {
    this.node.paused = paused;
    for (const session of this.sessions.values()) session.setPaused(paused);
  }

  private accept(socket: Socket): void {
    socket.setNoDelay(true);
    this.sockets.add(socket);
    socket.on('close', () => {
      this.sockets.delete(socket);
    });
    startLogin({
      socket,
      passwordOf: (user) => (user === this.options.user ? this.options.password : undefined),
      tls: undefined,
      timeoutMs: LOGIN_TIMEOUT_MS,
      reportedParameters: new Map([
        ['server_version', '16.0 (stand-in)'],
        ['client_encoding', 'UTF8'],
        ['standard_conforming_strings', 'on'],
      ]),
      admit: (parameters) => this.admit(socket, parameters.get('application_name') ?? ''),
      onLogin: (info) => {
        this.startSession(info);
      },
      onFault: () => undefined,
      onCancel: (key) => {
        this.cancel(key);
      },
    });
  }

  private async admit(socket: Socket, application: string): Promise<ErrorFields | undefined> {
    await new Promise((resolve) => setTimeout(resolve, this.options.connectMs));
    if (application === CONTROL_APPLICATION) return undefined;
    if (this.requestSessions >= this.options.maxConnections) {
      this.refusedLogins += 1;
      return {
        severity: 'FATAL',
        code: SqlState.TooManyConnections,
        message: 'too many connections',
      };
    }
    this.requestSessions += 1;
    this.peakSessions = Math.max(this.peakSessions, this.requestSessions);
    socket.once('close', () => {
      this.requestSessions -= 1;
    });
    return undefined;
  }

  private startSession(info: LoginInfo): void {
    const { processId, secret } = info.key;
    const executor = new Executor(this.node, this.locks, new ControlFunctions(this.node));
    const session = new UpstreamSession(info.socket, executor);
    session.setPaused(this.node.paused);
    this.sessions.set(processId, session);
    this.cancelSecrets.set(processId, secret);
    info.socket.once('close', () => {
      this.sessions.delete(processId);
      this.cancelSecrets.delete(processId);
    });
  }

  private cancel(key: CancelKey): void {
    if (this.cancelSecrets.get(key.processId) !== key.secret) return;
    const session = this.sessions.get(key.processId);
    if (session !== undefined) session.executor.canceled = true;
  }

  private endSessions(): void {
    for (const session of this.sessions.values()) session.end();
  }
}
