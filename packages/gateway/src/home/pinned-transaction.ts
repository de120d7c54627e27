/**
 * A transaction on one upstream connection, from its begin to its end.
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
import { mayContinue } from './upstream-exclusion.js';
import { writeOutcome, refuseWithoutConnection } from './write-flow.js';

/** Longest time for a rollback before its connection is closed instead, milliseconds. */
const ROLLBACK_TIMEOUT_MS = 1000;
/** Told of a transaction that was ended since its upstream's zone is evacuated. */
const EVACUATED = 'zone evacuated';

/** Opens a transaction on the upstream of `target`. */
export async function openTransaction(
  home: GroupHome,
  job: BeginJob,
  target: ReadTarget,
): Promise<Result<PinnedTransaction, Outcome>> {
  const slot = home.pool(target.entry.id);
  if (slot === undefined) return err(refused(RefusalReason.NoCoveringUpstream, home.group));
  const borrowed = await borrow(home, slot, job, undefined);
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
  const current = isValidPrimaryAnswer(home, borrowed.value, performance.now());
  if (answer.kind === 'completed' && (current || !target.needsAuthority)) {
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

/** An open transaction. */
export class PinnedTransaction implements OpenTransaction, WatchedTransaction {
  private wrote = false;
  private over = false;
  /** Whether a statement is on its way. */
  private isRunning = false;
  /** Why the transaction was ended by this host; empty when the reason told says it all. */
  private endedFor = '';
  /** Ends the count of transactions that a planned change of the primary waits for. */
  private readonly leave: () => void;

  constructor(
    private readonly home: GroupHome,
    private readonly borrowed: BorrowedConnection,
    private readonly begin: BeginJob,
  ) {
    this.leave = begin.readOnly ? () => undefined : home.context.holds.trackWrite(home.group);
    home.transactions.add(this);
  }

  async run(step: StepJob): Promise<Outcome> {
    this.endIfEvacuated(performance.now());
    if (this.over) return this.lost();
    this.isRunning = true;
    const outcome = await this.runStep(step);
    this.isRunning = false;
    return outcome;
  }

  /** Ends the transaction if its zone has been evacuated for too long, but no statement that is on its way. */
  endIfEvacuated(now: number): void {
    if (!this.isRunning && !this.over && !this.mayGoOn(now)) this.evacuate();
  }

  private async runStep(step: StepJob): Promise<Outcome> {
    const { connection } = this.borrowed.lease;
    const leftMs = step.arrivedAt + this.begin.route.timeoutMs - performance.now();
    const failed = await connection.setUp(step.values, step.work, leftMs);
    if (failed !== undefined) return this.fail(refused(RefusalReason.TransactionLost));
    if (!this.mayGoOn(performance.now())) this.evacuate();
    if (this.over) return this.lost();
    if (accessOf(step.work) === Access.Write) this.wrote = true;
    const command = connection.commandFor(step.work, step.id, undefined);
    const { answer } = await send(this.home, this.borrowed, command, leftMs);
    if (answer.kind === 'completed') {
      const { rows, signature } = answer;
      return { kind: 'completed', rows, signature, committed: undefined };
    }
    if (answer.kind === 'lost') return this.fail(lostInside(answer.loss));
    const { fault, code, text } = answer;
    return this.fail({ kind: 'faulted', fault, code, text });
  }

  async commit(id: string, arrivedAt: number): Promise<Outcome> {
    this.endIfEvacuated(performance.now());
    if (this.over) return this.lost();
    if (this.wrote && !this.mayCommit()) return this.fail(refused(RefusalReason.NoAuthority));
    this.end();
    const leftMs = arrivedAt + this.begin.route.timeoutMs - performance.now();
    const { answer } = await send(this.home, this.borrowed, { kind: 'commit', id }, leftMs);
    this.leave();
    this.borrowed.lease.release();
    if (this.wrote) return writeOutcome(this.home, this.borrowed, answer);
    return unconfirmedCommit(answer);
  }

  rollback(): void {
    if (this.over) return;
    this.end();
    this.leave();
    void this.rollBackAndRelease();
  }

  /** Ends the transaction since its zone has been evacuated for too long. */
  private evacuate(): void {
    const { group, context } = this.home;
    const upstream = this.borrowed.pool.entry.id;
    context.log.info('transaction-evacuated', { request: this.begin.id, group, upstream });
    this.endedFor = EVACUATED;
    this.rollback();
  }

  private end(): void {
    this.over = true;
    this.home.transactions.delete(this);
  }

  private lost(): Outcome {
    return refused(RefusalReason.TransactionLost, this.endedFor);
  }

  private mayGoOn(now: number): boolean {
    return mayContinue(this.home, this.borrowed.pool.entry, now);
  }

  private mayCommit(): boolean {
    return isValidPrimaryAnswer(this.home, this.borrowed, performance.now());
  }

  private async rollBackAndRelease(): Promise<void> {
    const { lease } = this.borrowed;
    // A lost connection ends the transaction as well, and nothing reaches the upstream.
    if (!this.mayGoOn(performance.now())) lease.connection.close();
    if (lease.connection.usable) {
      await send(this.home, this.borrowed, { kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
    }
    lease.release();
  }

  /** Ends the transaction, which keeps nothing of it, and gives back the outcome to tell. */
  private fail(outcome: Outcome): Outcome {
    this.rollback();
    return outcome;
  }
}

/** A transaction that wrote nothing keeps nothing, whatever became of its commit. */
function unconfirmedCommit(answer: UpstreamAnswer): Outcome {
  if (answer.kind === 'lost') return refused(RefusalReason.TransactionLost);
  if (answer.kind === 'faulted') {
    const { fault, code, text } = answer;
    return { kind: 'faulted', fault, code, text };
  }
  const { rows, signature } = answer;
  return { kind: 'completed', rows, signature, committed: undefined };
}

/** A lost connection ends the transaction at the upstream as well. */
function lostInside(loss: ConnectionLoss): Outcome {
  const detail = loss === ConnectionLoss.Timeout ? 'no answer in time' : 'connection ended';
  return refused(RefusalReason.TransactionLost, detail);
}
