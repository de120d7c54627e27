/**
 * Serves other hosts: runs the statements that they forward on this host's own homes, and rolls
 * their transactions back when the link is lost.
 */
import { RefusalReason } from '@gladespool/coordination';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { ForwardOperation, FrameKind } from '@gladespool/protocol';
import type { GatewayBoard } from '../knowledge/board.js';
import type { Executor, OpenTransaction, StepJob } from '../home/job.js';
import type { Outcome } from '../model/outcome.js';
import { refused } from '../model/outcome.js';
import type { Work } from '../model/statement.js';
import { decodeJob, decodeStep, decodeWork, encodeReply } from './forward-frames.js';

type ForwardAsk = FrameOf<FrameKind.ForwardRequest>;

interface HeldTransaction {
  readonly link: PeerLink;
  readonly transaction: OpenTransaction;
  /** Rolls the transaction back when no statement of it has come for too long. */
  idleTimer: NodeJS.Timeout | undefined;
}

/** Time for which a transaction may rest before a configuration is known, milliseconds. */
const DEFAULT_IDLE_MS = 3000;
/**
 * Added to the time for which a transaction may rest, milliseconds: the caller's host ends it first,
 * unless the link has gone silent and its word can't arrive.
 */
const IDLE_SLACK_MS = 1000;

/** Outcome of a question, with the handle of a transaction that it opened. */
interface Served {
  readonly handle: number;
  readonly outcome: Outcome | undefined;
}

/** Serving side of forwarding. */
export class ForwardService implements PeerHandler {
  private readonly held = new Map<number, HeldTransaction>();
  private nextHandle = 1;

  constructor(
    private readonly executor: Executor,
    private readonly board: GatewayBoard,
  ) {}

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.ForwardRequest) void this.answer(link, frame);
    if (frame.kind === FrameKind.ForwardRollback) this.rollBack(frame.transaction);
  }

  onLost(link: PeerLink): void {
    for (const [handle, held] of this.held) if (held.link === link) this.rollBack(handle);
  }

  private async answer(link: PeerLink, ask: ForwardAsk): Promise<void> {
    const { handle, outcome } = await this.serve(link, ask, performance.now());
    const sent = link.send(encodeReply(ask.id, handle, outcome));
    if (!sent && handle !== 0) this.rollBack(handle);
  }

  private async serve(link: PeerLink, ask: ForwardAsk, now: number): Promise<Served> {
    const work = decodeWork(ask.work);
    switch (ask.operation) {
      case ForwardOperation.Run:
        if (ask.route === undefined || work === undefined) return misuse();
        return served(await this.executor.run({ ...decodeJob(ask, ask.route, now), work }));
      case ForwardOperation.Begin:
        return this.begin(link, ask, work, now);
      case ForwardOperation.Step:
        if (work === undefined) return misuse();
        return served(await this.step(ask.transaction, decodeStep(ask, work, now)));
      case ForwardOperation.Commit: {
        const held = this.held.get(ask.transaction);
        if (held === undefined) return served(refused(RefusalReason.TransactionLost));
        clearTimeout(held.idleTimer);
        this.held.delete(ask.transaction);
        return served(await held.transaction.commit(ask.request, now - ask.arrivedMs));
      }
    }
  }

  /** Opens a transaction and runs the statement that came with the question, if any. */
  private async begin(
    link: PeerLink,
    ask: ForwardAsk,
    first: Work | undefined,
    now: number,
  ): Promise<Served> {
    if (ask.route === undefined) return misuse();
    const job = { ...decodeJob(ask, ask.route, now), readOnly: ask.readOnly };
    const opened = await this.executor.begin(job);
    if (opened.isErr()) return served(opened.error);
    const handle = this.nextHandle;
    this.nextHandle += 1;
    const held = { link, transaction: opened.value, idleTimer: undefined };
    this.held.set(handle, held);
    this.watchIdle(handle, held);
    if (!link.ready) this.rollBack(handle);
    if (first === undefined) return { handle, outcome: undefined };
    return { handle, outcome: await this.step(handle, decodeStep(ask, first, now)) };
  }

  /** Runs one statement of an open transaction. */
  private async step(handle: number, step: StepJob): Promise<Outcome> {
    const held = this.held.get(handle);
    if (held === undefined) return refused(RefusalReason.TransactionLost);
    clearTimeout(held.idleTimer);
    const outcome = await held.transaction.run(step);
    if (outcome.kind !== 'completed') this.held.delete(handle);
    else this.watchIdle(handle, held);
    return outcome;
  }

  private watchIdle(handle: number, held: HeldTransaction): void {
    const idleMs = this.board.catalog?.transactionIdleMs ?? DEFAULT_IDLE_MS;
    held.idleTimer = setTimeout(() => {
      this.rollBack(handle);
    }, idleMs + IDLE_SLACK_MS);
  }

  private rollBack(handle: number): void {
    const held = this.held.get(handle);
    if (held === undefined) return;
    clearTimeout(held.idleTimer);
    held.transaction.rollback();
    this.held.delete(handle);
  }
}

function served(outcome: Outcome): Served {
  return { handle: 0, outcome };
}

function misuse(): Served {
  return served(refused(RefusalReason.SessionMisuse, 'incomplete question'));
}
