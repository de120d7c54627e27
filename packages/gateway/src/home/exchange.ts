/**
 * One exchange with an upstream: borrows a connection, sets it up, sends a command, and records what the answer
 * shows of the upstream's health, role and log position.
 */
import type { Position, PrimaryRecord } from '@gladespool/coordination';
import {
  comparePositions,
  formatPosition,
  RefusalReason,
  UpstreamFault,
} from '@gladespool/coordination';
import type { LogFields } from '@gladespool/observability';
import { DepositionEvidence, ServedBy } from '@gladespool/observability';
import type { Lease } from '@gladespool/pool';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Work } from '../model/statement.js';
import type { UpstreamAnswer, UpstreamCommand } from '../model/upstream-driver.js';
import { ConnectionLoss } from '../model/upstream-driver.js';
import type { GroupHome } from './group-home.js';
import { poolPriority } from './group-home.js';
import type { Job } from './job.js';
import type { PreparedConnection } from './prepared-connection.js';
import type { ReadBound, ReadTarget } from './read-plan.js';
import { exclusionOf } from './upstream-exclusion.js';
import type { UpstreamPool } from './upstream-pool.js';

/** A connection that has been borrowed from a pool and set up for a statement. */
export interface BorrowedConnection {
  readonly lease: Lease<PreparedConnection>;
  readonly pool: UpstreamPool;
  /** Primary record in force when the connection was borrowed. */
  readonly record: PrimaryRecord | undefined;
  /** The sending of the begin of its open transaction; missing if none is open. */
  readonly begin?: Sending;
}

/** What was known when a command was sent. */
export interface Sending {
  /** Local time at which it was sent. */
  readonly sentAt: number;
  /** Lower bound of the upstream's log position; undefined if none is known. */
  readonly floor: Position | undefined;
}

/** What the log tells of a caller's statement besides its exchange. */
export interface StatementTrace {
  readonly job: Job;
  /** Lower bound of a read; missing if only the primary may serve it. */
  readonly bound?: ReadBound | undefined;
  /** Id of the statement with which the transaction begins, where the command is its begin. */
  readonly begins?: string;
}

/** Times of one exchange, local milliseconds. */
interface ExchangeTimes {
  readonly sentAt: number;
  readonly answeredAt: number;
  /** Time of the proof that was held when the command was sent. */
  readonly provedAt: number;
}

/** An answer with the sending of its command. */
export interface SentAnswer {
  readonly answer: UpstreamAnswer;
  readonly sending: Sending;
}

/** Minimum remaining time for which an exchange is started, milliseconds. */
const MIN_EXCHANGE_MS = 2;
/**
 * Share of an operation's target latency that a statement may wait for a connection. Longer waits rarely end in
 * time, and a retry on another host serves the caller better.
 */
const MAX_WAIT_SHARE = 0.6;

/** Borrows a connection and sets it up; if that fails, no part of the statement has run. */
export async function borrow(
  home: GroupHome,
  pool: UpstreamPool,
  job: Job,
  work: Work | undefined,
): Promise<Result<BorrowedConnection, RefusalReason>> {
  const { record } = home;
  const now = performance.now();
  const leftMs = job.arrivedAt + job.route.timeoutMs - now;
  const waitMs = Math.min(leftMs, job.route.targetLatencyMs * MAX_WAIT_SHARE);
  if (waitMs < MIN_EXCHANGE_MS) return err(RefusalReason.DeadlineBeforeRun);
  const excluded = exclusionOf(home, pool.entry, job, now);
  if (excluded !== undefined) return err(excluded);
  const priority = poolPriority(job.route.priority);
  const leased = await pool.acquire(priority, now, waitMs, job.workspace);
  if (leased.isErr()) return err(leased.error);
  const lease = leased.value;
  // The upstream may have been excluded while the statement waited for a connection.
  const excludedMeanwhile = exclusionOf(home, pool.entry, job, performance.now());
  if (excludedMeanwhile !== undefined) {
    lease.release();
    return err(excludedMeanwhile);
  }
  const failed = await lease.connection.setUp(job.values, work, Math.max(MIN_EXCHANGE_MS, leftMs));
  if (failed !== undefined) {
    recordHealth(pool, failed, performance.now(), undefined);
    lease.connection.close();
    lease.release();
    return err(RefusalReason.UpstreamUnreachable);
  }
  const excludedSinceSetUp = exclusionOf(home, pool.entry, job, performance.now());
  if (excludedSinceSetUp === undefined) return ok({ lease, pool, record });
  lease.release();
  return err(excludedSinceSetUp);
}

/** Sends one command on a borrowed connection, and records the answer; logs it if it has a `trace`. */
export async function send(
  home: GroupHome,
  borrowed: BorrowedConnection,
  command: UpstreamCommand,
  timeoutMs: number,
  trace?: StatementTrace,
): Promise<SentAnswer> {
  const { lease, pool, record } = borrowed;
  const sentAt = performance.now();
  const provedAt = home.context.board.latestProofAt;
  const sending = { sentAt, floor: home.primaryFloor(pool.entry.id) };
  const requiresLatest = requiresPosition(command, home.knownPosition(record));
  pool.health.inFlight += 1;
  const received = await lease.connection.exchange(command, Math.max(MIN_EXCHANGE_MS, timeoutMs));
  pool.health.inFlight -= 1;
  const now = performance.now();
  const positionSending = sendingOfPosition(borrowed, command, received, sending);
  const answer = answerOrLoss(home, borrowed, received, positionSending.floor);
  recordHealth(pool, answer, now, now - sentAt);
  const fromPrimary = record?.primary === pool.entry.id;
  if (fromPrimary) recordDeposition(home, record, requiresLatest, answer, now);
  if (fromPrimary) home.recordWatermark(record, positionSending.sentAt, answer, now);
  const times = { sentAt, answeredAt: now, provedAt };
  if (trace !== undefined) recordStatement(home, borrowed, command, answer, times, trace);
  return { answer, sending };
}

/**
 * The sending since which the position in an answer is certainly not outdated: an upstream may report the position of
 * an open transaction's snapshot, which is as old as its begin. Only the primary has a floor, whichever it was then.
 */
function sendingOfPosition(
  { begin }: BorrowedConnection,
  command: UpstreamCommand,
  answer: UpstreamAnswer,
  sending: Sending,
): Sending {
  const isEnd = command.kind === 'commit' || command.kind === 'rollback';
  if (begin === undefined || (isEnd && answer.kind === 'completed')) return sending;
  return { sentAt: begin.sentAt, floor: sending.floor && begin.floor };
}

/** Whether an answer that arrives on a borrowed connection at `now` counts as an answer of the primary. */
export function isValidPrimaryAnswer(
  home: GroupHome,
  { record, pool }: BorrowedConnection,
  now: number,
): boolean {
  return record !== undefined && home.isAnswerValid(record, pool.entry.id, now);
}

/**
 * Log position that an upstream must hold for a read or a transaction: the highest position that the primary has
 * reported under the record if the target needs the primary, else the position that the read requires. On this
 * condition an upstream that was deposed and has dropped commits refuses the statement itself, even if the hosts
 * still take it for the primary.
 */
export function requiredPosition(
  home: GroupHome,
  { record }: BorrowedConnection,
  { bound, needsAuthority }: ReadTarget,
): Position | undefined {
  return needsAuthority ? home.knownPosition(record) : bound?.after;
}

/** Whether a command requires the position `reported`, the highest that the primary has reported. */
function requiresPosition(command: UpstreamCommand, reported: Position | undefined): boolean {
  const after = 'after' in command ? command.after : undefined;
  return after !== undefined && reported !== undefined && comparePositions(after, reported) === 0;
}

/** Records that the primary of `record` is deposed, if its answer shows so. */
function recordDeposition(
  home: GroupHome,
  record: PrimaryRecord,
  requiresLatest: boolean,
  answer: UpstreamAnswer,
  now: number,
): void {
  if (answer.kind !== 'faulted') return;
  if (answer.fault === UpstreamFault.ReadOnly) {
    home.noteDeposed(record, DepositionEvidence.ReadOnly, now);
  }
  if (answer.fault === UpstreamFault.Lagging && requiresLatest) {
    home.noteDeposed(record, DepositionEvidence.Position, now);
  }
}

/**
 * Returns the answer, or a loss in its place if its position is below `floor`, so that the upstream no longer holds the
 * log that it held before: its answer is then treated like a lost connection.
 */
function answerOrLoss(
  home: GroupHome,
  { lease, pool }: BorrowedConnection,
  answer: UpstreamAnswer,
  floor: Position | undefined,
): UpstreamAnswer {
  if (answer.kind === 'lost') return answer;
  if (!home.detectLogLoss(pool.entry.id, floor, answer.position)) return answer;
  lease.connection.close();
  return { kind: 'lost', loss: ConnectionLoss.Closed };
}

/**
 * Counts and logs a caller's statement: the upstream, the required and the reported position and where the required
 * one comes from, the epoch of the record, the age of the proof at the sending and at the answer, the result, and the
 * time since this host learned that the upstream leaves.
 */
function recordStatement(
  home: GroupHome,
  borrowed: BorrowedConnection,
  command: UpstreamCommand,
  answer: UpstreamAnswer,
  times: ExchangeTimes,
  trace: StatementTrace,
): void {
  const { record, pool } = borrowed;
  const { sentAt, answeredAt } = times;
  const isPrimary = record?.primary === pool.entry.id;
  const isStatement = 'id' in command;
  if (answer.kind === 'completed' && isStatement) {
    const servedBy = isPrimary ? ServedBy.Primary : ServedBy.Replica;
    home.context.metrics.statements.inc({ served_by: servedBy });
  }
  const after = 'after' in command ? command.after : undefined;
  const departure = home.context.board.departures.get(pool.entry.id);
  home.context.log.info(isStatement ? 'statement-ran' : 'transaction-began', {
    request: isStatement ? command.id : trace.begins,
    group: home.group,
    upstream: pool.entry.id,
    primary: isPrimary,
    epoch: record?.epoch,
    after: after && formatPosition(after),
    at: answer.kind === 'lost' ? undefined : answer.position && formatPosition(answer.position),
    end: resultText(answer),
    ms: Math.round(answeredAt - sentAt),
    began_ms: Math.round(sentAt - trace.job.beganAt),
    leaving_ms: departure && Math.round(sentAt - departure.learnedAt),
    ...boundFields(trace, sentAt),
    proof_sent_ms: isPrimary ? Math.round(sentAt - times.provedAt) : undefined,
    proof_age_ms: isPrimary ? Math.round(answeredAt - home.context.board.latestProofAt) : undefined,
  });
}

/** Where the lower bound of a read comes from; the age is that of the watermark when the read was sent. */
function boundFields({ bound, job: { own } }: StatementTrace, sentAt: number): LogFields {
  if (bound === undefined) return {};
  const { watermark, epoch } = bound;
  return {
    mark: formatPosition(watermark.position),
    mark_age_ms: Math.round(sentAt - watermark.sentAt),
    mark_epoch: epoch,
    mark_from: watermark.takenBy,
    own: own && `${own.epoch}:${formatPosition(own.position)}`,
  };
}

function resultText(answer: UpstreamAnswer): string {
  switch (answer.kind) {
    case 'completed':
      return answer.kind;
    case 'faulted':
      return answer.code;
    case 'lost':
      return `lost-${answer.loss}`;
  }
}

function recordHealth(
  pool: UpstreamPool,
  answer: UpstreamAnswer,
  now: number,
  tookMs: number | undefined,
): void {
  const { health } = pool;
  if (answer.kind === 'lost') {
    health.noteFailure(now, now - (tookMs ?? 0));
    return;
  }
  if (answer.kind === 'completed' && tookMs !== undefined) health.noteAnswer(now, tookMs);
  else health.noteAlive(now);
  if (answer.kind !== 'faulted') return;
  if (answer.fault === UpstreamFault.Lagging) health.noteLagging(now);
  if (answer.fault === UpstreamFault.Busy) health.noteBusy(now);
}
