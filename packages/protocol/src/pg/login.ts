/**
 * Performs startup, TLS negotiation and password authentication of a connection with `pg-gateway`, then hands over the
 * socket. Startup packets are validated before the library reads them, because its reader does not stop at the end of
 * a malformed one.
 */
import { randomInt } from 'node:crypto';
import type { Socket } from 'node:net';
import { hashMd5Password, PostgresConnection } from 'pg-gateway';
import type { Credentials, TlsOptions } from 'pg-gateway';
import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import type { ErrorFields } from './backend-message.js';
import { encodeError, encodeParameterStatus, encodeReady } from './backend-message.js';
import { TransactionStatus } from './message-type.js';

/** An authenticated connection. */
export interface LoginInfo {
  /** Socket to continue with; the TLS socket after an upgrade. */
  readonly socket: Socket;
  readonly user: string;
  readonly database: string;
  /** All startup parameters. */
  readonly parameters: ReadonlyMap<string, string>;
  /** Key with which the connection's statements can be canceled. */
  readonly key: CancelKey;
}

/** Key in a cancel request. */
export interface CancelKey {
  readonly processId: number;
  readonly secret: number;
}

/** Reason for a failed login. */
export enum LoginFault {
  Timeout = 'timeout',
  TooLarge = 'too-large',
  Malformed = 'malformed',
  WrongPassword = 'wrong-password',
}

/** Options of a login. */
export interface LoginOptions {
  readonly socket: Socket;
  /** Returns the password of a user; undefined for an unknown user. */
  readonly passwordOf: (user: string) => string | undefined;
  /** Certificate and key; TLS is refused if undefined. */
  readonly tls: TlsOptions | undefined;
  /** Maximum time from accept to login, milliseconds. */
  readonly timeoutMs: number;
  /** Server parameters reported after login. */
  readonly reportedParameters: ReadonlyMap<string, string>;
  /** Delays or refuses a login once its parameters are known; a returned error ends the connection. */
  readonly admit?: (parameters: ReadonlyMap<string, string>) => Promise<ErrorFields | undefined>;
  readonly onLogin: (info: LoginInfo) => void;
  readonly onFault: (fault: LoginFault) => void;
  readonly onCancel: (key: CancelKey) => void;
}

/** Maximum number of bytes before login; PostgreSQL accepts startup packets of up to 10,000 bytes. */
const MAX_LOGIN_BYTES = 10_000;
const CANCEL_CODE = 80877102;
const CANCEL_LENGTH = 16;
const CODE_OFFSET = 4;
const STARTUP_BODY_OFFSET = 8;
const SECRET_LIMIT = 2 ** 31;
const BACKEND_KEY_DATA = 0x4b;
const TLS_REQUEST_CODE = 80877103;

/** Starts the login of a connection. */
export function startLogin(options: LoginOptions): void {
  const login = new Login(options);
  login.begin();
}

class Login extends PostgresConnection {
  private bytes = 0;
  private done = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly login: LoginOptions) {
    super(login.socket, {
      authMode: 'md5Password',
      validateCredentials: (credentials) => this.checkPassword(credentials),
      onStartup: () => this.admit(),
      onMessage: (data) => this.inspect(Buffer.from(data)),
      ...(login.tls === undefined ? {} : { tls: login.tls }),
    });
  }

  begin(): void {
    this.timer = setTimeout(() => {
      this.abort(LoginFault.Timeout);
    }, this.login.timeoutMs);
    this.login.socket.once('close', () => {
      clearTimeout(this.timer);
    });
    this.login.socket.on('error', () => {
      clearTimeout(this.timer);
    });
  }

  override async handleData(data: Buffer): Promise<void> {
    if (this.done) return;
    this.bytes += data.length;
    if (this.bytes > MAX_LOGIN_BYTES) {
      this.abort(LoginFault.TooLarge);
      return;
    }
    await super.handleData(data);
  }

  override completeAuthentication(): Promise<void> {
    if (this.done) return Promise.resolve();
    this.done = true;
    clearTimeout(this.timer);
    this.isAuthenticated = true;
    const parameters = this.parameters();
    const user = parameters.get('user') ?? '';
    const key = { processId: randomInt(1, SECRET_LIMIT), secret: randomInt(0, SECRET_LIMIT) };
    this.sendAuthenticationOk();
    const reports = [...this.login.reportedParameters].map(([name, value]) =>
      encodeParameterStatus(name, value),
    );
    this.sendData(Buffer.concat([...reports, keyData(key), encodeReady(TransactionStatus.Idle)]));
    const socket = this.detach();
    const database = parameters.get('database') ?? user;
    this.login.onLogin({ socket, user, database, parameters, key });
    return Promise.resolve();
  }

  private async checkPassword(credentials: Credentials): Promise<boolean> {
    if (credentials.authMode !== 'md5Password') return false;
    const password = this.login.passwordOf(credentials.user);
    const expected = await hashMd5Password(credentials.user, password ?? '', credentials.salt);
    const valid = password !== undefined && expected === credentials.hash;
    if (!valid) this.settle(LoginFault.WrongPassword);
    return valid;
  }

  private async admit(): Promise<boolean> {
    const refusal = await this.login.admit?.(this.parameters());
    if (refusal === undefined) return false;
    this.settle(undefined);
    this.sendData(encodeError(refusal));
    this.socket.end();
    return true;
  }

  /** Validates a message before the library reads it; true if the library must not process it. */
  private inspect(data: Buffer): boolean {
    if (this.hasStarted) return this.rejectUnless(data[data.length - 1] === 0);
    const code = data.length >= STARTUP_BODY_OFFSET ? data.readInt32BE(CODE_OFFSET) : 0;
    if (code === TLS_REQUEST_CODE) return false;
    if (code === CANCEL_CODE && data.length === CANCEL_LENGTH) {
      this.settle(undefined);
      this.login.onCancel({ processId: data.readInt32BE(8), secret: data.readInt32BE(12) });
      this.socket.end();
      return true;
    }
    return this.rejectUnless(isStartupBody(data));
  }

  private rejectUnless(valid: boolean): boolean {
    if (!valid) this.abort(LoginFault.Malformed);
    return !valid;
  }

  private parameters(): ReadonlyMap<string, string> {
    return new Map(Object.entries(this.clientInfo?.parameters ?? {}));
  }

  private settle(fault: LoginFault | undefined): void {
    if (this.done) return;
    this.done = true;
    clearTimeout(this.timer);
    if (fault !== undefined) this.login.onFault(fault);
  }

  private abort(fault: LoginFault): void {
    this.settle(fault);
    this.socket.destroy();
  }
}

/** Whether a startup packet is a list of name and value strings terminated by an empty name. */
export function isStartupBody(packet: Buffer): boolean {
  let offset = STARTUP_BODY_OFFSET;
  for (;;) {
    const nameEnd = packet.indexOf(0, offset);
    if (nameEnd < 0) return false;
    if (nameEnd === offset) return true;
    const valueEnd = packet.indexOf(0, nameEnd + 1);
    if (valueEnd < 0) return false;
    offset = valueEnd + 1;
  }
}

function keyData(key: CancelKey): Buffer {
  const writer = new Writer().addInt32(key.processId).addInt32(key.secret);
  return Buffer.from(writer.flush(BACKEND_KEY_DATA));
}
