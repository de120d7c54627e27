/**
 * Holds the rate-limit allowances of the workspaces that are assigned to this host (their owner), on behalf of all
 * hosts, and stands in for owners of other zones that it cannot reach. A stand-in starts with a part of the
 * tolerance. It grants the rate only once the owner, if that is cut off, has certainly stopped granting: a host
 * without a valid proof grants nothing.
 */
import type {
  Allowance,
  AuthorityRules,
  HostId,
  LimitTolerance,
  WorkspaceId,
  WorkspaceLimit,
} from '@gladespool/coordination';
import { initialAllowance, grantOperations, workspaceId } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard } from '../knowledge/board.js';
import type { AllowanceOwnerDirectory } from '../knowledge/allowance-owner-directory.js';

/** Dependencies and settings of an allowance owner. */
export interface AllowanceOwnerOptions {
  readonly board: GatewayBoard;
  readonly directory: Pick<AllowanceOwnerDirectory, 'ownersOf' | 'unchangedSince'>;
  /** Whether another host is reachable from this one, as far as is known at `now`. */
  readonly isReachable: (host: HostId, now: number) => boolean;
  readonly tolerance: LimitTolerance;
  readonly authority: AuthorityRules;
  readonly log: Logger;
}

/** Answer to a request for operations. */
export interface AllowanceReply {
  /** Whether this host holds the allowance; if not, the other fields have no meaning. */
  readonly kept: boolean;
  readonly granted: number;
  /** Time until the next operation will be granted, milliseconds. */
  readonly retryAfterMs: number;
}

interface HeldAllowance {
  allowance: Allowance;
  /** Local time from which this host grants the rate. */
  readonly since: number;
  lastRequestAt: number;
  /** Whether the latest request was granted in full. */
  isBelowLimit: boolean;
}

/** Role of a host for an allowance. */
enum Role {
  Owner = 'keeper',
  StandIn = 'stand-in',
  None = 'none',
}

/** Time without a request after which a stand-in starts a new allowance, milliseconds: longer than any window. */
const STAND_IN_IDLE_MS = 10_000;

const NOT_HELD: AllowanceReply = { kept: false, granted: 0, retryAfterMs: 0 };

/** Grants operations of the workspaces that this host is the owner or the stand-in of. */
export class AllowanceOwner implements PeerHandler {
  private readonly owned = new Map<WorkspaceId, HeldAllowance>();
  private readonly standIns = new Map<WorkspaceId, HeldAllowance>();
  /** Local time at which the latest proof arrived. */
  private latestProofAt = Number.NEGATIVE_INFINITY;
  /** Local time since which this host has held a valid proof without interruption. */
  private provedSince = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: AllowanceOwnerOptions) {}

  /** Grants up to `wanted` operations of a workspace at `now`. */
  grant(workspace: WorkspaceId, wanted: number, now: number): AllowanceReply {
    const { board, tolerance } = this.options;
    const limit = board.catalog?.workspaces.get(workspace)?.limit;
    const held = limit && this.allowanceOf(workspace, limit, now);
    if (limit === undefined || held === undefined) return NOT_HELD;
    const result = grantOperations(held.allowance, limit, tolerance, wanted, now);
    held.allowance = result.allowance;
    held.lastRequestAt = now;
    this.logLimitChange(workspace, held, result.granted === wanted);
    return { kept: true, granted: result.granted, retryAfterMs: result.retryAfterMs };
  }

  /**
   * Records a proof that arrived at `now`. After an interruption another host may have stood in, so the allowances
   * held before it are dropped.
   */
  noteProof(now: number): void {
    const { proofTtlMs } = this.options.authority;
    if (now - this.latestProofAt >= proofTtlMs) {
      this.owned.clear();
      this.provedSince = now;
    }
    this.latestProofAt = now;
  }

  /** Drops the allowances that the current host list assigns to other hosts, which grant operations from now on. */
  noteHosts(): void {
    const { board, directory } = this.options;
    for (const workspace of this.owned.keys()) {
      if (directory.ownersOf(workspace)[0] !== board.host) this.owned.delete(workspace);
    }
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.AllowanceRequest) return;
    const { id, workspace, wanted } = frame;
    const answer = this.grant(workspaceId(workspace), wanted, performance.now());
    link.send({ kind: FrameKind.AllowanceReply, id, ...answer });
  }

  onLost(): void {
    // Operations granted over a lost link count as used.
  }

  /** The allowance to grant from at `now`; undefined if another host has to grant. */
  private allowanceOf(
    workspace: WorkspaceId,
    limit: WorkspaceLimit,
    now: number,
  ): HeldAllowance | undefined {
    switch (this.roleFor(workspace, now)) {
      case Role.Owner: {
        const since = Math.max(this.options.directory.unchangedSince, this.provedSince);
        return this.getOrCreate(this.owned, workspace, () =>
          this.createAllowance(limit, since, now),
        );
      }
      case Role.StandIn: {
        const { proofTtlMs, marginMs } = this.options.authority;
        const held = this.standIns.get(workspace);
        const isExpired = held !== undefined && now - held.lastRequestAt > STAND_IN_IDLE_MS;
        if (isExpired) this.standIns.delete(workspace);
        const rateFrom = now + proofTtlMs + marginMs;
        return this.getOrCreate(this.standIns, workspace, () =>
          this.createAllowance(limit, rateFrom, now),
        );
      }
      case Role.None:
        return undefined;
    }
  }

  private getOrCreate(
    all: Map<WorkspaceId, HeldAllowance>,
    workspace: WorkspaceId,
    create: () => HeldAllowance,
  ): HeldAllowance {
    const held = all.get(workspace) ?? create();
    all.set(workspace, held);
    return held;
  }

  private createAllowance(limit: WorkspaceLimit, since: number, now: number): HeldAllowance {
    const allowance = initialAllowance(limit, this.options.tolerance, since);
    return { allowance, since, lastRequestAt: now, isBelowLimit: true };
  }

  /** Role of this host for a workspace; none while it is isolated, since others may have taken its place. */
  private roleFor(workspace: WorkspaceId, now: number): Role {
    const { board, directory, authority, isReachable } = this.options;
    if (board.isIsolated(now, authority)) return Role.None;
    const [owner, standIn] = directory.ownersOf(workspace);
    if (owner === board.host) return Role.Owner;
    if (standIn !== board.host || owner === undefined) return Role.None;
    return isReachable(owner, now) ? Role.None : Role.StandIn;
  }

  /** Logs when a workspace reaches its limit, and when it is below it again. */
  private logLimitChange(workspace: WorkspaceId, held: HeldAllowance, isBelowLimit: boolean): void {
    if (held.isBelowLimit === isBelowLimit) return;
    held.isBelowLimit = isBelowLimit;
    const { board, log } = this.options;
    log.info(isBelowLimit ? 'limit-left' : 'limit-reached', {
      workspace,
      catalog_version: board.catalog?.version,
      kept_ms: Math.round(held.lastRequestAt - held.since),
    });
  }
}
