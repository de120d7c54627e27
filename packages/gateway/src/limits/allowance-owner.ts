/**
 * Keeps the allowances of the workspaces that fall to this host, for all hosts, and stands in for keepers
 * of other zones that it does not reach. A stand-in begins with a part of the tolerance, and grants the
 * rate once the keeper, if it is cut off, has surely stopped: a host without a proof keeps nothing.
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

/** What a keeper works on. */
export interface AllowanceOwnerOptions {
  readonly board: GatewayBoard;
  readonly directory: Pick<AllowanceOwnerDirectory, 'ownersOf' | 'unchangedSince'>;
  /** Whether another host answers this one, as far as is known at `now`. */
  readonly isReachable: (host: HostId, now: number) => boolean;
  readonly tolerance: LimitTolerance;
  readonly authority: AuthorityRules;
  readonly log: Logger;
}

/** Answer to a question for operations. */
export interface AllowanceReply {
  /** Whether this host keeps the allowance; if not, the rest tells nothing. */
  readonly kept: boolean;
  readonly granted: number;
  /** When the next operation will be granted, milliseconds from now. */
  readonly retryAfterMs: number;
}

interface Kept {
  allowance: Allowance;
  /** Local time from which the rate is granted here. */
  readonly since: number;
  lastAskedAt: number;
  /** Whether the latest question was granted in full. */
  isOpen: boolean;
}

/** What a host is for an allowance. */
enum Role {
  Owner = 'keeper',
  StandIn = 'stand-in',
  None = 'none',
}

/** Time without a question after which a stand-in begins anew, milliseconds: longer than any window. */
const STAND_IN_REST_MS = 10_000;

const NOT_KEPT: AllowanceReply = { kept: false, granted: 0, retryAfterMs: 0 };

/** Keeper of one host. */
export class AllowanceOwner implements PeerHandler {
  private readonly kept = new Map<WorkspaceId, Kept>();
  private readonly stoodIn = new Map<WorkspaceId, Kept>();
  /** Local time of the latest proof. */
  private provedAt = Number.NEGATIVE_INFINITY;
  /** Local time since which this host has had proofs without a gap. */
  private provenSince = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: AllowanceOwnerOptions) {}

  /** Grants up to `wanted` operations of a workspace at `now`. */
  ask(workspace: WorkspaceId, wanted: number, now: number): AllowanceReply {
    const { board, tolerance } = this.options;
    const limit = board.catalog?.workspaces.get(workspace)?.limit;
    const kept = limit && this.allowanceOf(workspace, limit, now);
    if (limit === undefined || kept === undefined) return NOT_KEPT;
    const grant = grantOperations(kept.allowance, limit, tolerance, wanted, now);
    kept.allowance = grant.allowance;
    kept.lastAskedAt = now;
    this.noteChange(workspace, kept, grant.granted === wanted);
    return { kept: true, granted: grant.granted, retryAfterMs: grant.retryAfterMs };
  }

  /**
   * Notes a proof that came at `now`. After a gap another host may have stood in, and what was kept before
   * is forgotten.
   */
  noteProof(now: number): void {
    const { proofTtlMs } = this.options.authority;
    if (now - this.provedAt >= proofTtlMs) {
      this.kept.clear();
      this.provenSince = now;
    }
    this.provedAt = now;
  }

  /** Forgets allowances that other hosts keep by the hosts listed now; they grant what has been granted here. */
  noteHosts(): void {
    const { board, directory } = this.options;
    for (const workspace of this.kept.keys()) {
      if (directory.ownersOf(workspace)[0] !== board.host) this.kept.delete(workspace);
    }
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.AllowanceRequest) return;
    const { id, workspace, wanted } = frame;
    const answer = this.ask(workspaceId(workspace), wanted, performance.now());
    link.send({ kind: FrameKind.AllowanceReply, id, ...answer });
  }

  onLost(): void {
    // What was granted over a lost link counts as used.
  }

  /** The allowance to grant from at `now`; undefined when others have to. */
  private allowanceOf(
    workspace: WorkspaceId,
    limit: WorkspaceLimit,
    now: number,
  ): Kept | undefined {
    switch (this.roleFor(workspace, now)) {
      case Role.Owner: {
        const since = Math.max(this.options.directory.unchangedSince, this.provenSince);
        return this.held(this.kept, workspace, () => this.begin(limit, since, now));
      }
      case Role.StandIn: {
        const { proofTtlMs, marginMs } = this.options.authority;
        const held = this.stoodIn.get(workspace);
        const isOver = held !== undefined && now - held.lastAskedAt > STAND_IN_REST_MS;
        if (isOver) this.stoodIn.delete(workspace);
        const from = now + proofTtlMs + marginMs;
        return this.held(this.stoodIn, workspace, () => this.begin(limit, from, now));
      }
      case Role.None:
        return undefined;
    }
  }

  private held(all: Map<WorkspaceId, Kept>, workspace: WorkspaceId, begin: () => Kept): Kept {
    const kept = all.get(workspace) ?? begin();
    all.set(workspace, kept);
    return kept;
  }

  private begin(limit: WorkspaceLimit, since: number, now: number): Kept {
    const allowance = initialAllowance(limit, this.options.tolerance, since);
    return { allowance, since, lastAskedAt: now, isOpen: true };
  }

  /** A host that is cut off keeps nothing: the others may have taken its place. */
  private roleFor(workspace: WorkspaceId, now: number): Role {
    const { board, directory, authority, isReachable } = this.options;
    if (board.isIsolated(now, authority)) return Role.None;
    const [keeper, standIn] = directory.ownersOf(workspace);
    if (keeper === board.host) return Role.Owner;
    if (standIn !== board.host || keeper === undefined) return Role.None;
    return isReachable(keeper, now) ? Role.None : Role.StandIn;
  }

  /** One line when a workspace reaches its limit and one when it is below it again. */
  private noteChange(workspace: WorkspaceId, kept: Kept, isOpen: boolean): void {
    if (kept.isOpen === isOpen) return;
    kept.isOpen = isOpen;
    const { board, log } = this.options;
    log.info(isOpen ? 'limit-left' : 'limit-reached', {
      workspace,
      catalog_version: board.catalog?.version,
      kept_ms: Math.round(kept.lastAskedAt - kept.since),
    });
  }
}
