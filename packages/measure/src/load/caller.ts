/**
 * Caller used by the experiments and tests: the `pg` driver plus handling of the session token.
 */
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { TOKEN_PARAMETER } from '@gladespool/proxy';
import pg from 'pg';
import { serialize } from 'pg-protocol';
import { EMBEDDED_PASSWORD, EMBEDDED_USER } from '../embedded/deployment.js';

/** Address, credentials and socket of a caller's connection. */
export interface CallerOptions {
  readonly port: number;
  readonly group: string;
  readonly token?: string;
  readonly user?: string;
  readonly password?: string;
  /** Certificate to trust; makes the connection use TLS. */
  readonly certificate?: string;
  /** Additional start-up options in the form `-c name=value`. */
  readonly options?: string;
  /** Creates the socket; tests supply sockets with injected latency and faults. */
  readonly createSocket?: () => Socket;
}

/** A row of text values. */
export type CallerRow = Readonly<Record<string, string | null>>;

interface ParameterStatus {
  readonly parameterName: string;
  readonly parameterValue: string;
}

/** Connection object of the driver, which its type declarations omit. */
interface DriverConnection extends NodeJS.EventEmitter {
  readonly stream: Socket;
}

/** Identifies a connection in a cancel request; the driver's type declarations omit these fields. */
interface BackendIdentity {
  readonly processID: number;
  readonly secretKey: number;
  readonly port: number;
}

/** One connected caller. */
export class Caller {
  /** Latest session token reported by the host. */
  token = '';
  /** Whether the connection has ended. */
  ended = false;

  private constructor(private readonly client: pg.Client) {}

  /** Connects and logs in. */
  static async connect(options: CallerOptions): Promise<Caller> {
    const token = options.token === undefined ? '' : `-c ${TOKEN_PARAMETER}=${options.token}`;
    const startOptions = [token, options.options ?? ''].join(' ').trim();
    const client = new pg.Client({
      host: '127.0.0.1',
      port: options.port,
      user: options.user ?? EMBEDDED_USER,
      password: options.password ?? EMBEDDED_PASSWORD,
      database: options.group,
      ...(startOptions === '' ? {} : { options: startOptions }),
      ...(options.certificate === undefined ? {} : { ssl: { ca: options.certificate } }),
      ...(options.createSocket === undefined ? {} : { stream: options.createSocket }),
    });
    const caller = new Caller(client);
    caller.token = options.token ?? '';
    client.on('error', () => {
      caller.ended = true;
    });
    client.on('end', () => {
      caller.ended = true;
    });
    await client.connect();
    const { connection } = client as unknown as { readonly connection: DriverConnection };
    connection.on('parameterStatus', (status: ParameterStatus) => {
      if (status.parameterName === TOKEN_PARAMETER) caller.token = status.parameterValue;
    });
    return caller;
  }

  /** Runs a statement; parameters make it use the extended protocol. */
  async query(sql: string, values?: readonly string[]): Promise<readonly CallerRow[]> {
    const result = await (values === undefined
      ? this.client.query<CallerRow>(sql)
      : this.client.query<CallerRow>(sql, [...values]));
    return result.rows;
  }

  /** Sets the session token to the token of another session. */
  async adoptToken(token: string): Promise<void> {
    await this.query(`SET ${TOKEN_PARAMETER} = '${token}'`);
    this.token = token;
  }

  /** Whether the connection uses TLS. */
  get encrypted(): boolean {
    return 'encrypted' in this.stream;
  }

  /** Writes bytes to the socket, bypassing the driver. */
  sendRaw(bytes: Buffer): void {
    this.stream.write(bytes);
  }

  /** Passes all further received bytes to `receive` instead of the driver. */
  receiveRaw(receive: (chunk: Buffer) => void): void {
    this.stream.removeAllListeners('data');
    this.stream.on('data', receive);
  }

  private get stream(): Socket {
    const { connection } = this.client as unknown as { readonly connection: DriverConnection };
    return connection.stream;
  }

  /** Sends a cancel request for the running statement over a separate connection. */
  async cancel(): Promise<void> {
    const { processID, secretKey, port } = this.client as unknown as BackendIdentity;
    const socket = connect(port, '127.0.0.1');
    await new Promise((resolve) => {
      socket.once('close', resolve);
      socket.end(serialize.cancel(processID, secretKey));
    });
  }

  /** Ends the connection; does nothing if it has ended already. */
  async end(): Promise<void> {
    if (!this.ended) await this.client.end();
  }
}
