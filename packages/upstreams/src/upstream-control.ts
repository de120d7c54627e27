/**
 * The control connection of a home to one upstream: status, fence, promote and follow statements,
 * apart from the budget that requests share. Status queries that coincide share one answer.
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

/** Application name of control connections, which the budget of request connections leaves out. */
export const CONTROL_APPLICATION = 'gladespool-control';

/** Outcome of a control statement. */
export type ControlResult = Result<TimedReport, GladespoolError>;

/** Options of a control connection. */
export interface UpstreamControlOptions {
  readonly spec: UpstreamSpec;
  readonly database: string;
  readonly access: UpstreamAccess;
  /** Longest wait for an answer, milliseconds. */
  readonly timeoutMs: number;
  /** Sees the outcome of each statement once, however many wait for it. */
  readonly onResult: (result: ControlResult) => void;
  /** Counts bytes sent and received. */
  readonly onBytes: (bytes: number) => void;
}

interface Job {
  readonly sql: string;
  readonly waiters: ((result: ControlResult) => void)[];
}

/** Serial control connection. */
export class UpstreamControl {
  private connection: UpstreamConnection | undefined;
  private readonly jobs: Job[] = [];
  private running = false;
  private closed = false;

  constructor(private readonly options: UpstreamControlOptions) {}

  get spec(): UpstreamSpec {
    return this.options.spec;
  }

  /** Asks for a status that is sent after this call; callers that wait already share it. */
  status(): Promise<ControlResult> {
    return this.run(STATUS_SQL);
  }

  /** Runs a control statement that answers with a status row. */
  run(sql: string): Promise<ControlResult> {
    return new Promise((resolve) => {
      const queued = this.jobs.find((job) => job.sql === sql);
      if (queued === undefined) this.jobs.push({ sql, waiters: [resolve] });
      else queued.waiters.push(resolve);
      if (!this.running) void this.drain();
    });
  }

  /** Closes the connection; later statements connect anew. */
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
    if (this.closed) return err(this.fail('control connection is closed'));
    const connection = await this.connected();
    if (connection.isErr()) return err(connection.error);
    const bytesBefore = connection.value.bytes;
    const sentAt = performance.now();
    const { timeoutMs } = this.options;
    const answer = await connection.value.exchange(serialize.query(sql), 1, timeoutMs);
    this.options.onBytes(connection.value.bytes - bytesBefore);
    if (answer.isErr()) return err(this.fail(`no answer to a control statement: ${answer.error}`));
    const [segment] = answer.value;
    if (segment === undefined) return err(this.fail('empty answer'));
    return this.read(segment, sentAt);
  }

  private read(segment: AnswerSegment, sentAt: number): ControlResult {
    const state = errorStateOf(segment);
    if (state !== undefined) return err(this.fail(`control statement refused with ${state}`));
    const report = decodeStatus(this.spec.id, firstRowOf(segment)?.[0] ?? '');
    if (report.isErr()) return err(this.fail(`status is not valid: ${report.error}`));
    return ok({ report: report.value, sentAt, at: performance.now() });
  }

  private async connected(): Promise<Result<UpstreamConnection, GladespoolError>> {
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

  private fail(message: string): GladespoolError {
    const peer = `${this.spec.address}:${this.spec.port}`;
    return gladespoolError({ step: Step.UpstreamStatus, peer }, message);
  }
}
