/**
 * Client session of a stand-in upstream: handles the simple and the extended query protocol.
 */
import type { Socket } from 'node:net';
import {
  BackendType,
  encodeWithoutBody,
  encodeCommandComplete,
  encodeDataRow,
  encodeError,
  encodeParameterDescription,
  encodeReady,
  encodeRowDescription,
  FrontendType,
  MessageSplitter,
} from '@gladespool/protocol';
import type { Statement } from 'pgsql-ast-parser';
import { readBind, readExecute, readParse, readTarget } from './bind-message.js';
import type { Executor, StatementResult } from './executor.js';
import { columnsOf, parseSql } from './executor.js';
import { SqlError, SqlState } from './expression.js';

interface Prepared {
  readonly statements: readonly Statement[];
  readonly parameterTypes: readonly number[];
  readonly parameterCount: number;
}

interface Portal {
  readonly prepared: Prepared;
  readonly parameters: readonly (string | null)[];
  /** Complete result; undefined until the portal is executed. */
  result: StatementResult | undefined;
  fetched: number;
}

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Session of one authenticated connection. */
export class UpstreamSession {
  private readonly splitter = new MessageSplitter(MAX_MESSAGE_BYTES, 'client');
  private readonly queue: Buffer[] = [];
  private readonly prepared = new Map<string, Prepared>();
  private readonly portals = new Map<string, Portal>();
  private busy = false;
  private skippingToSync = false;
  private paused = false;

  constructor(
    private readonly socket: Socket,
    readonly executor: Executor,
  ) {
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('close', () => {
      executor.rollback();
    });
    socket.on('error', () => undefined);
  }

  /** Pauses or resumes message processing, to simulate a frozen process. */
  setPaused(paused: boolean): void {
    this.paused = paused;
    if (!paused) void this.drain();
  }

  end(): void {
    this.socket.destroy();
  }

  private receive(chunk: Buffer): void {
    const messages = this.splitter.push(chunk);
    if (messages.isErr()) {
      this.socket.destroy();
      return;
    }
    this.queue.push(...messages.value);
    if (!this.busy) void this.drain();
  }

  private async drain(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    while (!this.paused) {
      const message = this.queue.shift();
      if (message === undefined) break;
      await this.handle(message);
    }
    this.busy = false;
  }

  private async handle(message: Buffer): Promise<void> {
    const type = message[0];
    if (type === FrontendType.Terminate) {
      this.socket.end();
      return;
    }
    if (type === FrontendType.Sync) {
      this.sync();
      return;
    }
    if (type === FrontendType.Query) {
      await this.simpleQuery(message.toString('utf8', 5, message.length - 1));
      return;
    }
    if (this.skippingToSync) return;
    try {
      await this.handleExtended(message);
    } catch (error) {
      this.sendError(error);
      this.skippingToSync = true;
    }
  }

  private async simpleQuery(sql: string): Promise<void> {
    try {
      const statements = parseSql(sql);
      if (statements.length === 0) this.socket.write(encodeWithoutBody(BackendType.EmptyQuery));
      for (const statement of statements) {
        const result = await this.executor.run(statement, []);
        this.executor.sync();
        this.socket.write(encodeResult(result, true));
      }
    } catch (error) {
      this.sendError(error);
    }
    this.sync();
  }

  private sync(): void {
    this.skippingToSync = false;
    try {
      this.executor.sync();
    } catch (error) {
      this.sendError(error);
    }
    this.socket.write(encodeReady(this.executor.status));
  }

  private sendError(error: unknown): void {
    this.executor.fail();
    const code = error instanceof SqlError ? error.sqlState : 'XX000';
    const message = error instanceof Error ? error.message : 'internal error';
    this.socket.write(encodeError({ severity: 'ERROR', code, message }));
  }

  private async handleExtended(message: Buffer): Promise<void> {
    switch (message[0]) {
      case FrontendType.Parse:
        this.parse(message);
        return;
      case FrontendType.Bind:
        this.bind(message);
        return;
      case FrontendType.Describe:
        this.describe(message);
        return;
      case FrontendType.Execute:
        await this.execute(message);
        return;
      case FrontendType.Close: {
        const target = readTarget(message);
        (target.isPortal ? this.portals : this.prepared).delete(target.name);
        this.socket.write(encodeWithoutBody(BackendType.CloseComplete));
        return;
      }
      case FrontendType.Flush:
        return;
      default:
        throw new SqlError(SqlState.NotSupported, 'message type is not supported');
    }
  }

  private parse(message: Buffer): void {
    const parse = readParse(message);
    if (parse.name !== '' && this.prepared.has(parse.name)) {
      throw new SqlError('42P05', `prepared statement ${parse.name} already exists`);
    }
    const numbers = [...parse.sql.matchAll(/\$(\d+)/g)].map((match) => Number(match[1]));
    this.prepared.set(parse.name, {
      statements: parseSql(parse.sql),
      parameterTypes: parse.types,
      parameterCount: Math.max(0, ...numbers),
    });
    this.socket.write(encodeWithoutBody(BackendType.ParseComplete));
  }

  private bind(message: Buffer): void {
    const bind = readBind(message, (name) => this.statement(name).parameterTypes);
    const prepared = this.statement(bind.statement);
    const { parameters } = bind;
    this.portals.set(bind.portal, { prepared, parameters, result: undefined, fetched: 0 });
    this.socket.write(encodeWithoutBody(BackendType.BindComplete));
  }

  private describe(message: Buffer): void {
    const target = readTarget(message);
    if (target.isPortal) {
      this.socket.write(this.describeRows(this.portal(target.name).prepared));
      return;
    }
    const prepared = this.statement(target.name);
    this.socket.write(encodeParameterDescription(prepared.parameterCount));
    this.socket.write(this.describeRows(prepared));
  }

  private async execute(message: Buffer): Promise<void> {
    const { portal: name, limit } = readExecute(message);
    const portal = this.portal(name);
    const [statement] = portal.prepared.statements;
    if (statement === undefined) {
      this.socket.write(encodeWithoutBody(BackendType.EmptyQuery));
      return;
    }
    const result = (portal.result ??= await this.executor.run(statement, portal.parameters));
    const end = limit === 0 ? result.rows.length : portal.fetched + limit;
    const rows = result.rows.slice(portal.fetched, end);
    portal.fetched += rows.length;
    if (portal.fetched < result.rows.length) {
      this.socket.write(Buffer.concat(rows.map((row) => encodeDataRow(row))));
      this.socket.write(encodeWithoutBody(BackendType.PortalSuspended));
      return;
    }
    this.socket.write(encodeResult({ ...result, rows }, false));
  }

  private describeRows(prepared: Prepared): Buffer {
    const [statement] = prepared.statements;
    if (statement?.type !== 'select') return encodeWithoutBody(BackendType.NoData);
    return encodeRowDescription(columnsOf(statement, this.executor.node.tables));
  }

  private statement(name: string): Prepared {
    const prepared = this.prepared.get(name);
    if (prepared !== undefined) return prepared;
    throw new SqlError(SqlState.UndefinedObject, `prepared statement ${name} does not exist`);
  }

  private portal(name: string): Portal {
    const portal = this.portals.get(name);
    if (portal !== undefined) return portal;
    throw new SqlError('34000', `portal ${name} does not exist`);
  }
}

function encodeResult(result: StatementResult, withColumns: boolean): Buffer {
  const parts: Buffer[] = [];
  if (withColumns && result.columns !== undefined) parts.push(encodeRowDescription(result.columns));
  for (const row of result.rows) parts.push(encodeDataRow(row));
  parts.push(encodeCommandComplete(result.tag));
  return Buffer.concat(parts);
}
