/**
 * What the operators configure, as the gateway uses it.
 */
import type {
  AzId,
  Consistency,
  GroupId,
  UpstreamId,
  Workspace,
  WorkspaceId,
  WorkspaceKeys,
} from '@gladespool/coordination';

/** How statements for one database are served. */
export interface Route {
  readonly database: string;
  readonly group: GroupId;
  readonly consistency: Consistency;
  /** Oldest data that a read may show, milliseconds; 0 on primary routes. */
  readonly maxStalenessMs: number;
  /** Longest time of one statement, milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an operation is worth most, milliseconds. */
  readonly targetLatencyMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Whether callers need no key; such a route belongs to no workspace. */
  readonly isPublic: boolean;
}

/** A group's bounds. */
export interface GroupBounds {
  readonly group: GroupId;
  readonly connectionsPerUpstream: number;
  /** Replicas that must have received a commit before it is confirmed. */
  readonly syncReplicas: number;
}

/** The configuration in force. */
export interface Catalog {
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<GroupId, GroupBounds>;
  readonly keys: WorkspaceKeys;
  /** The workspaces by name; none where no keys are asked for. */
  readonly workspaces: ReadonlyMap<WorkspaceId, Workspace>;
  /** A transaction idle for longer is rolled back, milliseconds. */
  readonly transactionIdleMs: number;
}

/** Role that an upstream reports of itself. */
export enum ReportedRole {
  Primary = 'primary',
  Replica = 'replica',
}

/** An upstream as it registered itself. */
export interface UpstreamEntry {
  readonly id: UpstreamId;
  readonly group: GroupId;
  readonly address: string;
  readonly port: number;
  readonly az: AzId;
  readonly role: ReportedRole;
  /** Statements that it runs at once. */
  readonly slots: number;
  /** Whether it is about to leave and takes no new work. */
  readonly draining: boolean;
}
