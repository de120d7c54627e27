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
import type { ReadTarget } from './read-plan.js';
import { exclusionOf } from './upstream-exclusion.js';
import type { UpstreamPool } from './upstream-pool.js';

/** A connection that has been borrowed from a pool and set up for a statement. */
export interface BorrowedConnection {
  readonly lease: Lease<PreparedConnection>;
  readonly pool: UpstreamPool;
  /** Primary record in force when the connection was borrowed. */
  readonly record: PrimaryRecord | undefined;
}

/** An answer with the local time at which its command was sent. */
export interface TimedAnswer {
  readonly answer: UpstreamAnswer;
  readonly sentAt: number;
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

/** Sends one command on a borrowed connection, and records the answer. */
export async function send(
  home: GroupHome,
  borrowed: BorrowedConnection,
  command: UpstreamCommand,
  timeoutMs: number,
): Promise<TimedAnswer> {
  const { lease, pool, record } = borrowed;
  const sentAt = performance.now();
  const floor = home.primaryFloor(pool.entry.id);
  const requiresLatest = requiresPosition(command, home.knownPosition(record));
  pool.health.inFlight += 1;
  const received = await lease.connection.exchange(command, Math.max(MIN_EXCHANGE_MS, timeoutMs));
  pool.health.inFlight -= 1;
  const now = performance.now();
  const answer = answerOrLoss(home, borrowed, received, floor);
  recordHealth(pool, answer, now, now - sentAt);
  const fromPrimary = record?.primary === pool.entry.id;
  if (fromPrimary) recordDeposition(home, record, requiresLatest, answer, now);
  if (fromPrimary) home.recordWatermark(record, sentAt, answer, now);
  recordStatement(home, borrowed, command, answer, sentAt, now);
  return { answer, sentAt };
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
  { after, needsAuthority }: ReadTarget,
): Position | undefined {
  return needsAuthority ? home.knownPosition(record) : after;
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
 * Returns the answer, or a loss in its place if the upstream no longer holds the log that it held when the
 * command was sent: its answer is then treated like a lost connection.
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
 * Counts and logs a caller's statement: the upstream, the required and the reported position, the epoch of the
 * record, the age of the proof, the result, and the time since this host learned that the upstream leaves.
 */
function recordStatement(
  home: GroupHome,
  borrowed: BorrowedConnection,
  command: UpstreamCommand,
  answer: UpstreamAnswer,
  sentAt: number,
  now: number,
): void {
  if (!('id' in command)) return;
  const { record, pool } = borrowed;
  const isPrimary = record?.primary === pool.entry.id;
  if (answer.kind === 'completed') {
    const servedBy = isPrimary ? ServedBy.Primary : ServedBy.Replica;
    home.context.metrics.statements.inc({ served_by: servedBy });
  }
  const after = 'after' in command ? command.after : undefined;
  const departure = home.context.board.departures.get(pool.entry.id);
  home.context.log.info('statement-ran', {
    request: command.id,
    group: home.group,
    upstream: pool.entry.id,
    primary: isPrimary,
    epoch: record?.epoch,
    after: after && formatPosition(after),
    at: answer.kind === 'lost' ? undefined : answer.position && formatPosition(answer.position),
    end: resultText(answer),
    ms: Math.round(now - sentAt),
    leaving_ms: departure && Math.round(sentAt - departure.learnedAt),
    proof_age_ms: isPrimary ? Math.round(now - home.context.board.latestProofAt) : undefined,
  });
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
