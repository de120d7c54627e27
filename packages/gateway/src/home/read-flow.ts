/**
 * Runs single reads: tries one upstream after another until the statement's deadline.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { RefusalReason as Reason, UpstreamId } from '@gladespool/coordination';
import {
  formatPosition,
  RefusalReason,
  RetryReason,
  UpstreamFault,
} from '@gladespool/coordination';
import type { Outcome } from '../model/outcome.js';
import { refused } from '../model/outcome.js';
import type { UpstreamAnswer } from '../model/upstream-driver.js';
import { borrow, requiredPosition, send, isValidPrimaryAnswer } from './exchange.js';
import type { GroupHome } from './group-home.js';
import type { StatementJob } from './job.js';
import { awaitAuthority } from './await-authority.js';
import type { ReadTarget } from './read-plan.js';
import { planRead } from './read-plan.js';
import { isExclusion } from './upstream-exclusion.js';
import { refuseWithoutConnection } from './write-flow.js';

/** Maximum number of tries of one read: two on each of three upstreams. */
const MAX_TRIES = 6;
/**
 * Share of an operation's target latency that a read may wait until upstreams that it has tried are worth a retry:
 * those that shed it have capacity again, and those that lagged have caught up.
 */
const MAX_PAUSE_SHARE = 0.6;
/** Share of the remaining time that one try may take, so that time is left for another. */
const MAX_TRY_SHARE = 0.6;

/** Result of one try. */
type Try =
  | { readonly kind: 'final'; readonly outcome: Outcome }
  | { readonly kind: 'again'; readonly reason: RetryReason; readonly last: Outcome };

/** Runs one read, including its retries. */
export async function runRead(home: GroupHome, job: StatementJob): Promise<Outcome> {
  const tried = new Set<UpstreamId>();
  let last: Outcome = refused(RefusalReason.NoCoveringUpstream, home.group);
  for (let count = 0; count < MAX_TRIES; count += 1) {
    const now = performance.now();
    if (now >= job.arrivedAt + job.route.timeoutMs) return last;
    const target = planRead(home, job, tried, now);
    if (target.isErr()) {
      last = { kind: 'refused', refusal: target.error };
      if (!(await awaitAuthority(home, job, now))) return last;
      continue;
    }
    if (!(await awaitRecovery(home, job, target.value, tried, now))) return last;
    const attempt = await tryRead(home, job, target.value);
    if (attempt.kind === 'final') return attempt.outcome;
    tried.add(target.value.entry.id);
    recordRetry(home, job, target.value, attempt.reason);
    last = attempt.last;
  }
  return last;
}

/**
 * Waits until an upstream that has been tried already is no longer avoided; an immediate retry would only get the
 * same answer.
 *
 * @returns false if that is too late for the read
 */
async function awaitRecovery(
  home: GroupHome,
  job: StatementJob,
  { entry }: ReadTarget,
  tried: ReadonlySet<UpstreamId>,
  now: number,
): Promise<boolean> {
  const avoidUntil = home.pool(entry.id)?.health.avoidUntil ?? now;
  if (!tried.has(entry.id) || avoidUntil <= now) return true;
  if (avoidUntil > job.arrivedAt + job.route.targetLatencyMs * MAX_PAUSE_SHARE) return false;
  await pause(avoidUntil - now);
  return true;
}

async function tryRead(home: GroupHome, job: StatementJob, target: ReadTarget): Promise<Try> {
  const pool = home.pool(target.entry.id);
  if (pool === undefined) return retry(RetryReason.ConnectFailed, RefusalReason.NoCoveringUpstream);
  const borrowed = await borrow(home, pool, job, job.work);
  if (borrowed.isErr()) return resultWithoutConnection(home, borrowed.error, target);
  const { lease } = borrowed.value;
  // The record may have changed since the read was planned, as the read may have waited for a recovery before.
  if (target.needsAuthority && !isValidPrimaryAnswer(home, borrowed.value, performance.now())) {
    lease.release();
    return retry(RetryReason.NotPrimary, RefusalReason.NoAuthority);
  }
  const after = requiredPosition(home, borrowed.value, target);
  const command = lease.connection.commandFor(job.work, job.id, after);
  const leftMs = job.arrivedAt + job.route.timeoutMs - performance.now();
  const trace = { job, bound: target.bound };
  const { answer } = await send(home, borrowed.value, command, leftMs * MAX_TRY_SHARE, trace);
  if (answer.kind === 'faulted' && answer.fault === UpstreamFault.UnknownStatement) {
    lease.connection.forgetPrepared();
  }
  lease.release();
  if (target.needsAuthority && !isValidPrimaryAnswer(home, borrowed.value, performance.now())) {
    return retry(RetryReason.NotPrimary, RefusalReason.NoAuthority);
  }
  return resultOf(answer);
}

/**
 * Result of a try that got no connection: retried on another upstream, unless only the primary may serve the read.
 */
function resultWithoutConnection(home: GroupHome, reason: Reason, target: ReadTarget): Try {
  if (target.needsAuthority) return final(refuseWithoutConnection(home, reason));
  if (isExclusion(reason)) return retry(RetryReason.UpstreamExcluded, reason);
  const unreachable = reason === RefusalReason.UpstreamUnreachable;
  return retry(unreachable ? RetryReason.ConnectFailed : RetryReason.UpstreamBusy, reason);
}

function resultOf(answer: UpstreamAnswer): Try {
  if (answer.kind === 'completed') {
    const { rows, signature } = answer;
    return final({ kind: 'completed', rows, signature, committed: undefined });
  }
  if (answer.kind === 'lost') {
    return retry(RetryReason.ReadLost, RefusalReason.UpstreamLostReading);
  }
  const { fault, code, text } = answer;
  const last: Outcome = { kind: 'faulted', fault, code, text };
  if (fault === UpstreamFault.Other) return final(last);
  return { kind: 'again', reason: retryReasonOf(fault), last };
}

function retryReasonOf(fault: UpstreamFault): RetryReason {
  switch (fault) {
    case UpstreamFault.Busy:
    case UpstreamFault.Overloaded:
      return RetryReason.UpstreamBusy;
    case UpstreamFault.Lagging:
      return RetryReason.StaleReplica;
    case UpstreamFault.UnknownStatement:
      return RetryReason.LostPreparation;
    case UpstreamFault.ReadOnly:
      return RetryReason.ReadOnlyUpstream;
    default:
      return RetryReason.ReadLost;
  }
}

function recordRetry(
  home: GroupHome,
  job: StatementJob,
  target: ReadTarget,
  reason: RetryReason,
): void {
  const { metrics, log } = home.context;
  metrics.retries.inc({ reason });
  log.info('read-tried-again', {
    request: job.id,
    group: home.group,
    upstream: target.entry.id,
    reason,
    after: target.bound && formatPosition(target.bound.after),
  });
}

function final(outcome: Outcome): Try {
  return { kind: 'final', outcome };
}

function retry(reason: RetryReason, refusal: Reason): Try {
  return { kind: 'again', reason, last: refused(refusal) };
}
