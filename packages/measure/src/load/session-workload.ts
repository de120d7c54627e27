/**
 * Workload of a session, recorded as a history: unique writes, some of them with a request id and sent
 * twice, transactions, and reads of the session's own confirmed rows, on changing hosts.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { RandomSource } from '@gladespool/coordination';
import type { HistoryEvent } from '../history/history.js';
import { Told } from '../history/history.js';
import { Caller } from './caller.js';

/** Options of one session. */
export interface SessionOptions {
  readonly name: string;
  readonly group: string;
  /** Ports of the hosts that are reachable at the moment. */
  readonly ports: () => readonly number[];
  readonly random: RandomSource;
  /** Deadline in the SQL comment of each request, milliseconds. */
  readonly deadlineMs: number;
  readonly record: (event: HistoryEvent) => void;
}

const TABLE = 'rows';
const SWITCH_PROBABILITY = 0.3;
const READ_PROBABILITY = 0.5;
const REQUEST_ID_PROBABILITY = 0.4;
const REPEAT_PROBABILITY = 0.3;
const TRANSACTION_PROBABILITY = 0.2;
const RECONNECT_MS = 20;
const CONNECT_TIMEOUT_MS = 2000;
const REPLY_MARGIN_MS = 5000;

/** Sends the requests of one session and records their outcomes. */
export class SessionWorkload {
  private caller: Caller | undefined;
  private token = '';
  private readonly confirmed: string[] = [];
  private count = 0;
  /** Requests without a reply within the time limit; any such request violates the deadline guarantee. */
  unanswered = 0;

  constructor(private readonly options: SessionOptions) {}

  /** Sends requests until `stopped` returns true. */
  async run(stopped: () => boolean): Promise<void> {
    while (!stopped()) {
      const caller = await this.ensureConnected();
      if (caller === undefined) {
        await pause(RECONNECT_MS);
        continue;
      }
      await this.step(caller);
    }
    await this.disconnect();
  }

  private async step(caller: Caller): Promise<void> {
    const { random } = this.options;
    if (this.confirmed.length > 0 && random.unit() < READ_PROBABILITY) await this.read(caller);
    else await this.write(caller);
    this.token = caller.token === '' ? this.token : caller.token;
    if (caller.ended || random.unit() < SWITCH_PROBABILITY) await this.disconnect();
  }

  private async read(caller: Caller): Promise<void> {
    const { random, name, record, deadlineMs } = this.options;
    const newest =
      random.unit() < REPEAT_PROBABILITY ? random.integer(0, this.confirmed.length - 1) : -1;
    const row = this.confirmed.at(newest) ?? '';
    const sql = `SELECT owner FROM ${TABLE} WHERE id = $1 /*deadline_ms='${deadlineMs}'*/`;
    const found = await this.tryQuery(caller, sql, [row]);
    if (found === undefined) return;
    record({ kind: 'read', session: name, row, foundOwner: found[0]?.owner ?? undefined });
  }

  private async write(caller: Caller): Promise<void> {
    const { random } = this.options;
    this.count += 1;
    const request =
      random.unit() < REQUEST_ID_PROBABILITY ? `${this.options.name}-q${this.count}` : undefined;
    if (request === undefined && random.unit() < TRANSACTION_PROBABILITY) {
      await this.transaction(caller);
      return;
    }
    const told = await this.send(caller, `${this.options.name}-${this.count}-a`, request);
    const repeats = told === Told.Unknown || random.unit() < REPEAT_PROBABILITY;
    if (request === undefined || !repeats) return;
    await this.disconnect();
    const other = await this.ensureConnected();
    if (other !== undefined)
      await this.send(other, `${this.options.name}-${this.count}-b`, request);
  }

  private async send(caller: Caller, row: string, request: string | undefined): Promise<Told> {
    const { name, deadlineMs } = this.options;
    const id = request === undefined ? '' : `,request_id='${request}',repeatable='no'`;
    const comment = `/*deadline_ms='${deadlineMs}'${id}*/`;
    const sql = `INSERT INTO ${TABLE} (id, owner) VALUES ('${row}', '${name}') ${comment}`;
    const told = await this.outcome(caller, async () => {
      await caller.query(sql);
    });
    this.recordWrite(row, request, told);
    return told;
  }

  private async transaction(caller: Caller): Promise<void> {
    const { name, deadlineMs } = this.options;
    const row = `${name}-${this.count}-t`;
    let committing = false;
    const told = await this.outcome(caller, async () => {
      await caller.query(`BEGIN /*deadline_ms='${deadlineMs}'*/`);
      await caller.query(`INSERT INTO ${TABLE} (id, owner) VALUES ('${row}', '${name}')`);
      await caller.query(`SELECT owner FROM ${TABLE} WHERE id = '${row}'`);
      committing = true;
      await caller.query(`COMMIT /*deadline_ms='${deadlineMs}'*/`);
    });
    const certainlyNotRun = told === Told.Unknown && !committing;
    this.recordWrite(row, undefined, certainlyNotRun ? Told.NotRun : told);
    if (told !== Told.Confirmed) await this.disconnect();
  }

  private recordWrite(row: string, request: string | undefined, told: Told): void {
    const { name, record } = this.options;
    record({ kind: 'write', session: name, row, request, told });
    if (told === Told.Confirmed && request === undefined) this.confirmed.push(row);
  }

  private async outcome(caller: Caller, run: () => Promise<void>): Promise<Told> {
    try {
      await this.withTimeout(run());
      this.token = caller.token === '' ? this.token : caller.token;
      return Told.Confirmed;
    } catch (error) {
      return outcomeOfError(error);
    }
  }

  private async tryQuery(
    caller: Caller,
    sql: string,
    values: readonly string[],
  ): Promise<Awaited<ReturnType<Caller['query']>> | undefined> {
    try {
      return await this.withTimeout(caller.query(sql, values));
    } catch {
      return undefined;
    }
  }

  /** Rejects and counts a reply that does not arrive within the deadline plus a margin. */
  private async withTimeout<Value>(answer: Promise<Value>): Promise<Value> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(() => {
        this.unanswered += 1;
        reject(new Error('no reply within the deadline plus margin'));
      }, this.options.deadlineMs + REPLY_MARGIN_MS);
    });
    try {
      return await Promise.race([answer, late]);
    } finally {
      clearTimeout(timer);
    }
  }

  private async ensureConnected(): Promise<Caller | undefined> {
    if (this.caller !== undefined && !this.caller.ended) return this.caller;
    const ports = this.options.ports();
    const port = ports[this.options.random.integer(0, ports.length - 1)];
    if (port === undefined) return undefined;
    try {
      const { group } = this.options;
      const opening = Caller.connect({ port, group, token: this.token });
      const limit = pause(CONNECT_TIMEOUT_MS).then(() => undefined);
      this.caller = await Promise.race([opening, limit]);
      if (this.caller === undefined) void opening.then((late) => late.end()).catch(() => undefined);
    } catch {
      this.caller = undefined;
    }
    return this.caller;
  }

  private async disconnect(): Promise<void> {
    const { caller } = this;
    this.caller = undefined;
    await Promise.race([caller?.end().catch(() => undefined), pause(RECONNECT_MS)]);
  }
}

/**
 * Outcome of a write that failed with an error: the `ran` field of the proxy's error detail if present;
 * otherwise an error with an SQLSTATE means not run, and any other error means unknown.
 */
export function outcomeOfError(error: unknown): Told {
  if (!(error instanceof Error)) return Told.Unknown;
  const { detail, code } = error as { detail?: string; code?: string };
  const ran = /ran=(\w+)/.exec(detail ?? '')?.[1];
  if (ran === 'no') return Told.NotRun;
  if (ran !== undefined) return ran === 'yes' ? Told.Confirmed : Told.Unknown;
  return code?.length === SQLSTATE_LENGTH ? Told.NotRun : Told.Unknown;
}

const SQLSTATE_LENGTH = 5;
