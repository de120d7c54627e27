/**
 * A transaction pinned to one upstream connection, from its begin to its commit or rollback.
 */
import { Access, RefusalReason } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Outcome } from '../model/outcome.js';
import { refused } from '../model/outcome.js';
import { accessOf } from '../model/statement.js';
import type { UpstreamAnswer } from '../model/upstream-driver.js';
import { ConnectionLoss } from '../model/upstream-driver.js';
import type { BorrowedConnection } from './exchange.js';
import { borrow, requiredPosition, send, isValidPrimaryAnswer } from './exchange.js';
import type { GroupHome, WatchedTransaction } from './group-home.js';
import type { BeginJob, OpenTransaction, StepJob } from './job.js';
import type { ReadTarget } from './read-plan.js';
import { exclusionOf, mayContinue, refuseExcluded } from './upstream-exclusion.js';
import { writeOutcome, refuseWithoutConnection } from './write-flow.js';

/** Timeout of a rollback, milliseconds; after it the connection is closed instead. */
const ROLLBACK_TIMEOUT_MS = 1000;
/** Detail of the refusal after a transaction was ended because the zone of its upstream is evacuated. */
const EVACUATED = 'zone evacuated';

/** Begins a transaction on the upstream of `target`. */
export async function openTransaction(
  home: GroupHome,
  job: BeginJob,
  target: ReadTarget,
): Promise<Result<PinnedTransaction, Outcome>> {
  const pool = home.pool(target.entry.id);
  if (pool === undefined) return err(refused(RefusalReason.NoCoveringUpstream, home.group));
  const borrowed = await borrow(home, pool, job, undefined);
  if (borrowed.isErr()) {
    const outcome = target.needsAuthority
      ? refuseWithoutConnection(home, borrowed.error)
      : refused(borrowed.error, home.group);
    return err(outcome);
  }
  const { lease } = borrowed.value;
  const after = requiredPosition(home, borrowed.value, target);
  const leftMs = job.arrivedAt + job.route.timeoutMs - performance.now();
  const begin = { kind: 'begin', readOnly: job.readOnly, after } as const;
  const { answer } = await send(home, borrowed.value, begin, leftMs);
  const isValid = isValidPrimaryAnswer(home, borrowed.value, performance.now());
  if (answer.kind === 'completed' && (isValid || !target.needsAuthority)) {
    return ok(new PinnedTransaction(home, borrowed.value, job));
  }
  if (answer.kind === 'completed') lease.connection.close();
  lease.release();
  return err(beginFailure(answer));
}

function beginFailure(answer: UpstreamAnswer): Outcome {
  if (answer.kind === 'lost') return refused(RefusalReason.UpstreamUnreachable);
  if (answer.kind === 'completed') return refused(RefusalReason.NoAuthority);
  const { fault, code, text } = answer;
  return { kind: 'faulted', fault, code, text };
}

/** An open transaction on a connection of this host. */
export class PinnedTransaction implements OpenTransaction, WatchedTransaction {
  private hasWritten = false;
  /** Whether a statement of the transaction was sent. */
  private hasRun = false;
  private isEnded = false;
  /** Whether a statement is running. */
  private isRunning = false;
  /** Detail for the refusal if this host ended the transaction; empty if the refusal's reason suffices. */
  private endDetail = '';
  /** Removes this transaction from those that a planned change of the primary waits for. */
  private readonly untrackWrite: () => void;

  constructor(
    private readonly home: GroupHome,
    private readonly borrowed: BorrowedConnection,
    private readonly begin: BeginJob,
  ) {
    this.untrackWrite = begin.readOnly
      ? () => undefined
      : home.context.holds.trackWrite(home.group);
    home.transactions.add(this);
  }

  async run(step: StepJob): Promise<Outcome> {
    this.endIfEvacuated(performance.now());
    if (this.isEnded) return this.refuseLost();
    this.isRunning = true;
    const outcome = await this.runStep(step);
    this.isRunning = false;
    return outcome;
  }

  /** Ends the transaction, unless a statement is running, if its zone is past the grace time of the evacuation. */
  endIfEvacuated(now: number): void {
    if (!this.isRunning && !this.isEnded && !this.mayContinue(now)) this.evacuate();
  }

  private async runStep(step: StepJob): Promise<Outcome> {
    const { connection } = this.borrowed.lease;
    const excluded = this.refuseFirst(performance.now());
    if (excluded !== undefined) return excluded;
    const leftMs = step.arrivedAt + this.begin.route.timeoutMs - performance.now();
    const failed = await connection.setUp(step.values, step.work, leftMs);
    if (failed !== undefined) return this.fail(refused(RefusalReason.TransactionLost));
    if (!this.mayContinue(performance.now())) this.evacuate();
    if (this.isEnded) return this.refuseLost();
    const excludedMeanwhile = this.refuseFirst(performance.now());
    if (excludedMeanwhile !== undefined) return excludedMeanwhile;
    this.hasRun = true;
    if (accessOf(step.work) === Access.Write) this.hasWritten = true;
    const command = connection.commandFor(step.work, step.id, undefined);
    const { answer } = await send(this.home, this.borrowed, command, leftMs);
    if (answer.kind === 'completed') {
      const { rows, signature } = answer;
      return { kind: 'completed', rows, signature, committed: undefined };
    }
    if (answer.kind === 'lost') return this.fail(lostStatementOutcome(answer.loss));
    const { fault, code, text } = answer;
    return this.fail({ kind: 'faulted', fault, code, text });
  }

  /** Refuses the first statement if its upstream receives no new work at `now`; later statements continue. */
  private refuseFirst(now: number): Outcome | undefined {
    if (this.hasRun) return undefined;
    const excluded = exclusionOf(this.home, this.borrowed.pool.entry, this.begin, now);
    if (excluded === undefined) return undefined;
    return this.fail({ kind: 'refused', refusal: refuseExcluded(this.home, excluded) });
  }

  async commit(id: string, arrivedAt: number): Promise<Outcome> {
    this.endIfEvacuated(performance.now());
    if (this.isEnded) return this.refuseLost();
    if (this.hasWritten && !this.mayCommit()) return this.fail(refused(RefusalReason.NoAuthority));
    this.markEnded();
    const leftMs = arrivedAt + this.begin.route.timeoutMs - performance.now();
    const { answer } = await send(this.home, this.borrowed, { kind: 'commit', id }, leftMs);
    this.untrackWrite();
    this.borrowed.lease.release();
    if (this.hasWritten) return writeOutcome(this.home, this.borrowed, answer);
    return readOnlyCommitOutcome(answer);
  }

  rollback(): void {
    if (this.isEnded) return;
    this.markEnded();
    this.untrackWrite();
    void this.rollBackAndRelease();
  }

  /** Ends the transaction because its zone is past the grace time of the evacuation. */
  private evacuate(): void {
    const { group, context } = this.home;
    const upstream = this.borrowed.pool.entry.id;
    context.log.info('transaction-evacuated', { request: this.begin.id, group, upstream });
    this.endDetail = EVACUATED;
    this.rollback();
  }

  private markEnded(): void {
    this.isEnded = true;
    this.home.transactions.delete(this);
  }

  private refuseLost(): Outcome {
    return refused(RefusalReason.TransactionLost, this.endDetail);
  }

  private mayContinue(now: number): boolean {
    return mayContinue(this.home, this.borrowed.pool.entry, now);
  }

  private mayCommit(): boolean {
    return isValidPrimaryAnswer(this.home, this.borrowed, performance.now());
  }

  private async rollBackAndRelease(): Promise<void> {
    const { lease } = this.borrowed;
    // Closing the connection also ends the transaction, and sends nothing to an upstream of the evacuated zone.
    if (!this.mayContinue(performance.now())) lease.connection.close();
    if (lease.connection.usable) {
      await send(this.home, this.borrowed, { kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
    }
    lease.release();
  }

  /** Rolls the transaction back and returns the outcome for the caller. */
  private fail(outcome: Outcome): Outcome {
    this.rollback();
    return outcome;
  }
}

/** Outcome of the commit of a transaction that wrote nothing; if the answer is lost, nothing is in doubt. */
function readOnlyCommitOutcome(answer: UpstreamAnswer): Outcome {
  if (answer.kind === 'lost') return refused(RefusalReason.TransactionLost);
  if (answer.kind === 'faulted') {
    const { fault, code, text } = answer;
    return { kind: 'faulted', fault, code, text };
  }
  const { rows, signature } = answer;
  return { kind: 'completed', rows, signature, committed: undefined };
}

/** Outcome of a statement whose connection was lost, which also ends the transaction on the upstream. */
function lostStatementOutcome(loss: ConnectionLoss): Outcome {
  const detail = loss === ConnectionLoss.Timeout ? 'no answer in time' : 'connection ended';
  return refused(RefusalReason.TransactionLost, detail);
}
