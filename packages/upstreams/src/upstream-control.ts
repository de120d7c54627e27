/**
 * Control connection of a home to one upstream for status, fence, promote and follow statements. It
 * does not count against the connection budget of requests. Concurrent status queries share one reply.
 */
import type { GladespoolError, TimedReport, UpstreamSpec } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { serialize } from 'pg-protocol';
import { errorStateOf, firstRowOf } from './answer-segment.js';
import type { AnswerSegment } from './answer-segment.js';
import { decodeStatus, STATUS_SQL } from './control-sql.js';
import type { UpstreamAccess } from './upstream-connection.js';
import { UpstreamConnection } from './upstream-connection.js';

/** Application name of control connections, which do not count against the budget of request connections. */
export const CONTROL_APPLICATION = 'gladespool-control';

/** Outcome of a control statement. */
export type ControlResult = Result<TimedReport, GladespoolError>;

/** Options of a control connection. */
export interface UpstreamControlOptions {
  readonly spec: UpstreamSpec;
  readonly database: string;
  readonly access: UpstreamAccess;
  /** Timeout for a reply, milliseconds. */
  readonly timeoutMs: number;
  /** Called once with the result of each statement, however many callers wait for it. */
  readonly onResult: (result: ControlResult) => void;
  /** Called with the number of bytes that a statement and its reply took. */
  readonly onBytes: (bytes: number) => void;
}

interface Job {
  readonly sql: string;
  readonly waiters: ((result: ControlResult) => void)[];
}

/** Control connection that runs one statement at a time. */
export class UpstreamControl {
  private connection: UpstreamConnection | undefined;
  private readonly jobs: Job[] = [];
  private running = false;
  private closed = false;

  constructor(private readonly options: UpstreamControlOptions) {}

  get spec(): UpstreamSpec {
    return this.options.spec;
  }

  /** Requests a status that is sent after this call; callers that are already waiting share the reply. */
  status(): Promise<ControlResult> {
    return this.run(STATUS_SQL);
  }

  /** Runs a control statement that returns a status row. */
  run(sql: string): Promise<ControlResult> {
    return new Promise((resolve) => {
      const queued = this.jobs.find((job) => job.sql === sql);
      if (queued === undefined) this.jobs.push({ sql, waiters: [resolve] });
      else queued.waiters.push(resolve);
      if (!this.running) void this.drain();
    });
  }

  /** Closes the connection; later statements fail. */
  close(): void {
    this.closed = true;
    this.connection?.close();
    this.connection = undefined;
  }

  private async drain(): Promise<void> {
    this.running = true;
    for (;;) {
      const job = this.jobs.shift();
      if (job === undefined) break;
      const result = await this.perform(job.sql);
      this.options.onResult(result);
      for (const waiter of job.waiters) waiter(result);
    }
    this.running = false;
  }

  private async perform(sql: string): Promise<ControlResult> {
    if (this.closed) return err(this.createError('control connection is closed'));
    const connection = await this.ensureConnected();
    if (connection.isErr()) return err(connection.error);
    const bytesBefore = connection.value.bytes;
    const sentAt = performance.now();
    const { timeoutMs } = this.options;
    const answer = await connection.value.exchange(serialize.query(sql), 1, timeoutMs);
    this.options.onBytes(connection.value.bytes - bytesBefore);
    if (answer.isErr())
      return err(this.createError(`no reply to control statement: ${answer.error}`));
    const [segment] = answer.value;
    if (segment === undefined) return err(this.createError('empty reply'));
    return this.parseReply(segment, sentAt);
  }

  private parseReply(segment: AnswerSegment, sentAt: number): ControlResult {
    const state = errorStateOf(segment);
    if (state !== undefined)
      return err(this.createError(`control statement failed with SQLSTATE ${state}`));
    const report = decodeStatus(this.spec.id, firstRowOf(segment)?.[0] ?? '');
    if (report.isErr()) return err(this.createError(`invalid status: ${report.error}`));
    return ok({ report: report.value, sentAt, at: performance.now() });
  }

  private async ensureConnected(): Promise<Result<UpstreamConnection, GladespoolError>> {
    if (this.connection?.usable === true) return ok(this.connection);
    const { spec, database, timeoutMs } = this.options;
    const access: UpstreamAccess = {
      ...this.options.access,
      connectTimeoutMs: timeoutMs,
      applicationName: CONTROL_APPLICATION,
    };
    const result = await UpstreamConnection.connect(spec, database, access);
    if (result.isOk()) this.connection = result.value;
    return result;
  }

  private createError(message: string): GladespoolError {
    const peer = `${this.spec.address}:${this.spec.port}`;
    return gladespoolError({ step: Step.UpstreamStatus, peer }, message);
  }
}
