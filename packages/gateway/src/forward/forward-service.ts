/**
 * Runs the statements that other hosts forward on this host's own upstream connections, and rolls back their
 * transactions when the link to them is lost. Before the host stops, ends this work gracefully.
 */
import { randomInt } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import { RefusalReason } from '@gladespool/coordination';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { ForwardOperation, FrameKind, TimeLimit } from '@gladespool/protocol';
import type { DrainTimes } from '../entry/caller-server.js';
import type { GatewayBoard } from '../knowledge/board.js';
import type { Executor, OpenTransaction, StepJob } from '../home/job.js';
import type { Outcome } from '../model/outcome.js';
import { refused } from '../model/outcome.js';
import type { Work } from '../model/statement.js';
import { decodeJob, decodeStep, decodeWork, encodeReply } from './forward-frames.js';

type ForwardRequest = FrameOf<FrameKind.ForwardRequest>;

interface HeldTransaction {
  readonly link: PeerLink;
  readonly transaction: OpenTransaction;
  /** Whether a statement is running. */
  isRunning: boolean;
  /** Rolls the transaction back when it has been idle for too long. */
  idleLimit: TimeLimit | undefined;
}

/** Idle timeout of transactions before a configuration is known, milliseconds. */
const DEFAULT_IDLE_MS = 3000;
/**
 * Added to the idle timeout of transactions, milliseconds, so that the caller's host ends an idle transaction first,
 * unless the link is dead and its rollback cannot arrive.
 */
const IDLE_SLACK_MS = 1000;
/**
 * Upper limit of the first handle that a process issues. The first handle is random: a host that still holds a handle
 * from before a restart of this host must not reach a transaction that another caller has opened since.
 */
const MAX_FIRST_HANDLE = 2 ** 47;
/** Interval at which a drain checks whether all work has ended, milliseconds. */
const POLL_MS = 20;

/** Outcome of a request, with the handle of the transaction that it opened, or 0. */
interface ServeResult {
  readonly handle: number;
  readonly outcome: Outcome | undefined;
}

/** Server side of forwarding. */
export class ForwardService implements PeerHandler {
  private readonly held = new Map<number, HeldTransaction>();
  private nextHandle = randomInt(1, MAX_FIRST_HANDLE);
  /** Number of requests without a reply so far. */
  private running = 0;
  /** Whether new work is refused, since the host is about to stop. */
  private isDraining = false;
  /** Whether transactions are ended as soon as no statement of theirs is running. */
  private endsTransactions = false;

  constructor(
    private readonly executor: Executor,
    private readonly board: GatewayBoard,
  ) {}

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.ForwardRequest) void this.answer(link, frame);
    if (frame.kind !== FrameKind.ForwardRollback) return;
    if (this.find(link, frame.transaction) !== undefined) this.rollBack(frame.transaction);
  }

  onLost(link: PeerLink): void {
    for (const [handle, held] of this.held) if (held.link === link) this.rollBack(handle);
  }

  /**
   * Ends the work of other hosts, which have to run new work elsewhere from now on. The deadlines of `times` count
   * from `startedAt`.
   */
  async drain(times: DrainTimes, startedAt: number): Promise<void> {
    this.isDraining = true;
    await this.waitUntilIdle(startedAt + times.transactionsMs);
    this.endsTransactions = true;
    for (const [handle, held] of this.held) if (!held.isRunning) this.rollBack(handle);
    await this.waitUntilIdle(startedAt + times.statementsMs);
  }

  private async waitUntilIdle(deadline: number): Promise<void> {
    const isBusy = (): boolean => this.running > 0 || this.held.size > 0;
    while (isBusy() && performance.now() < deadline) await pause(POLL_MS);
  }

  private async answer(link: PeerLink, frame: ForwardRequest): Promise<void> {
    this.running += 1;
    const { handle, outcome } = await this.serve(link, frame, performance.now());
    this.running -= 1;
    const sent = link.send(encodeReply(frame.id, handle, outcome));
    if (!sent && handle !== 0) this.rollBack(handle);
  }

  private async serve(link: PeerLink, frame: ForwardRequest, now: number): Promise<ServeResult> {
    const work = decodeWork(frame.work);
    switch (frame.operation) {
      case ForwardOperation.Run:
        if (frame.route === undefined || work === undefined) return incompleteRequest();
        if (this.isDraining) return served(refused(RefusalReason.Draining));
        return served(await this.executor.run({ ...decodeJob(frame, frame.route, now), work }));
      case ForwardOperation.Begin:
        return this.begin(link, frame, work, now);
      case ForwardOperation.Step:
        if (work === undefined) return incompleteRequest();
        return served(await this.step(link, frame.transaction, decodeStep(frame, work, now)));
      case ForwardOperation.Commit: {
        const held = this.find(link, frame.transaction);
        if (held === undefined) return served(refused(RefusalReason.TransactionLost));
        held.idleLimit?.clear();
        this.held.delete(frame.transaction);
        return served(await held.transaction.commit(frame.request, now - frame.arrivedMs));
      }
    }
  }

  /** Opens a transaction and runs the statement that the request contains, if any. */
  private async begin(
    link: PeerLink,
    frame: ForwardRequest,
    first: Work | undefined,
    now: number,
  ): Promise<ServeResult> {
    if (frame.route === undefined) return incompleteRequest();
    if (this.isDraining) return served(refused(RefusalReason.Draining));
    const job = { ...decodeJob(frame, frame.route, now), readOnly: frame.readOnly };
    const opened = await this.executor.begin(job);
    if (opened.isErr()) return served(opened.error);
    const handle = this.nextHandle;
    this.nextHandle += 1;
    const held = { link, transaction: opened.value, isRunning: false, idleLimit: undefined };
    this.held.set(handle, held);
    this.startIdleLimit(handle, held);
    if (!link.ready || this.endsTransactions) this.rollBack(handle);
    if (first === undefined) return { handle, outcome: undefined };
    return { handle, outcome: await this.step(link, handle, decodeStep(frame, first, now)) };
  }

  /** The transaction with a handle, if the host at the other end of `link` has opened it. */
  private find(link: PeerLink, handle: number): HeldTransaction | undefined {
    const held = this.held.get(handle);
    return held?.link.host === link.host ? held : undefined;
  }

  /** Runs one statement of an open transaction. */
  private async step(link: PeerLink, handle: number, step: StepJob): Promise<Outcome> {
    const held = this.find(link, handle);
    if (held === undefined) return refused(RefusalReason.TransactionLost);
    held.idleLimit?.clear();
    held.isRunning = true;
    const outcome = await held.transaction.run(step);
    held.isRunning = false;
    if (outcome.kind !== 'completed') this.held.delete(handle);
    else if (this.endsTransactions) this.rollBack(handle);
    else this.startIdleLimit(handle, held);
    return outcome;
  }

  private startIdleLimit(handle: number, held: HeldTransaction): void {
    const idleMs = this.board.catalog?.transactionIdleMs ?? DEFAULT_IDLE_MS;
    held.idleLimit = new TimeLimit(idleMs + IDLE_SLACK_MS, () => {
      this.rollBack(handle);
    });
  }

  private rollBack(handle: number): void {
    const held = this.held.get(handle);
    if (held === undefined) return;
    held.idleLimit?.clear();
    held.transaction.rollback();
    this.held.delete(handle);
  }
}

function served(outcome: Outcome): ServeResult {
  return { handle: 0, outcome };
}

function incompleteRequest(): ServeResult {
  return served(refused(RefusalReason.SessionMisuse, 'incomplete question'));
}
