/**
 * One exchange of a statement with an upstream: borrow a connection, set it up, send, note what was
 * seen.
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

/** A connection that was borrowed and set up. */
export interface BorrowedConnection {
  readonly lease: Lease<PreparedConnection>;
  readonly pool: UpstreamPool;
  /** Record in force when the connection was borrowed. */
  readonly record: PrimaryRecord | undefined;
}

/** An answer with the time at which its question was sent. */
export interface TimedAnswer {
  readonly answer: UpstreamAnswer;
  readonly sentAt: number;
}

/** Least time left for which an exchange is started, milliseconds. */
const LEAST_EXCHANGE_MS = 2;
/**
 * Part of an operation's target latency that a statement may wait for a connection. Longer waits
 * seldom end in time, and the caller does better to ask again elsewhere.
 */
const WAIT_SHARE = 0.6;

/** Borrows a connection and sets it up; nothing of the statement has run when that fails. */
export async function borrow(
  home: GroupHome,
  slot: UpstreamPool,
  job: Job,
  work: Work | undefined,
): Promise<Result<BorrowedConnection, RefusalReason>> {
  const { record } = home;
  const now = performance.now();
  const leftMs = job.arrivedAt + job.route.timeoutMs - now;
  const waitMs = Math.min(leftMs, job.route.targetLatencyMs * WAIT_SHARE);
  if (waitMs < LEAST_EXCHANGE_MS) return err(RefusalReason.DeadlineBeforeRun);
  const excluded = exclusionOf(home, slot.entry, job, now);
  if (excluded !== undefined) return err(excluded);
  const priority = poolPriority(job.route.priority);
  const leased = await slot.acquire(priority, now, waitMs, job.workspace);
  if (leased.isErr()) return err(leased.error);
  const lease = leased.value;
  // The wait for a connection may have outlasted the time that an evacuation leaves.
  const excludedMeanwhile = exclusionOf(home, slot.entry, job, performance.now());
  if (excludedMeanwhile !== undefined) {
    lease.release();
    return err(excludedMeanwhile);
  }
  const failed = await lease.connection.setUp(
    job.values,
    work,
    Math.max(LEAST_EXCHANGE_MS, leftMs),
  );
  if (failed === undefined) return ok({ lease, pool: slot, record });
  noteAnswer(slot, failed, performance.now(), undefined);
  lease.connection.close();
  lease.release();
  return err(RefusalReason.UpstreamUnreachable);
}

/** Sends one command on a borrowed connection and notes what the answer tells. */
export async function send(
  home: GroupHome,
  borrowed: BorrowedConnection,
  command: UpstreamCommand,
  timeoutMs: number,
): Promise<TimedAnswer> {
  const { lease, pool: slot, record } = borrowed;
  const sentAt = performance.now();
  const floor = home.primaryFloor(slot.entry.id);
  const isBehindTold = isBehind(command, home.knownPosition(record));
  slot.health.inFlight += 1;
  const told = await lease.connection.exchange(command, Math.max(LEAST_EXCHANGE_MS, timeoutMs));
  slot.health.inFlight -= 1;
  const now = performance.now();
  const answer = answerOrLoss(home, borrowed, told, floor);
  noteAnswer(slot, answer, now, now - sentAt);
  const fromPrimary = record?.primary === slot.entry.id;
  if (fromPrimary) noteLead(home, record, isBehindTold, answer, now);
  if (fromPrimary) home.recordWatermark(record, sentAt, answer, now);
  noteRun(home, borrowed, command, answer, sentAt, now);
  return { answer, sentAt };
}

/** Whether what a borrowed connection tells at `now` counts as told by the primary. */
export function isValidPrimaryAnswer(
  home: GroupHome,
  { record, pool: slot }: BorrowedConnection,
  now: number,
): boolean {
  return record !== undefined && home.isAnswerValid(record, slot.entry.id, now);
}

/**
 * Position that an upstream must hold for a read or a transaction: what its replicas have to show, or at the
 * primary all that it has told under the record. One that was deposed and has dropped commits refuses then
 * where it runs the statement, whatever the hosts believe.
 */
export function requiredPosition(
  home: GroupHome,
  { record }: BorrowedConnection,
  { after, needsAuthority }: ReadTarget,
): Position | undefined {
  return needsAuthority ? home.knownPosition(record) : after;
}

/** Whether a command runs only where all is held that the primary has `told`. */
function isBehind(command: UpstreamCommand, told: Position | undefined): boolean {
  const after = 'after' in command ? command.after : undefined;
  return after !== undefined && told !== undefined && comparePositions(after, told) === 0;
}

/** Notes if the primary of `record` shows by its answer that it leads no more. */
function noteLead(
  home: GroupHome,
  record: PrimaryRecord,
  isBehindTold: boolean,
  answer: UpstreamAnswer,
  now: number,
): void {
  if (answer.kind !== 'faulted') return;
  if (answer.fault === UpstreamFault.ReadOnly) {
    home.noteDeposed(record, DepositionEvidence.ReadOnly, now);
  }
  if (answer.fault === UpstreamFault.Lagging && isBehindTold) {
    home.noteDeposed(record, DepositionEvidence.Position, now);
  }
}

/**
 * The answer, or a loss in its place if the upstream no longer holds what it held when it was asked: what
 * it says then counts as little as silence.
 */
function answerOrLoss(
  home: GroupHome,
  { lease, pool: slot }: BorrowedConnection,
  answer: UpstreamAnswer,
  floor: Position | undefined,
): UpstreamAnswer {
  if (answer.kind === 'lost') return answer;
  if (!home.detectLogLoss(slot.entry.id, floor, answer.position)) return answer;
  lease.connection.close();
  return { kind: 'lost', loss: ConnectionLoss.Closed };
}

/** Counts and tells where a caller's statement ran, behind and at which position, under which record and proof, and its end. */
function noteRun(
  home: GroupHome,
  borrowed: BorrowedConnection,
  command: UpstreamCommand,
  answer: UpstreamAnswer,
  sentAt: number,
  now: number,
): void {
  if (!('id' in command)) return;
  const { record, pool: slot } = borrowed;
  const isPrimary = record?.primary === slot.entry.id;
  if (answer.kind === 'completed') {
    const servedBy = isPrimary ? ServedBy.Primary : ServedBy.Replica;
    home.context.metrics.statements.inc({ served_by: servedBy });
  }
  const after = 'after' in command ? command.after : undefined;
  home.context.log.info('statement-ran', {
    request: command.id,
    group: home.group,
    upstream: slot.entry.id,
    primary: isPrimary,
    epoch: record?.epoch,
    after: after && formatPosition(after),
    at: answer.kind === 'lost' ? undefined : answer.position && formatPosition(answer.position),
    end: endOf(answer),
    ms: Math.round(now - sentAt),
    proof_age_ms: isPrimary ? Math.round(now - home.context.board.latestProofAt) : undefined,
  });
}

function endOf(answer: UpstreamAnswer): string {
  switch (answer.kind) {
    case 'completed':
      return answer.kind;
    case 'faulted':
      return answer.code;
    case 'lost':
      return `lost-${answer.loss}`;
  }
}

function noteAnswer(
  slot: UpstreamPool,
  answer: UpstreamAnswer,
  now: number,
  tookMs: number | undefined,
): void {
  const { health } = slot;
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
