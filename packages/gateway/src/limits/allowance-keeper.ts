/**
 * Keeps the allowances of the workspaces that fall to this host, for all hosts.
 */
import type {
  Allowance,
  AuthorityRules,
  LimitTolerance,
  WorkspaceId,
} from '@gladespool/coordination';
import { begunAllowance, grantOperations, workspaceId } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard } from '../board.js';
import type { KeeperDirectory } from './keeper-directory.js';

/** What a keeper works on. */
export interface AllowanceKeeperOptions {
  readonly board: GatewayBoard;
  readonly directory: KeeperDirectory;
  readonly tolerance: LimitTolerance;
  readonly authority: AuthorityRules;
  readonly log: Logger;
}

/** Answer to a question for operations. */
export interface KeeperAnswer {
  /** Whether this host keeps the allowance; if not, the rest tells nothing. */
  readonly kept: boolean;
  readonly granted: number;
  /** When the next operation will be granted, milliseconds from now. */
  readonly retryAfterMs: number;
}

interface Kept {
  allowance: Allowance;
  /** Local time since which it has been kept here. */
  readonly since: number;
  /** Whether the latest question was granted in full. */
  isOpen: boolean;
}

const NOT_KEPT: KeeperAnswer = { kept: false, granted: 0, retryAfterMs: 0 };

/** Keeper of one host. */
export class AllowanceKeeper implements PeerHandler {
  private readonly kept = new Map<WorkspaceId, Kept>();

  constructor(private readonly options: AllowanceKeeperOptions) {}

  /** Grants up to `wanted` operations of a workspace at `now`. */
  ask(workspace: WorkspaceId, wanted: number, now: number): KeeperAnswer {
    const { board, tolerance, directory } = this.options;
    const limit = board.catalog?.workspaces.get(workspace)?.limit;
    if (limit === undefined || !this.mayKeep(workspace, now)) return NOT_KEPT;
    const held = this.kept.get(workspace);
    const begun = { allowance: begunAllowance(limit, tolerance, directory.since) };
    const kept = held ?? { ...begun, since: directory.since, isOpen: true };
    const grant = grantOperations(kept.allowance, limit, tolerance, wanted, now);
    kept.allowance = grant.allowance;
    this.kept.set(workspace, kept);
    this.noteChange(workspace, kept, grant.granted === wanted);
    return { kept: true, granted: grant.granted, retryAfterMs: grant.retryAfterMs };
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.AllowanceAsk) return;
    const { id, workspace, wanted } = frame;
    const answer = this.ask(workspaceId(workspace), wanted, performance.now());
    link.send({ kind: FrameKind.AllowanceReply, id, ...answer });
  }

  onLost(): void {
    // What was granted over a lost link counts as used.
  }

  /** A host that is cut off keeps nothing: the others may have taken its place. */
  private mayKeep(workspace: WorkspaceId, now: number): boolean {
    const { board, directory, authority } = this.options;
    const mayKeep =
      directory.keeperOf(workspace) === board.host && !board.isIsolated(now, authority);
    if (!mayKeep) this.kept.delete(workspace);
    return mayKeep;
  }

  /** One line when a workspace reaches its limit and one when it is below it again. */
  private noteChange(workspace: WorkspaceId, kept: Kept, isOpen: boolean): void {
    if (kept.isOpen === isOpen) return;
    kept.isOpen = isOpen;
    const { board, log } = this.options;
    log.info(isOpen ? 'limit-left' : 'limit-reached', {
      workspace,
      catalog_version: board.catalog?.version,
      kept_ms: Math.round(performance.now() - kept.since),
    });
  }
}
