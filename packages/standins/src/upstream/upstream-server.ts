/**
 * Listening side of a stand-in upstream: login with a set delay, connection limit, cancel.
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

/** Options of a stand-in upstream's server. */
export interface UpstreamServerOptions {
  readonly node: UpstreamNode;
  readonly address: string;
  /** 0 chooses a free port. */
  readonly port: number;
  readonly user: string;
  readonly password: string;
  /** Request connections accepted at once; control connections of hosts come on top. */
  readonly maxConnections: number;
  /** Time that a login takes, milliseconds. */
  readonly connectMs: number;
}

const LOGIN_TIMEOUT_MS = 10_000;

/** A stand-in upstream that listens. */
export class UpstreamServer {
  private readonly sessions = new Map<number, UpstreamSession>();
  private readonly sockets = new Set<Socket>();
  private readonly secrets = new Map<number, number>();
  private readonly locks = new RowLocks();
  private server: Server | undefined;
  private boundPort: number;
  private admitted = 0;
  /** Most sessions open at once since the start. */
  peakSessions = 0;
  /** Logins refused because of the connection limit. */
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

  /** Starts to listen. */
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

  /** Stops as a crash would; the log stays. */
  async stop(): Promise<void> {
    this.node.stopped = true;
    for (const socket of this.sockets) socket.destroy();
    const server = this.server;
    this.server = undefined;
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  /** Freezes or resumes the process. */
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
        this.begin(info);
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
    if (this.admitted >= this.options.maxConnections) {
      this.refusedLogins += 1;
      return {
        severity: 'FATAL',
        code: SqlState.TooManyConnections,
        message: 'too many connections',
      };
    }
    this.admitted += 1;
    this.peakSessions = Math.max(this.peakSessions, this.admitted);
    socket.once('close', () => {
      this.admitted -= 1;
    });
    return undefined;
  }

  private begin(info: LoginInfo): void {
    const { processId, secret } = info.key;
    const executor = new Executor(this.node, this.locks, new ControlFunctions(this.node));
    const session = new UpstreamSession(info.socket, executor);
    session.setPaused(this.node.paused);
    this.sessions.set(processId, session);
    this.secrets.set(processId, secret);
    info.socket.once('close', () => {
      this.sessions.delete(processId);
      this.secrets.delete(processId);
    });
  }

  private cancel(key: CancelKey): void {
    if (this.secrets.get(key.processId) !== key.secret) return;
    const session = this.sessions.get(key.processId);
    if (session !== undefined) session.executor.canceled = true;
  }

  private endSessions(): void {
    for (const session of this.sessions.values()) session.end();
  }
}
