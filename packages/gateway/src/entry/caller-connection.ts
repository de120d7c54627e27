/**
 * One caller's connection: decodes messages, passes statements to the session one at a time, and writes the
 * answers.
 */
import type { Socket } from 'node:net';
import { RefusalReason } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { TimeLimit } from '@gladespool/protocol';
import { refused } from '../model/outcome.js';
import type { CallerCodec, CallerMessage } from './caller-codec.js';
import type { SessionContext } from './session.js';
import { Session, SessionState } from './session.js';

/** Dependencies and settings of a connection. */
export interface CallerConnectionOptions {
  readonly socket: Socket;
  readonly codec: CallerCodec;
  readonly session: SessionContext;
  readonly startTimeoutMs: number;
  readonly log: Logger;
  /** Called once the socket is closed: all answers have been sent, or can't be any more. */
  readonly onClose: () => void;
}

/** Number of queued messages above which no more bytes are read from the caller. */
const MAX_QUEUED = 64;
/** Time for the caller to read the last bytes before the socket is destroyed, milliseconds. */
const LINGER_MS = 100;
/** Encoding that maps every byte to one character. */
const BYTES = 'latin1';

export class CallerConnection {
  private session: Session | undefined;
  private readonly queue: CallerMessage[] = [];
  private isHandling = false;
  private isClosing = false;
  /** Whether the connection closes after the current statement even if a transaction is open. */
  private endsTransaction = false;
  private isClosed = false;
  private readonly startLimit: TimeLimit;

  constructor(private readonly options: CallerConnectionOptions) {
    const { socket, startTimeoutMs } = options;
    socket.setNoDelay(true);
    this.startLimit = new TimeLimit(startTimeoutMs, () => {
      this.refuse(RefusalReason.SessionMisuse, 'no start message in time');
    });
    socket.on('data', (chunk) => {
      this.receive(chunk);
    });
    socket.on('error', (error) => {
      options.log.trace('caller-error', { error: error.message });
    });
    socket.on('close', () => {
      this.endSession();
      options.onClose();
    });
  }

  /** Whether no transaction is open and no message is queued or being handled. */
  get isIdle(): boolean {
    const hasNoWork = !this.isHandling && this.queue.length === 0;
    return hasNoWork && (this.session?.state ?? SessionState.Idle) === SessionState.Idle;
  }

  /** Closes the connection as soon as it is idle. */
  closeWhenIdle(): void {
    this.isClosing = true;
    if (this.isIdle) this.closeSocket();
  }

  /** Closes the connection once its current statement is answered; an open transaction is rolled back. */
  closeAfterStatement(): void {
    this.isClosing = true;
    this.endsTransaction = true;
    if (!this.isHandling) this.closeSocket();
  }

  /** Answers the current statement, whose outcome is unknown to this host, and closes the connection. */
  abandonStatement(): void {
    if (this.isClosed) return;
    if (this.isHandling && this.session !== undefined) {
      const { codec, log, session } = this.options;
      const reason = RefusalReason.UpstreamLost;
      log.warn('statement-abandoned', { reason });
      session.recorder.countRefusal(reason);
      const outcome = refused(reason, 'host is stopping');
      this.write(codec.encodeAnswer({ outcome, state: this.session.state }));
      this.refuseQueue();
    }
    this.closeSocket();
  }

  /**
   * Closes the connection from this side. Messages that arrive after this could not be answered, so they are neither
   * read nor run.
   */
  private closeSocket(): void {
    if (this.isClosed) return;
    const { socket } = this.options;
    this.endSession();
    socket.pause();
    socket.end(() => {
      setTimeout(() => socket.destroy(), LINGER_MS);
    });
  }

  private receive(chunk: Buffer): void {
    if (this.isClosed) return;
    this.queue.push(...this.options.codec.push(chunk));
    if (this.queue.length > MAX_QUEUED) this.options.socket.pause();
    if (!this.isHandling) void this.handleQueue();
  }

  private async handleQueue(): Promise<void> {
    this.isHandling = true;
    for (let message = this.queue.shift(); message; message = this.queue.shift()) {
      if (this.isClosed) break;
      await this.handle(message);
      if (this.endsTransaction) break;
      if (this.queue.length <= MAX_QUEUED) this.options.socket.resume();
    }
    this.isHandling = false;
    if (this.isClosed || !this.isClosing) return;
    if (this.endsTransaction) this.refuseQueue();
    if (this.endsTransaction || this.isIdle) this.closeSocket();
  }

  /** Refuses the statements that have arrived and are not going to run, before the connection closes. */
  private refuseQueue(): void {
    for (const message of this.queue.splice(0)) {
      if (message.kind !== 'statement' || this.session === undefined) continue;
      const { codec, session } = this.options;
      const reason = RefusalReason.Draining;
      session.recorder.countRefusal(reason);
      const outcome = refused(reason, 'host is stopping');
      this.write(codec.encodeAnswer({ outcome, state: this.session.state }));
    }
  }

  private async handle(message: CallerMessage): Promise<void> {
    switch (message.kind) {
      case 'start':
        this.start(message.database, message.who);
        return;
      case 'end':
        this.closeSocket();
        return;
      case 'broken':
        this.refuse(RefusalReason.SessionMisuse, message.detail);
        return;
      case 'nonsense':
        this.refuseMessage(message.detail);
        return;
      default:
        await this.handleStatement(message);
    }
  }

  /** Refuses one message; the session continues in the same state. */
  private refuseMessage(detail: string): void {
    const state = this.session?.state ?? SessionState.Idle;
    const refusal = refused(RefusalReason.SessionMisuse, detail);
    this.write(this.options.codec.encodeFailure(refusal, state));
  }

  private async handleStatement(
    message: Extract<CallerMessage, { kind: 'statement' }>,
  ): Promise<void> {
    if (this.session === undefined) {
      this.refuse(RefusalReason.SessionMisuse, 'statement before the start message');
      return;
    }
    const answer = await this.session.handle(message.id, message.statement, performance.now());
    this.write(this.options.codec.encodeAnswer(answer));
  }

  private start(database: string, who: string): void {
    this.startLimit.clear();
    const { board } = this.options.session;
    if (this.session !== undefined) {
      this.refuse(RefusalReason.SessionMisuse, 'second start message');
      return;
    }
    if (board.catalog === undefined) {
      this.refuse(RefusalReason.NoBundle, database);
      return;
    }
    const session = new Session(database, who, this.options.session);
    const refusal = session.refusalAt(performance.now());
    if (refusal !== undefined) {
      this.refuse(refusal, database);
      return;
    }
    this.session = session;
    this.write(this.options.codec.encodeWelcome());
  }

  private refuse(reason: RefusalReason, detail: string): void {
    const version = this.options.session.board.catalog?.version;
    this.options.log.info('session-refused', { reason, detail, catalog_version: version });
    this.options.session.recorder.countRefusal(reason);
    this.write(this.options.codec.encodeFatal(refused(reason, detail)));
    this.closeSocket();
  }

  private write(text: string): void {
    if (!this.isClosed) this.options.socket.write(text, BYTES);
  }

  private endSession(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.startLimit.clear();
    this.session?.close();
  }
}
