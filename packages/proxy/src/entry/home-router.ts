/**
 * Routes requests to a home of their group: in this process if this host is a home, otherwise over a
 * link. A request is sent to another home only if it certainly did not run at the previous one, or if
 * it is a read, which changes nothing.
 */
import type { Blackboard, GroupId, HostId, Member } from '@gladespool/coordination';
import {
  DEFAULT_RETRY_BUDGET,
  homesOf,
  RefusalReason,
  refuse,
  RetryLimiter,
  RetryReason,
  activeHosts,
  zonesOfGroup,
} from '@gladespool/coordination';
import type { HostMetrics } from '@gladespool/observability';
import { RunIntent } from '@gladespool/protocol';
import type { RequestRunner, RunOutcome, RunRequest } from '../home/run-request.js';
import type { RemoteHomes } from './remote-homes.js';

/** An outcome and the home that returned it. */
export interface RoutedOutcome {
  readonly outcome: RunOutcome;
  readonly home: HostId | undefined;
}

/** The homes in this process. */
export interface LocalHomes extends RequestRunner {
  abandon(group: GroupId, transaction: number): void;
}

/** Options of a router. */
export interface HomeRouterOptions {
  readonly board: Blackboard;
  readonly local: LocalHomes;
  readonly remote: RemoteHomes;
  readonly homesPerGroup: number;
  readonly metrics: HostMetrics;
}

/** Routes the requests of this host's sessions to homes. */
export class HomeRouter {
  private roundRobin = 0;
  private readonly retries = new RetryLimiter(DEFAULT_RETRY_BUDGET);

  constructor(private readonly options: HomeRouterOptions) {}

  /** Runs a request on a home; on `pinned` only, if given, because a transaction is open there. */
  async run(req: RunRequest, pinned: HostId | undefined): Promise<RoutedOutcome> {
    this.retries.recordRequest();
    if (pinned !== undefined) return this.runOn(req, pinned);
    let last = refusalOf(RefusalReason.NoHome);
    for (const home of this.candidates(req)) {
      last = await this.runOn(req, home);
      if (!isUnsent(last.outcome) && !isLostRead(req, last.outcome)) return last;
      if (!this.retries.tryAcquire()) return last;
      this.options.metrics.retries.inc({ reason: RetryReason.PeerUnreachable });
    }
    return last;
  }

  /** Notifies a home that the caller of an open transaction has disconnected. */
  abandon(req: Pick<RunRequest, 'group' | 'transaction'>, home: HostId): void {
    if (home === this.options.board.host) {
      this.options.local.abandon(req.group, req.transaction);
      return;
    }
    const member = this.member(home);
    if (member !== undefined) this.options.remote.abandon(member, req.group, req.transaction);
  }

  /** Returns homes in order of preference: those of this zone, then those of the group's other zones. */
  private candidates(req: RunRequest): readonly HostId[] {
    const { board, homesPerGroup } = this.options;
    const spec = board.spec(req.group);
    if (spec === undefined) return [];
    const zones = zonesOfGroup(spec);
    const near = zones.filter((az) => az === board.az);
    const far = zones.filter((az) => az !== board.az);
    this.roundRobin += 1;
    const perZone = [...near, ...far].map((az) => {
      const homes = homesOf(req.group, activeHosts(board.members, az), homesPerGroup);
      return rotate(homes, this.preferredIndex(homes));
    });
    return perZone.flat();
  }

  /** Index of this host if it is a home; otherwise round-robin over the homes. */
  private preferredIndex(homes: readonly HostId[]): number {
    const own = homes.indexOf(this.options.board.host);
    return own >= 0 ? own : this.roundRobin % Math.max(1, homes.length);
  }

  private async runOn(req: RunRequest, home: HostId): Promise<RoutedOutcome> {
    if (home === this.options.board.host) {
      return { outcome: await this.options.local.run(req), home };
    }
    const member = this.member(home);
    if (member === undefined) return refusalOf(RefusalReason.PeerUnreachable);
    return { outcome: await this.options.remote.run(member, req), home };
  }

  private member(home: HostId): Member | undefined {
    return this.options.board.members.find((member) => member.host === home);
  }
}

const UNSENT: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.PeerUnreachable,
  RefusalReason.NoHome,
  RefusalReason.Draining,
]);

function isUnsent(outcome: RunOutcome): boolean {
  return outcome.kind === 'refusal' && UNSENT.has(outcome.refusal.reason);
}

/** Whether the connection was lost during a read, which may be retried because it changes nothing. */
function isLostRead(req: RunRequest, outcome: RunOutcome): boolean {
  if (req.intent !== RunIntent.Read || outcome.kind !== 'refusal') return false;
  return outcome.refusal.reason === RefusalReason.UpstreamLostReading;
}

function rotate<Item>(items: readonly Item[], by: number): readonly Item[] {
  return [...items.slice(by), ...items.slice(0, by)];
}

function refusalOf(reason: RefusalReason): RoutedOutcome {
  return { outcome: { kind: 'refusal', refusal: refuse(reason) }, home: undefined };
}
