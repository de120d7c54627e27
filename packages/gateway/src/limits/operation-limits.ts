/**
 * Admits operations of workspaces within their rate limits. Each operation is first requested from the owner, the
 * host that holds the workspace's allowance. Operations that begin while a request is pending share the next one.
 */
import type {
  HostId,
  LimitTolerance,
  Refusal,
  Workspace,
  WorkspaceId,
} from '@gladespool/coordination';
import { LocalLimiter, refuse, RefusalReason } from '@gladespool/coordination';
import type { HostMetrics } from '@gladespool/observability';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard } from '../knowledge/board.js';
import type { PeerCalls } from '../peering/peer-calls.js';
import type { AllowanceOwner, AllowanceReply } from './allowance-owner.js';
import type { AllowanceOwnerDirectory } from '../knowledge/allowance-owner-directory.js';

/** Rate limits of workspaces. */
export interface OperationLimits {
  /** Admits one operation that begins at `now`; returns the refusal if it is over the limit, else undefined. */
  admit(workspace: Workspace, now: number): Promise<Refusal | undefined>;
  /** Refunds an admitted operation of which nothing ran. */
  refund(workspace: Workspace, now: number): void;
}

/** Limits of a deployment without workspaces: everything is admitted. */
export const UNLIMITED: OperationLimits = {
  admit: () => Promise.resolve(undefined),
  refund: () => undefined,
};

/** Dependencies and settings of the limits of a host. */
export interface FleetLimitsOptions {
  readonly board: GatewayBoard;
  readonly directory: Pick<AllowanceOwnerDirectory, 'ownersOf'>;
  readonly keeper: Pick<AllowanceOwner, 'grant'>;
  readonly calls: Pick<PeerCalls, 'request' | 'isReachable'>;
  readonly tolerance: LimitTolerance;
  readonly metrics: HostMetrics;
}

/**
 * Timeout of a request to the owner, milliseconds: a host that has used up its CPU quota answers within the next
 * 100 ms, and the wait is at the expense of the operation's target latency.
 */
const REQUEST_TIMEOUT_MS = 120;
/**
 * Time for which no request is sent after neither the owner nor its stand-in has answered, milliseconds. A stopped
 * owner is detected as unreachable after 200 ms, by this host and by the stand-in.
 */
const NO_OWNER_PAUSE_MS = 100;
/** Time for which a refunded operation may be used for another one, milliseconds. */
const REFUND_TTL_MS = 1000;
const MS_PER_SECOND = 1000;

type Settle = (refusal: Refusal | undefined) => void;

/** State of one workspace on this host. */
interface Account {
  readonly share: LocalLimiter;
  /** Operations that wait for the answer of the owner. */
  waiting: Settle[];
  isRequesting: boolean;
  /** Local time until which the owner grants nothing. */
  refusedUntil: number;
  /** Local time until which no request is sent, because no owner has answered. */
  noOwnerUntil: number;
  /** Local times at which the refunded operations expire. */
  readonly refunds: number[];
}

/** Rate limits that are enforced over all hosts together. */
export class FleetLimits implements OperationLimits {
  private readonly accounts = new Map<WorkspaceId, Account>();

  constructor(private readonly options: FleetLimitsOptions) {}

  admit(workspace: Workspace, now: number): Promise<Refusal | undefined> {
    const { id, limit } = workspace;
    if (limit === undefined) return Promise.resolve(undefined);
    const account = this.account(id);
    if (takeRefund(account, now)) return Promise.resolve(undefined);
    if (now < account.noOwnerUntil) return Promise.resolve(this.admitLocally(id, account, now));
    if (now < account.refusedUntil) {
      return Promise.resolve(overLimit(id, account.refusedUntil - now));
    }
    return new Promise((resolve) => {
      account.waiting.push(resolve);
      if (!account.isRequesting) void this.requestForWaiting(id, account);
    });
  }

  refund({ id, limit }: Workspace, now: number): void {
    if (limit !== undefined) this.account(id).refunds.push(now + REFUND_TTL_MS);
  }

  private account(workspace: WorkspaceId): Account {
    const held = this.accounts.get(workspace);
    if (held !== undefined) return held;
    const account: Account = {
      share: new LocalLimiter(this.options.tolerance.windowS * MS_PER_SECOND),
      waiting: [],
      isRequesting: false,
      refusedUntil: Number.NEGATIVE_INFINITY,
      noOwnerUntil: Number.NEGATIVE_INFINITY,
      refunds: [],
    };
    this.accounts.set(workspace, account);
    return account;
  }

  /** Sends requests until no operation waits; if no owner answers, all that wait by then are decided locally. */
  private async requestForWaiting(workspace: WorkspaceId, account: Account): Promise<void> {
    account.isRequesting = true;
    while (account.waiting.length > 0) {
      const waiting = account.waiting;
      account.waiting = [];
      const answer = await this.request(workspace, waiting.length);
      const now = performance.now();
      if (answer !== undefined) settleWithGrant(workspace, account, waiting, answer, now);
      else this.settleLocally(workspace, account, [...waiting, ...account.waiting.splice(0)], now);
    }
    account.isRequesting = false;
  }

  /** Requests operations from the owner, and from its stand-in if the owner does not grant. */
  private async request(
    workspace: WorkspaceId,
    wanted: number,
  ): Promise<AllowanceReply | undefined> {
    const { board, directory, keeper } = this.options;
    for (const host of directory.ownersOf(workspace)) {
      const isOwn = host === board.host;
      const answer = isOwn
        ? keeper.grant(workspace, wanted, performance.now())
        : await this.requestFromPeer(host, workspace, wanted);
      if (answer?.kept === true) return answer;
    }
    return undefined;
  }

  private async requestFromPeer(
    host: HostId,
    workspace: WorkspaceId,
    wanted: number,
  ): Promise<AllowanceReply | undefined> {
    const { board, calls } = this.options;
    const peer = board.hosts.get(host);
    if (peer === undefined || !calls.isReachable(peer, performance.now())) return undefined;
    const answer = await calls.request(
      peer,
      (id) => ({ kind: FrameKind.AllowanceRequest, id, workspace, wanted }),
      REQUEST_TIMEOUT_MS,
    );
    const frame = answer.isOk() ? answer.value : undefined;
    return frame?.kind === FrameKind.AllowanceReply ? frame : undefined;
  }

  private settleLocally(
    workspace: WorkspaceId,
    account: Account,
    waiting: readonly Settle[],
    now: number,
  ): void {
    account.noOwnerUntil = now + NO_OWNER_PAUSE_MS;
    for (const settle of waiting) settle(this.admitLocally(workspace, account, now));
  }

  /** Decides locally, while no owner answers. */
  private admitLocally(workspace: WorkspaceId, account: Account, now: number): Refusal | undefined {
    const { metrics, board } = this.options;
    const [host] = this.options.directory.ownersOf(workspace);
    metrics.localLimitDecisions.inc();
    if (account.share.canAdmit(now)) {
      account.share.recordAdmission(now);
      return undefined;
    }
    const detail = `workspace=${workspace} keeper=${host ?? '-'} unreachable from ${board.host}`;
    return refuse(RefusalReason.OverLimit, detail);
  }
}

/** Admits as many of the waiting operations as the owner granted, in order of arrival, and refuses the others. */
function settleWithGrant(
  workspace: WorkspaceId,
  account: Account,
  waiting: readonly Settle[],
  answer: AllowanceReply,
  now: number,
): void {
  const { granted, retryAfterMs } = answer;
  account.noOwnerUntil = Number.NEGATIVE_INFINITY;
  account.refusedUntil = now + retryAfterMs;
  for (const [index, settle] of waiting.entries()) {
    if (index >= granted) {
      settle(overLimit(workspace, retryAfterMs));
      continue;
    }
    account.share.recordAdmission(now);
    settle(undefined);
  }
}

function overLimit(workspace: WorkspaceId, waitMs: number): Refusal {
  const refusal = refuse(RefusalReason.OverLimit, `workspace=${workspace}`);
  return { ...refusal, retryAfterMs: Math.max(1, Math.ceil(waitMs)) };
}

function takeRefund(account: Account, now: number): boolean {
  const { refunds } = account;
  while (refunds.length > 0) {
    const expiresAt = refunds.shift() ?? 0;
    if (expiresAt > now) return true;
  }
  return false;
}
