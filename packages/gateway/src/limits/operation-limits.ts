/**
 * Admits operations of workspaces within their limits. Each asks the keeper of its workspace's
 * allowance first; operations that begin meanwhile share the next question.
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

/** Admits operations. */
export interface OperationLimits {
  /** Admits one operation that begins at `now`; else tells why not. */
  admit(workspace: Workspace, now: number): Promise<Refusal | undefined>;
  /** Gives back an operation that was admitted and of which nothing ran. */
  refund(workspace: Workspace, now: number): void;
}

/** Limits of a deployment without workspaces. */
export const UNLIMITED: OperationLimits = {
  admit: () => Promise.resolve(undefined),
  refund: () => undefined,
};

/** What the limits of a host work with. */
export interface FleetLimitsOptions {
  readonly board: GatewayBoard;
  readonly directory: Pick<AllowanceOwnerDirectory, 'ownersOf'>;
  readonly keeper: Pick<AllowanceOwner, 'ask'>;
  readonly calls: Pick<PeerCalls, 'request' | 'isReachable'>;
  readonly tolerance: LimitTolerance;
  readonly metrics: HostMetrics;
}

/**
 * Longest wait for the keeper, milliseconds: a host whose processor quota is spent answers in the next
 * tenth of a second, and what an operation waits is missing from its target latency.
 */
const ASK_TIMEOUT_MS = 120;
/**
 * Time for which nobody is asked after no keeper gave an answer, milliseconds. A keeper that is gone is
 * known to be silent after 200 ms, and its stand-in knows the same by then.
 */
const LOST_PAUSE_MS = 100;
/** Time for which an operation that was given back may be used for another one, milliseconds. */
const GIVEN_BACK_MS = 1000;
const MS_PER_SECOND = 1000;

type Settle = (refusal: Refusal | undefined) => void;

/** One workspace as this host sees it. */
interface Account {
  readonly share: LocalLimiter;
  /** Operations that wait for the keeper's word. */
  waiting: Settle[];
  asking: boolean;
  /** Local time before which the keeper grants nothing. */
  refusedUntil: number;
  /** Local time before which the keeper is not asked, since it gave no answer. */
  lostUntil: number;
  /** Local times until which operations that were given back count. */
  readonly givenBack: number[];
}

/** Limits over all hosts. */
export class FleetLimits implements OperationLimits {
  private readonly accounts = new Map<WorkspaceId, Account>();

  constructor(private readonly options: FleetLimitsOptions) {}

  admit(workspace: Workspace, now: number): Promise<Refusal | undefined> {
    const { id, limit } = workspace;
    if (limit === undefined) return Promise.resolve(undefined);
    const account = this.account(id);
    if (takeGivenBack(account, now)) return Promise.resolve(undefined);
    if (now < account.lostUntil) return Promise.resolve(this.admitAlone(id, account, now));
    if (now < account.refusedUntil) {
      return Promise.resolve(overLimit(id, account.refusedUntil - now));
    }
    return new Promise((resolve) => {
      account.waiting.push(resolve);
      if (!account.asking) void this.askForWaiting(id, account);
    });
  }

  refund({ id, limit }: Workspace, now: number): void {
    if (limit !== undefined) this.account(id).givenBack.push(now + GIVEN_BACK_MS);
  }

  private account(workspace: WorkspaceId): Account {
    const held = this.accounts.get(workspace);
    if (held !== undefined) return held;
    const account: Account = {
      share: new LocalLimiter(this.options.tolerance.windowS * MS_PER_SECOND),
      waiting: [],
      asking: false,
      refusedUntil: Number.NEGATIVE_INFINITY,
      lostUntil: Number.NEGATIVE_INFINITY,
      givenBack: [],
    };
    this.accounts.set(workspace, account);
    return account;
  }

  /** Asks until nobody waits any more; whoever waits behind a keeper that is lost waits no longer. */
  private async askForWaiting(workspace: WorkspaceId, account: Account): Promise<void> {
    account.asking = true;
    while (account.waiting.length > 0) {
      const asking = account.waiting;
      account.waiting = [];
      const answer = await this.ask(workspace, asking.length);
      const now = performance.now();
      if (answer !== undefined) settleBy(workspace, account, asking, answer, now);
      else this.settleAlone(workspace, account, [...asking, ...account.waiting.splice(0)], now);
    }
    account.asking = false;
  }

  /** Asks the keeper, and its stand-in if the keeper gives no answer. */
  private async ask(workspace: WorkspaceId, wanted: number): Promise<AllowanceReply | undefined> {
    const { board, directory, keeper } = this.options;
    for (const host of directory.ownersOf(workspace)) {
      const isOwn = host === board.host;
      const answer = isOwn
        ? keeper.ask(workspace, wanted, performance.now())
        : await this.askPeer(host, workspace, wanted);
      if (answer?.kept === true) return answer;
    }
    return undefined;
  }

  private async askPeer(
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
      ASK_TIMEOUT_MS,
    );
    const frame = answer.isOk() ? answer.value : undefined;
    return frame?.kind === FrameKind.AllowanceReply ? frame : undefined;
  }

  private settleAlone(
    workspace: WorkspaceId,
    account: Account,
    asking: readonly Settle[],
    now: number,
  ): void {
    account.lostUntil = now + LOST_PAUSE_MS;
    for (const settle of asking) settle(this.admitAlone(workspace, account, now));
  }

  /** Decides without the keeper. */
  private admitAlone(workspace: WorkspaceId, account: Account, now: number): Refusal | undefined {
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

/** Settles questions by what the keeper granted; the first ones go first. */
function settleBy(
  workspace: WorkspaceId,
  account: Account,
  asking: readonly Settle[],
  answer: AllowanceReply,
  now: number,
): void {
  const { granted, retryAfterMs } = answer;
  account.lostUntil = Number.NEGATIVE_INFINITY;
  account.refusedUntil = now + retryAfterMs;
  for (const [index, settle] of asking.entries()) {
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

function takeGivenBack(account: Account, now: number): boolean {
  const { givenBack } = account;
  while (givenBack.length > 0) {
    const until = givenBack.shift() ?? 0;
    if (until > now) return true;
  }
  return false;
}
