/**
 * Single reads: tried at one upstream after another within the statement's time.
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

/** Upstreams tried for one read at most: each of three twice. */
const MAX_TRIES = 6;
/**
 * Part of an operation's target latency that a read may wait until upstreams that were tried are worth
 * another try: those that shed it have room again, those that lagged have caught up.
 */
const PAUSE_SHARE = 0.6;
/** Part of the time left that one try may take while another could follow. */
const TRY_SHARE = 0.6;

/** Outcome of one try. */
type Try =
  | { readonly kind: 'final'; readonly outcome: Outcome }
  | { readonly kind: 'again'; readonly reason: RetryReason; readonly last: Outcome };

/** Runs one read to its outcome. */
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
    noteRetry(home, job, target.value, attempt.reason);
    last = attempt.last;
  }
  return last;
}

/**
 * Waits until an upstream that has been tried already is worth another try; asked at once it would only
 * give the same answer.
 *
 * @returns false when that is too late for the read
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
  if (avoidUntil > job.arrivedAt + job.route.targetLatencyMs * PAUSE_SHARE) return false;
  await pause(avoidUntil - now);
  return true;
}

async function tryRead(home: GroupHome, job: StatementJob, target: ReadTarget): Promise<Try> {
  const slot = home.pool(target.entry.id);
  if (slot === undefined) return again(RetryReason.ConnectFailed, RefusalReason.NoCoveringUpstream);
  const borrowed = await borrow(home, slot, job, job.work);
  if (borrowed.isErr()) return withoutConnection(home, borrowed.error, target);
  const { lease } = borrowed.value;
  // The record may have changed since the read was planned: it waits for upstreams that were tried before.
  if (target.needsAuthority && !isValidPrimaryAnswer(home, borrowed.value, performance.now())) {
    lease.release();
    return again(RetryReason.NotPrimary, RefusalReason.NoAuthority);
  }
  const after = requiredPosition(home, borrowed.value, target);
  const command = lease.connection.commandFor(job.work, job.id, after);
  const leftMs = job.arrivedAt + job.route.timeoutMs - performance.now();
  const { answer } = await send(home, borrowed.value, command, leftMs * TRY_SHARE);
  if (answer.kind === 'faulted' && answer.fault === UpstreamFault.UnknownStatement) {
    lease.connection.forgetPrepared();
  }
  lease.release();
  if (target.needsAuthority && !isValidPrimaryAnswer(home, borrowed.value, performance.now())) {
    return again(RetryReason.NotPrimary, RefusalReason.NoAuthority);
  }
  return judge(answer);
}

/** Without a connection another upstream may serve; where only the primary may, the answer is final. */
function withoutConnection(home: GroupHome, reason: Reason, target: ReadTarget): Try {
  if (target.needsAuthority) return final(refuseWithoutConnection(home, reason));
  if (isExclusion(reason)) return again(RetryReason.UpstreamExcluded, reason);
  const unreachable = reason === RefusalReason.UpstreamUnreachable;
  return again(unreachable ? RetryReason.ConnectFailed : RetryReason.UpstreamBusy, reason);
}

function judge(answer: UpstreamAnswer): Try {
  if (answer.kind === 'completed') {
    const { rows, signature } = answer;
    return final({ kind: 'completed', rows, signature, committed: undefined });
  }
  if (answer.kind === 'lost') {
    return again(RetryReason.ReadLost, RefusalReason.UpstreamLostReading);
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

function noteRetry(
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
    after: target.after && formatPosition(target.after),
  });
}

function final(outcome: Outcome): Try {
  return { kind: 'final', outcome };
}

function again(reason: RetryReason, refusal: Reason): Try {
  return { kind: 'again', reason, last: refused(refusal) };
}
