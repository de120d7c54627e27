/**
 * What the gateway asks of a connection to an upstream; a codec for each protocol implements it.
 */
import type {
  GladespoolError,
  GroupId,
  Position,
  UpstreamFault,
  WorkspaceId,
} from '@gladespool/coordination';
import type { PoolConnection } from '@gladespool/pool';
import type { Result } from 'neverthrow';
import type { UpstreamEntry } from './catalog.js';
import type { PreparedStatement } from './statement.js';

/** Id of statements that no caller sent. */
export const INTERNAL_STATEMENT_ID = '-';

/** One exchange with an upstream. `after` makes it fail unless the log holds that position. */
export type UpstreamCommand =
  | { readonly kind: 'begin'; readonly readOnly: boolean; readonly after: Position | undefined }
  | { readonly kind: 'commit'; readonly id: string }
  | { readonly kind: 'rollback' }
  | {
      readonly kind: 'run';
      readonly id: string;
      readonly text: string;
      readonly after: Position | undefined;
    }
  | {
      readonly kind: 'execute';
      readonly id: string;
      readonly name: string;
      readonly args: string;
      readonly after: Position | undefined;
    }
  | { readonly kind: 'set-value'; readonly name: string; readonly value: string }
  | { readonly kind: 'prepare'; readonly name: string; readonly prepared: PreparedStatement }
  | { readonly kind: 'discard' }
  | { readonly kind: 'status' };

/** Why no answer came. */
export enum ConnectionLoss {
  /** The connection ended or broke the protocol. */
  Closed = 'closed',
  /** The time was over; the connection is closed. */
  Timeout = 'timeout',
}

/** Answer to one command. */
export type UpstreamAnswer =
  | {
      readonly kind: 'completed';
      readonly rows: readonly string[];
      readonly signature: string;
      readonly position: Position | undefined;
    }
  | {
      readonly kind: 'faulted';
      readonly fault: UpstreamFault;
      readonly code: string;
      readonly text: string;
      readonly position: Position | undefined;
    }
  | { readonly kind: 'lost'; readonly loss: ConnectionLoss };

/** What an upstream tells of itself. */
export interface UpstreamStatus {
  readonly isPrimary: boolean;
  readonly term: number;
  /** Position up to which it has received the log. */
  readonly received: Position;
}

/** One connection to an upstream; runs one exchange at a time. */
export interface DriverConnection extends PoolConnection {
  /** Where the upstream stood when it took the connection; undefined if it did not tell. */
  readonly initialPosition: Position | undefined;
  exchange(command: UpstreamCommand, timeoutMs: number): Promise<UpstreamAnswer>;
}

/** Opens connections to upstreams and reads their status rows. */
export interface UpstreamDriver {
  /** Opens a connection in the name of a workspace, for good; or in that of the host itself. */
  connect(
    upstream: UpstreamEntry,
    group: GroupId,
    timeoutMs: number,
    workspace: WorkspaceId | undefined,
  ): Promise<Result<DriverConnection, GladespoolError>>;
  /** Reads the row that answers a status command. */
  readStatus(row: string): UpstreamStatus | undefined;
}
