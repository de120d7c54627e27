/**
 * Interface of the driver that connects to upstreams and of its connections; implemented for each protocol.
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

/** Id of statements that the gateway runs itself, without a caller. */
export const INTERNAL_STATEMENT_ID = '-';

/** One command to an upstream. It fails if the upstream's log does not contain the position `after`. */
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

/** Reason why a command got no answer. */
export enum ConnectionLoss {
  /** The connection was closed, or the upstream violated the protocol. */
  Closed = 'closed',
  /** The command timed out; the connection is closed. */
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

/** Status that an upstream reports. */
export interface UpstreamStatus {
  readonly isPrimary: boolean;
  readonly term: number;
  /** Position up to which it has received the log. */
  readonly received: Position;
}

/** One connection to an upstream; runs one command at a time. */
export interface DriverConnection extends PoolConnection {
  /** Log position that the upstream reported when it accepted the connection; undefined if it reported none. */
  readonly initialPosition: Position | undefined;
  exchange(command: UpstreamCommand, timeoutMs: number): Promise<UpstreamAnswer>;
}

/** Opens connections to upstreams and decodes their status rows. */
export interface UpstreamDriver {
  /** Opens a connection that belongs to a workspace for its whole life, or to the host itself if none is given. */
  connect(
    upstream: UpstreamEntry,
    group: GroupId,
    timeoutMs: number,
    workspace: WorkspaceId | undefined,
  ): Promise<Result<DriverConnection, GladespoolError>>;
  /** Decodes the row that a status command returns; undefined if it is invalid. */
  readStatus(row: string): UpstreamStatus | undefined;
}
