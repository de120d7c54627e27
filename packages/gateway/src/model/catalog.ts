/**
 * What the operators configure, as the gateway uses it.
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
  /** Regions that the data of this route may not leave; missing where it may be anywhere. */
  readonly regions?: readonly RegionId[];
}

/** How an upstream that is cold is warmed up: by few statements at first. */
export interface WarmupLimit {
  /** Time for which an upstream is cold after it has started, milliseconds. */
  readonly lastsMs: number;
  /** Statements a second that a cold upstream may get, over all hosts. */
  readonly statementsPerS: number;
}

/** A group's bounds. */
export interface GroupSettings {
  readonly group: GroupId;
  readonly connectionsPerUpstream: number;
  /** Replicas that must have received a commit before it is confirmed. */
  readonly syncReplicas: number;
  /** Missing where upstreams need no warming up. */
  readonly warmup?: WarmupLimit;
}

/** The configuration in force. */
export interface Catalog {
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<GroupId, GroupSettings>;
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
  /**
   * Start of the upstream, Unix milliseconds by its own clock: one that starts again under its id holds
   * nothing of before. Missing where it does not tell.
   */
  readonly born?: number;
  /** Time for which it is still cold when it wrote its entry, milliseconds; missing when it is not. */
  readonly coldForMs?: number;
}
