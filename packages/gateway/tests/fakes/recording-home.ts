/**
 * A home whose transactions record what is done with them, and the requests that other hosts forward to it.
 */
import { Access, azId, Consistency, hostId } from '@gladespool/coordination';
import type { PeerLink } from '@gladespool/peers';
import type { ForwardOperation, Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';
import { ForwardService } from '../../src/forward/forward-service.js';
import type { Executor, OpenTransaction, StepJob } from '../../src/home/job.js';
import { GatewayBoard } from '../../src/knowledge/board.js';
import type { Outcome } from '../../src/model/outcome.js';

type ForwardRequest = FrameOf<FrameKind.ForwardRequest>;
export type ForwardReply = FrameOf<FrameKind.ForwardReply>;

const STATEMENT_MS = 600_000;
/** Idle timeout of transactions, milliseconds, where none is given. */
const DEFAULT_IDLE_MS = 3000;
const COMPLETED: Outcome = { kind: 'completed', rows: [], signature: 's', committed: undefined };

/** An open transaction that records what is done with it. */
export class RecordingTransaction implements OpenTransaction {
  readonly statements: string[] = [];
  isEnded = false;

  constructor(private readonly home: RecordingHome) {}

  async run(step: StepJob): Promise<Outcome> {
    this.statements.push(step.id);
    await this.home.gate;
    return COMPLETED;
  }

  commit(): Promise<Outcome> {
    this.isEnded = true;
    return Promise.resolve(COMPLETED);
  }

  rollback(): void {
    this.isEnded = true;
  }
}

/** Home on whose upstreams transactions are opened. */
export class RecordingHome implements Executor {
  readonly opened: RecordingTransaction[] = [];
  /** Resolves when statements end. */
  gate: Promise<void> = Promise.resolve();
  /** Number of single statements that were run. */
  runs = 0;

  async run(): Promise<Outcome> {
    this.runs += 1;
    await this.gate;
    return COMPLETED;
  }

  begin(): Promise<Result<OpenTransaction, Outcome>> {
    const transaction = new RecordingTransaction(this);
    this.opened.push(transaction);
    return Promise.resolve(ok(transaction));
  }
}

/** Starts the forwarding service of a home with this idle timeout of transactions, milliseconds. */
export function serviceOf(
  home: RecordingHome,
  transactionIdleMs = DEFAULT_IDLE_MS,
): ForwardService {
  const board = new GatewayBoard(hostId('home'), azId('z'));
  const empty = { routes: new Map(), groups: new Map(), workspaces: new Map() };
  board.putCatalog({ version: 1, ...empty, keys: undefined, transactionIdleMs });
  return new ForwardService(home, board);
}

/** Sends a frame from `host` to a home and returns the reply to a request. */
export function sendFrom(
  host: string,
  service: ForwardService,
  frame: Frame,
): Promise<ForwardReply> {
  return new Promise((resolve) => {
    const link = {
      host,
      ready: true,
      send: (reply: ForwardReply) => {
        resolve(reply);
        return true;
      },
    };
    service.onFrame(link as unknown as PeerLink, frame);
  });
}

/** A request with the id `request`, which is a write if it contains a statement. */
export function requestOf(
  operation: ForwardOperation,
  request: string,
  transaction: number,
): ForwardRequest {
  const route = {
    database: 'db',
    group: 'g',
    consistency: Consistency.Primary,
    maxStalenessMs: 0,
    timeoutMs: STATEMENT_MS,
    targetLatencyMs: STATEMENT_MS,
    priority: 1,
    isPublic: false,
  };
  return {
    kind: FrameKind.ForwardRequest,
    id: 1,
    operation,
    request,
    transaction,
    route,
    readOnly: false,
    work: { access: Access.Write, text: request },
    values: [],
    beganMs: 0,
    arrivedMs: 0,
  };
}
