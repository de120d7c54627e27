/**
 * The configuration written by operators, as the gateway uses it, and the entries of upstreams.
 */
import type {
  AzId,
  Consistency,
  GroupId,
  RegionId,
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
  /** Maximum age of the data that a read may return, milliseconds; 0 on primary routes. */
  readonly maxStalenessMs: number;
  /** Timeout of one statement, milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an operation is worth most, milliseconds. */
  readonly targetLatencyMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Whether callers need no API key; such a route belongs to no workspace. */
  readonly isPublic: boolean;
  /** Regions that the data of this route may not leave; missing where it may be anywhere. */
  readonly regions?: readonly RegionId[];
}

/** Limits the statements that a cold upstream gets while it warms up. */
export interface WarmupLimit {
  /** Time for which an upstream counts as cold after its start, milliseconds. */
  readonly lastsMs: number;
  /** Statements a second that a cold upstream may get, over all hosts. */
  readonly statementsPerS: number;
}

/** Settings of a group. */
export interface GroupSettings {
  readonly group: GroupId;
  readonly connectionsPerUpstream: number;
  /** Replicas that must have received a commit before it is confirmed. */
  readonly syncReplicas: number;
  /** Missing where upstreams need no warm-up. */
  readonly warmup?: WarmupLimit;
}

/** The configuration in force. */
export interface Catalog {
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<GroupId, GroupSettings>;
  readonly keys: WorkspaceKeys;
  /** The workspaces by name; empty where no API keys are required. */
  readonly workspaces: ReadonlyMap<WorkspaceId, Workspace>;
  /** A transaction idle for longer is rolled back, milliseconds. */
  readonly transactionIdleMs: number;
}

/** Role that an upstream reports for itself. */
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
  /** Number of statements that it runs concurrently. */
  readonly slots: number;
  /** Whether it is shutting down and accepts no new work. */
  readonly draining: boolean;
  /**
   * Start time of the upstream, Unix milliseconds by its own clock: an upstream that restarts with the same id has lost
   * its data. Missing if it does not report one.
   */
  readonly born?: number;
  /** Remaining time for which it was cold when it wrote its entry, milliseconds; missing if it was not cold. */
  readonly coldForMs?: number;
}
