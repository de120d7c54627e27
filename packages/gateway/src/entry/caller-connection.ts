/**
 * One caller's connection: reads messages through a codec, hands statements to the session one by
 * one, writes the answers.
 */
import type { Socket } from 'node:net';
import { RefusalReason } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import { refused } from '../model/outcome.js';
import type { CallerCodec, CallerMessage } from './caller-codec.js';
import type { SessionContext } from './session.js';
import { Session, SessionState } from './session.js';

/** What a connection needs. */
export interface CallerConnectionOptions {
  readonly socket: Socket;
  readonly codec: CallerCodec;
  readonly session: SessionContext;
  readonly startTimeoutMs: number;
  readonly log: Logger;
  readonly onClose: () => void;
}

/** Messages read ahead at most; a caller that sends more is not read until it is served. */
const MAX_AHEAD = 64;
/** Time left to the other side to take the last bytes, milliseconds. */
const LINGER_MS = 100;
/** Encoding that keeps every byte as it is. */
const BYTES = 'latin1';

/** A caller's connection. */
export class CallerConnection {
  private session: Session | undefined;
  private readonly ahead: CallerMessage[] = [];
  private working = false;
  private leaving = false;
  private closed = false;
  private readonly startTimer: NodeJS.Timeout;

  constructor(private readonly options: CallerConnectionOptions) {
    const { socket, startTimeoutMs } = options;
    socket.setNoDelay(true);
    this.startTimer = setTimeout(() => {
      this.refuse(RefusalReason.SessionMisuse, 'no start message in time');
    }, startTimeoutMs);
    socket.on('data', (chunk) => {
      this.receive(chunk);
    });
    socket.on('error', (error) => {
      options.log.trace('caller-error', { error: error.message });
    });
    socket.on('close', () => {
      this.end();
    });
  }

  /** Whether the session rests outside a transaction with nothing asked. */
  get isIdle(): boolean {
    const resting = !this.working && this.ahead.length === 0;
    return resting && (this.session?.state ?? SessionState.Idle) === SessionState.Idle;
  }

  /** Closes the connection as soon as it is idle. */
  closeWhenIdle(): void {
    this.leaving = true;
    if (this.isIdle) this.hangUp();
  }

  /** Closes the connection once its present statement is answered; an open transaction is rolled back. */
  closeAfterStatement(): void {
    this.leaving = true;
    if (!this.working) this.hangUp();
  }

  /**
   * Closes the connection from this side. What arrives from now on could not be answered, so it is
   * neither read nor run.
   */
  private hangUp(): void {
    const { socket } = this.options;
    this.end();
    socket.pause();
    socket.end(() => {
      setTimeout(() => socket.destroy(), LINGER_MS);
    });
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    this.ahead.push(...this.options.codec.push(chunk));
    if (this.ahead.length > MAX_AHEAD) this.options.socket.pause();
    if (!this.working) void this.work();
  }

  private async work(): Promise<void> {
    this.working = true;
    for (let message = this.ahead.shift(); message; message = this.ahead.shift()) {
      if (this.closed) break;
      await this.take(message);
      if (this.ahead.length <= MAX_AHEAD) this.options.socket.resume();
    }
    this.working = false;
    if (this.leaving && !this.closed && this.isIdle) this.hangUp();
  }

  private async take(message: CallerMessage): Promise<void> {
    switch (message.kind) {
      case 'start':
        this.start(message.database, message.who);
        return;
      case 'end':
        this.hangUp();
        return;
      case 'broken':
        this.refuse(RefusalReason.SessionMisuse, message.detail);
        return;
      case 'nonsense':
        this.refuseOne(message.detail);
        return;
      default:
        await this.answer(message);
    }
  }

  /** Refuses one message; the session goes on as it was. */
  private refuseOne(detail: string): void {
    const state = this.session?.state ?? SessionState.Idle;
    const refusal = refused(RefusalReason.SessionMisuse, detail);
    this.write(this.options.codec.encodeFailure(refusal, state));
  }

  private async answer(message: Extract<CallerMessage, { kind: 'statement' }>): Promise<void> {
    if (this.session === undefined) {
      this.refuse(RefusalReason.SessionMisuse, 'statement before the start message');
      return;
    }
    const answer = await this.session.handle(message.id, message.statement, performance.now());
    this.write(this.options.codec.encodeAnswer(answer));
  }

  private start(database: string, who: string): void {
    clearTimeout(this.startTimer);
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
    this.hangUp();
  }

  private write(text: string): void {
    if (!this.closed) this.options.socket.write(text, BYTES);
  }

  private end(): void {
    if (this.closed) return;
    this.closed = true;
    clearTimeout(this.startTimer);
    this.session?.close();
    this.options.onClose();
  }
}
