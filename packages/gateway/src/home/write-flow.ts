/**
 * Runs single writes: sends them once to the primary while this host holds a valid proof of authority, and confirms
 * them only if the proof is still valid when the answer arrives.
 */
import { RefusalReason, RetryReason, UpstreamFault } from '@gladespool/coordination';
import type { Outcome } from '../model/outcome.js';
import { refused } from '../model/outcome.js';
import type { UpstreamAnswer } from '../model/upstream-driver.js';
import { ConnectionLoss } from '../model/upstream-driver.js';
import { awaitAuthority } from './await-authority.js';
import type { BorrowedConnection } from './exchange.js';
import { borrow, send, isValidPrimaryAnswer } from './exchange.js';
import type { GroupHome } from './group-home.js';
import type { Job, StatementJob } from './job.js';
import { isExclusion, primaryExclusion, refuseExcluded } from './upstream-exclusion.js';

/** Maximum number of times that a write is sent; only one that did not run is sent again. */
const MAX_TRIES = 3;

/** Runs one write, including its retries. */
export async function runWrite(home: GroupHome, job: StatementJob): Promise<Outcome> {
  let last: Outcome = refused(RefusalReason.NoPrimary, home.group);
  for (let count = 0; count < MAX_TRIES; count += 1) {
    if (!(await awaitAuthority(home, job, performance.now()))) {
      return refuseWithoutAuthority(home, job);
    }
    const { record } = home;
    const pool = record === undefined ? undefined : home.pool(record.primary);
    if (pool === undefined) return last;
    const borrowed = await borrow(home, pool, job, job.work);
    if (borrowed.isErr()) return refuseWithoutConnection(home, borrowed.error);
    const outcome = await writeOnce(home, job, borrowed.value);
    if (!mayResend(outcome)) return outcome;
    last = outcome;
    home.context.metrics.retries.inc({ reason: RetryReason.LostPreparation });
  }
  return last;
}

async function writeOnce(
  home: GroupHome,
  job: StatementJob,
  borrowed: BorrowedConnection,
): Promise<Outcome> {
  const { lease } = borrowed;
  if (!isValidPrimaryAnswer(home, borrowed, performance.now())) {
    lease.release();
    return refused(RefusalReason.NoAuthority, home.group);
  }
  const command = lease.connection.commandFor(job.work, job.id, undefined);
  const leftMs = job.arrivedAt + job.route.timeoutMs - performance.now();
  const untrackWrite = home.context.holds.trackWrite(home.group);
  const { answer } = await send(home, borrowed, command, leftMs, { job });
  untrackWrite();
  if (answer.kind === 'faulted' && answer.fault === UpstreamFault.UnknownStatement) {
    lease.connection.forgetPrepared();
  }
  lease.release();
  return writeOutcome(home, borrowed, answer);
}

/** Refusal of work for which no connection to the primary was available. */
export function refuseWithoutConnection(home: GroupHome, reason: RefusalReason): Outcome {
  if (isExclusion(reason)) return { kind: 'refused', refusal: refuseExcluded(home, reason) };
  if (reason === RefusalReason.UpstreamUnreachable) return refuseWithoutPrimary(home, reason);
  return refused(reason, home.group);
}

function refuseWithoutAuthority(home: GroupHome, job: Job): Outcome {
  const excluded = primaryExclusion(home, job, performance.now());
  if (excluded === undefined) return refuseWithoutPrimary(home, RefusalReason.NoAuthority);
  return { kind: 'refused', refusal: refuseExcluded(home, excluded) };
}

function refuseWithoutPrimary(home: GroupHome, reason: RefusalReason): Outcome {
  return { kind: 'refused', refusal: home.refuseWithoutPrimary(reason, performance.now()) };
}

/** Outcome of a commit or a single write, from the answer of the primary. */
export function writeOutcome(
  home: GroupHome,
  borrowed: BorrowedConnection,
  answer: UpstreamAnswer,
): Outcome {
  if (answer.kind === 'lost') {
    const timedOut = answer.loss === ConnectionLoss.Timeout;
    return refused(timedOut ? RefusalReason.StatementTimeout : RefusalReason.UpstreamLost);
  }
  if (answer.kind === 'faulted') {
    const { fault, code, text } = answer;
    return { kind: 'faulted', fault, code, text };
  }
  const { record } = borrowed;
  if (record === undefined || !isValidPrimaryAnswer(home, borrowed, performance.now())) {
    return refused(RefusalReason.AuthorityLapsed, home.group);
  }
  const { rows, signature, position } = answer;
  const committed = position === undefined ? undefined : { epoch: record.epoch, position };
  return { kind: 'completed', rows, signature, committed };
}

/** Whether the write is sent again: only if it certainly did not run because a prepared statement was unknown. */
function mayResend(outcome: Outcome): boolean {
  return outcome.kind === 'faulted' && outcome.fault === UpstreamFault.UnknownStatement;
}
