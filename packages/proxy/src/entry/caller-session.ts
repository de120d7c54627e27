/**
 * Session of one caller at its entry host: reads protocol messages, runs requests in order, and keeps
 * the session's floor, prepared statements and transaction state.
 */
import type { Socket } from 'node:net';
import type { GroupId, HostId, Refusal, SessionFloor } from '@gladespool/coordination';
import { floorOf, groupId, raiseFloor, RefusalReason, refuse } from '@gladespool/coordination';
import type { HostMetrics } from '@gladespool/observability';
import { CallerFault, ServedBy } from '@gladespool/observability';
import type { LoginInfo, TokenCodec } from '@gladespool/protocol';
import {
  BackendType,
  encodeError,
  encodeParameterStatus,
  encodeReady,
  FrontendType,
  MessageSplitter,
  RunIntent,
  StatementKind,
  TransactionStatus,
} from '@gladespool/protocol';
import type { RunAnswer } from '../home/run-request.js';
import type { HomeRouter } from './home-router.js';
import type { LocalResult, LocalStatement } from './local-statement.js';
import {
  encodeLocalAnswer,
  HOST_PARAMETER,
  localStatement,
  RESUMED_PARAMETER,
  TOKEN_PARAMETER,
} from './local-statement.js';
import { refusalFields } from './refusal-message.js';
import type { PortalTexts, RequestBatch } from './request-batch.js';
import { extendedBatch, intentOf, simpleBatch, removeHidden } from './request-batch.js';
import { startOption } from './start-option.js';
import { StatementRegistry } from './statement-registry.js';

/** Dependencies and settings that all sessions of a host share. */
export interface SessionContext {
  readonly host: HostId;
  readonly router: HomeRouter;
  readonly tokens: TokenCodec;
  readonly metrics: HostMetrics;
  readonly maxMessageBytes: number;
  readonly maxAnswerBytes: number;
  readonly defaultDeadlineMs: number;
}

interface OpenTransaction {
  readonly handle: number;
  readonly home: HostId;
}

/** Bytes of unprocessed messages above which reading from the caller pauses. */
const QUEUE_HIGH_BYTES = 4 * 1024 * 1024;

/** One caller's session. */
export class CallerSession {
  private readonly socket: Socket;
  private readonly group: GroupId;
  private readonly user: string;
  private readonly splitter: MessageSplitter;
  private readonly registry = new StatementRegistry();
  private readonly portals: PortalTexts = new Map();
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private batch: Buffer[] = [];
  private skippingToSync = false;
  private busy = false;
  private closed = false;
  private floor: SessionFloor;
  private barrier: boolean;
  private transaction: OpenTransaction | undefined;
  /**
   * Whether the session is in a failed transaction that no longer exists at an upstream; only its end
   * is accepted, as after an error in PostgreSQL.
   */
  private transactionLost = false;
  /** Whether the open transaction is in the upstream's failed state. */
  private failedAtUpstream = false;
  private currentAbort: AbortController | undefined;
  private readonly idleWaiters: (() => void)[] = [];

  constructor(
    login: LoginInfo,
    floor: SessionFloor,
    private readonly context: SessionContext,
  ) {
    this.socket = login.socket;
    this.group = groupId(login.database);
    this.user = login.user;
    this.floor = floor;
    const resumed = startOption(login.parameters, RESUMED_PARAMETER);
    this.barrier = resumed === 'on' || resumed === 'true';
    const peer = `${login.socket.remoteAddress ?? ''}:${login.socket.remotePort ?? 0}`;
    this.splitter = new MessageSplitter(context.maxMessageBytes, peer);
    this.socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    this.socket.on('close', () => {
      this.onClose();
    });
    this.socket.on('error', () => undefined);
  }

  /** Cancels the request in progress. */
  cancel(): void {
    this.currentAbort?.abort();
  }

  /** Ends the session as soon as it has neither a request nor a transaction in progress. */
  async drain(): Promise<void> {
    if (this.isBusy()) await new Promise<void>((resolve) => this.idleWaiters.push(resolve));
    if (this.closed) return;
    this.closed = true;
    this.queue = [];
    const fields = refusalFields(refuse(RefusalReason.Draining), 'FATAL');
    this.socket.end(encodeError(fields));
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.socket.destroy();
  }

  private isBusy(): boolean {
    return this.busy || this.transaction !== undefined || this.queue.length > 0;
  }

  private onClose(): void {
    this.closed = true;
    this.queue = [];
    this.currentAbort?.abort();
    this.abandonTransaction();
    this.resolveIdleWaiters();
  }

  private receive(chunk: Buffer): void {
    const messages = this.splitter.push(chunk);
    if (messages.isErr()) {
      this.context.metrics.callerFaults.inc({ fault: CallerFault.Malformed });
      const refusal = refuse(RefusalReason.MessageTooLarge, messages.error.message);
      this.context.metrics.refusals.inc({ reason: refusal.reason });
      this.socket.end(encodeError(refusalFields(refusal, 'FATAL')));
      this.socket.removeAllListeners('data');
      return;
    }
    if (this.closed) return;
    for (const message of messages.value) {
      this.queue.push(message);
      this.queuedBytes += message.length;
    }
    if (this.queuedBytes > QUEUE_HIGH_BYTES) this.socket.pause();
    if (!this.busy) void this.processQueue();
  }

  private async processQueue(): Promise<void> {
    this.busy = true;
    for (;;) {
      const message = this.queue.shift();
      if (message === undefined || this.closed) break;
      this.queuedBytes -= message.length;
      if (this.queuedBytes < QUEUE_HIGH_BYTES && this.socket.isPaused()) this.socket.resume();
      await this.handleMessage(message);
    }
    this.busy = false;
    this.resolveIdleWaiters();
  }

  private resolveIdleWaiters(): void {
    if (this.isBusy() && !this.closed) return;
    for (const wake of this.idleWaiters.splice(0)) wake();
  }

  private async handleMessage(message: Buffer): Promise<void> {
    switch (message[0]) {
      case FrontendType.Terminate:
        this.socket.end();
        return;
      case FrontendType.Query:
        await this.handleQuery(message);
        return;
      case FrontendType.Sync:
        await this.handleSync();
        return;
      case FrontendType.Flush:
        await this.handleFlush();
        return;
      default:
        if (!this.skippingToSync) this.batch.push(message);
    }
  }

  private async handleQuery(message: Buffer): Promise<void> {
    const sql = message.toString('utf8', 5, message.length - 1);
    const batch = simpleBatch(message, sql);
    const answer = batch.isErr() ? this.handleRefusal(batch.error) : await this.run(batch.value);
    this.write(Buffer.concat([answer, encodeReady(this.status())]));
  }

  private async handleSync(): Promise<void> {
    const answer = this.skippingToSync ? Buffer.alloc(0) : await this.runBatch();
    this.skippingToSync = false;
    this.write(Buffer.concat([answer, encodeReady(this.status())]));
  }

  /** Runs the messages received before Flush; Execute before Flush is not supported. */
  private async handleFlush(): Promise<void> {
    if (this.skippingToSync || this.batch.length === 0) return;
    if (this.batch.some((message) => message[0] === FrontendType.Execute)) {
      this.batch = [];
      this.skippingToSync = true;
      this.write(
        this.handleRefusal(refuse(RefusalReason.Unsupported, 'Execute followed by Flush')),
      );
      return;
    }
    this.write(await this.runBatch());
  }

  private async runBatch(): Promise<Buffer> {
    const messages = this.batch;
    this.batch = [];
    if (messages.length === 0) return Buffer.alloc(0);
    const batch = extendedBatch(messages, this.registry, this.portals);
    return batch.isErr() ? this.handleRefusal(batch.error) : this.run(batch.value);
  }

  private async run(batch: RequestBatch): Promise<Buffer> {
    const local = batch.executed.map(localStatement).find((found) => found !== undefined);
    if (local !== undefined) return this.runLocal(batch, local);
    if (this.transactionLost) return this.runInLostTransaction(batch);
    const refusal = unsupportedRefusal(batch);
    if (refusal !== undefined) return this.handleRefusal(refusal);
    return this.runRemote(batch);
  }

  private runLocal(batch: RequestBatch, local: LocalStatement): Buffer {
    if (batch.executed.length > 1) {
      return this.handleRefusal(
        refuse(RefusalReason.Unsupported, 'proxy settings beside statements'),
      );
    }
    if (local.kind === 'set-token') {
      const floor = this.context.tokens.open(this.user, local.token);
      if (floor.isErr()) return this.handleRefusal(floor.error);
      for (const entry of floor.value) {
        this.floor = raiseFloor(this.floor, entry.group, entry.position);
      }
      this.barrier = false;
    }
    for (const statement of batch.parsed) this.registry.put(statement);
    this.context.metrics.statements.inc({ served_by: ServedBy.Proxy });
    return encodeLocalAnswer(batch.decoded, this.localResult(local));
  }

  private localResult(local: LocalStatement): LocalResult {
    if (local.kind === 'rollback') return { tag: 'ROLLBACK', column: undefined, value: '' };
    if (local.kind !== 'show') return { tag: 'SET', column: undefined, value: '' };
    const value = local.name === HOST_PARAMETER ? this.context.host : this.token();
    return { tag: 'SHOW', column: local.name, value };
  }

  /**
   * Accepts only the end of a lost transaction, so that none of its later statements runs outside of a
   * transaction.
   */
  private runInLostTransaction(batch: RequestBatch): Buffer {
    const [kind] = batch.kinds;
    const ends = kind === StatementKind.Commit || kind === StatementKind.Rollback;
    if (!ends || batch.kinds.length !== 1) {
      return this.handleRefusal(refuse(RefusalReason.TransactionLost));
    }
    this.transactionLost = false;
    return encodeLocalAnswer(batch.decoded, this.localResult({ kind: 'rollback' }));
  }

  private async runRemote(batch: RequestBatch): Promise<Buffer> {
    const startedAt = performance.now();
    const deadlineMs = batch.marks.deadlineMs ?? this.context.defaultDeadlineMs;
    const intent = intentOf(batch, this.transaction !== undefined);
    this.currentAbort = new AbortController();
    const { outcome, home } = await this.context.router.run(
      {
        group: this.group,
        intent,
        transaction: this.transaction?.handle ?? 0,
        messages: batch.messages,
        floor: floorOf(this.floor, this.group),
        barrier: this.barrier,
        marks: batch.marks,
        arrivedAt: startedAt,
        deadlineAt: startedAt + deadlineMs,
        cancel: this.currentAbort.signal,
      },
      this.transaction?.home,
    );
    this.currentAbort = undefined;
    this.context.metrics.latency.observe((performance.now() - startedAt) / MS_PER_SECOND);
    if (outcome.kind === 'refusal') {
      this.transaction = undefined;
      if (intent === RunIntent.Continue) this.transactionLost = true;
      return this.handleRefusal(outcome.refusal);
    }
    return this.handleAnswer(batch, outcome, home);
  }

  private handleAnswer(batch: RequestBatch, answer: RunAnswer, home: HostId | undefined): Buffer {
    const servedBy = answer.replica ? ServedBy.Replica : ServedBy.Primary;
    this.context.metrics.statements.inc({ served_by: servedBy });
    const open = answer.transaction !== 0 && home !== undefined;
    this.transaction = open ? { handle: answer.transaction, home } : undefined;
    this.failedAtUpstream = answer.status === TransactionStatus.Failed;
    if (!open) this.portals.clear();
    if (this.closed) this.abandonTransaction();
    const messages = this.splitAnswer(answer.bytes);
    const visible = removeHidden(messages, batch.hidden);
    this.updateRegistry(batch, visible);
    return Buffer.concat([this.raiseSessionFloor(answer), ...visible]);
  }

  private splitAnswer(bytes: Buffer): readonly Buffer[] {
    const splitter = new MessageSplitter(this.context.maxAnswerBytes, 'home');
    return splitter.push(bytes).unwrapOr([]);
  }

  /**
   * Raises the session's floor; returns the ParameterStatus message with the new token, or an empty
   * buffer if the floor is unchanged.
   */
  private raiseSessionFloor(answer: RunAnswer): Buffer {
    if (answer.position === undefined) return Buffer.alloc(0);
    this.barrier = false;
    const raised = raiseFloor(this.floor, this.group, answer.position);
    if (raised === this.floor) return Buffer.alloc(0);
    this.floor = raised;
    return encodeParameterStatus(TOKEN_PARAMETER, this.token());
  }

  /** Registers the statements whose Parse succeeded, even if a later message of the request failed. */
  private updateRegistry(batch: RequestBatch, visible: readonly Buffer[]): void {
    const completed = visible.filter((message) => message[0] === BackendType.ParseComplete).length;
    for (const statement of batch.parsed.slice(0, completed)) this.registry.put(statement);
    const failed = visible.some((message) => message[0] === BackendType.Error);
    if (!failed) for (const name of batch.closed) this.registry.remove(name);
  }

  private token(): string {
    return this.context.tokens.seal(this.user, this.floor);
  }

  private status(): TransactionStatus {
    if (this.transactionLost) return TransactionStatus.Failed;
    if (this.transaction === undefined) return TransactionStatus.Idle;
    return this.failedAtUpstream ? TransactionStatus.Failed : TransactionStatus.InTransaction;
  }

  /** Encodes a refusal; inside a transaction it fails the transaction, as any error does. */
  private handleRefusal(refusal: Refusal): Buffer {
    this.context.metrics.refusals.inc({ reason: refusal.reason });
    if (this.transaction !== undefined) this.transactionLost = true;
    this.abandonTransaction();
    return encodeError(refusalFields(refusal, 'ERROR'));
  }

  private abandonTransaction(): void {
    const open = this.transaction;
    this.transaction = undefined;
    if (open === undefined) return;
    this.context.router.abandon({ group: this.group, transaction: open.handle }, open.home);
  }

  private write(bytes: Buffer): void {
    if (!this.closed) this.socket.write(bytes);
  }
}

const MS_PER_SECOND = 1000;

function unsupportedRefusal(batch: RequestBatch): Refusal | undefined {
  const index = batch.kinds.findIndex(
    (kind) => kind === StatementKind.Unsupported || kind === StatementKind.SetSession,
  );
  if (index < 0) return undefined;
  const keyword = /^\s*(\w+)/.exec(batch.executed[index] ?? '')?.[1] ?? 'statement';
  return refuse(RefusalReason.Unsupported, `${keyword.toUpperCase()} (session state)`);
}
