/**
 * Decides which host runs a session's work: this one if it is a home of the group, else a home of its zone. Work
 * that needs a primary which this host cannot reach is forwarded to a host that reaches it. Work for which no
 * upstream accepts a connection from this host is forwarded to another home.
 */
import type { GroupId, HostId } from '@gladespool/coordination';
import {
  Access,
  Consistency,
  isNearUpstreams,
  isPermitted,
  ExecutionStatus,
  executionStatusOf,
  RefusalReason,
  RetryReason,
} from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { PeerAddress } from '@gladespool/peers';
import type { Result } from 'neverthrow';
import type { GatewayBoard } from '../knowledge/board.js';
import type { PeerCalls } from '../peering/peer-calls.js';
import type { BeginJob, Executor, Job, OpenTransaction, StatementJob } from '../home/job.js';
import type { GroupHome } from '../home/group-home.js';
import { isExclusion } from '../home/upstream-exclusion.js';
import type { Outcome } from '../model/outcome.js';
import { accessOf } from '../model/statement.js';
import type { HomeDirectory } from '../knowledge/home-directory.js';
import type { ReachabilityReports } from '../knowledge/reachability-reports.js';
import { RemoteExecutor } from './remote-executor.js';

/** Dependencies of the routing. */
export interface RoutedExecutorOptions {
  readonly board: GatewayBoard;
  readonly local: Executor;
  readonly home: (group: GroupId) => GroupHome;
  readonly calls: PeerCalls;
  readonly directory: HomeDirectory;
  readonly reachability: ReachabilityReports;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  /** Local time at which this host started. */
  readonly startedAt: number;
}

/** Maximum number of other hosts tried before the local attempt, and again after it. */
const MAX_PEERS_TRIED = 2;
/**
 * Time after its start for which a host that is not a home opens no upstream connections, milliseconds: long enough
 * for the homes to open theirs.
 */
const HOMES_FIRST_MS = 1500;

/** Work that can be tried on one host after another. */
interface Attempt<Value> {
  readonly job: Job;
  /** Whether only the primary can run it. */
  readonly onlyPrimary: boolean;
  on(executor: Executor): Promise<Value>;
  /** Outcome of an attempt; undefined if it opened a transaction. */
  outcomeOf(value: Value): Outcome | undefined;
}

/** Result of the last attempt on another host. */
interface PeerResult<Value> {
  readonly value: Value;
  /** Whether the work is not to be tried on another host. */
  readonly isFinal: boolean;
}

/** Executor that runs work locally or forwards it to other hosts. */
export class RoutedExecutor implements Executor {
  constructor(private readonly options: RoutedExecutorOptions) {}

  run(job: StatementJob): Promise<Outcome> {
    return this.route({
      job,
      onlyPrimary: accessOf(job.work) === Access.Write || readsOnlyPrimary(job),
      on: (executor) => executor.run(job),
      outcomeOf: (outcome) => outcome,
    });
  }

  begin(job: BeginJob): Promise<Result<OpenTransaction, Outcome>> {
    return this.route({
      job,
      onlyPrimary: !job.readOnly || readsOnlyPrimary(job),
      on: (executor) => executor.begin(job),
      outcomeOf: (opened) => (opened.isErr() ? opened.error : undefined),
    });
  }

  /** Tries one host after another, as long as the work has certainly not run and another host might succeed. */
  private async route<Value>(attempt: Attempt<Value>): Promise<Value> {
    const { job } = attempt;
    const { group } = job.route;
    const now = performance.now();
    const goesToPrimary = attempt.onlyPrimary || this.lacksWatermark(job);
    const preferred = this.usablePeers(job, this.preferredPeers(attempt, goesToPrimary, now), now);
    const first = await this.tryPeers(attempt, preferred);
    if (first?.isFinal === true) return first.value;
    if (first !== undefined && this.mustLeaveToHomes(group, now)) return first.value;
    const own = await attempt.on(this.options.local);
    const outcome = attempt.outcomeOf(own);
    if (outcome === undefined || !mayRunElsewhere(outcome)) return own;
    const { reason } = outcome.refusal;
    const later = performance.now();
    const fallbacks = this.usablePeers(
      job,
      this.fallbackPeers(group, goesToPrimary, reason, later),
      later,
    );
    const last = await this.tryPeers(attempt, fallbacks);
    return last?.isFinal === true ? last.value : own;
  }

  /**
   * Whether this host is not a home, has just started, and the homes are near the upstreams: it then opens no
   * upstream connections of its own. When all hosts restart at once, each would open some, and an upstream that has
   * to accept so many at once serves none in time.
   */
  private mustLeaveToHomes(group: GroupId, now: number): boolean {
    const { directory, startedAt } = this.options;
    if (now - startedAt >= HOMES_FIRST_MS) return false;
    return isNearUpstreams(directory.plan(group)) && !directory.isHome(group);
  }

  /**
   * Filters out hosts that do not answer, since work forwarded to them would only time out, and hosts outside the
   * regions in which the data may be stored.
   */
  private usablePeers(
    job: Job,
    peers: readonly PeerAddress[],
    now: number,
  ): readonly PeerAddress[] {
    const { calls } = this.options;
    const inside = peers.filter((peer) => this.isInPermittedRegion(job, peer));
    return inside.filter((peer) => calls.isReachable(peer, now)).slice(0, MAX_PEERS_TRIED);
  }

  private isInPermittedRegion({ regions }: Job, peer: PeerAddress): boolean {
    if (regions === undefined) return true;
    const { board } = this.options;
    const entry = board.hosts.get(peer.host as HostId);
    return entry !== undefined && isPermitted(entry.az, regions, board.topology);
  }

  /** Tries `peers` in turn until the work may have run or no other host might succeed; undefined without peers. */
  private async tryPeers<Value>(
    attempt: Attempt<Value>,
    peers: readonly PeerAddress[],
  ): Promise<PeerResult<Value> | undefined> {
    let last: PeerResult<Value> | undefined;
    for (const peer of peers) {
      const value = await attempt.on(new RemoteExecutor(this.options.calls, peer));
      const outcome = attempt.outcomeOf(value);
      if (outcome === undefined || !mayRunElsewhere(outcome)) return { value, isFinal: true };
      this.recordFailure(attempt.job, peer, outcome.refusal.reason);
      last = { value, isFinal: false };
    }
    return last;
  }

  /**
   * Other hosts to try after the local attempt failed: those that reach the primary, or other homes if no upstream
   * accepted a connection. After a power loss of hosts, upstreams are at their connection limit for a while, and the
   * homes that connected first serve the other hosts.
   */
  private fallbackPeers(
    group: GroupId,
    goesToPrimary: boolean,
    reason: RefusalReason,
    now: number,
  ): readonly PeerAddress[] {
    const { directory } = this.options;
    const reaching = goesToPrimary ? this.hostsReachingPrimary(group, now) : [];
    if (reaching.length > 0) return this.addresses(reaching);
    if (reason !== RefusalReason.UpstreamUnreachable) return [];
    // A host that is not a home has tried homes already, before the local attempt.
    const near = directory.isHome(group) ? this.homesOfZone(group) : [];
    return this.addresses([
      ...near,
      ...directory.homesInOtherZones(group, this.options.board.host),
    ]);
  }

  /** Homes of this host's zone, without this host. */
  private homesOfZone(group: GroupId): readonly HostId[] {
    const { board, directory } = this.options;
    return directory.homesInZone(group, board.host).filter((host) => host !== board.host);
  }

  private recordFailure(job: Job, peer: PeerAddress, reason: RefusalReason): void {
    const { metrics, log, reachability } = this.options;
    const { group } = job.route;
    metrics.retries.inc({ reason: RetryReason.PeerUnreachable });
    log.info('detour-failed', { request: job.id, group, via: peer.host, reason });
    reachability.remove(group, peer.host as HostId);
  }

  /** Other hosts to try before the local attempt, best first; none if this host runs the work itself. */
  private preferredPeers(
    { job, onlyPrimary }: Pick<Attempt<unknown>, 'job' | 'onlyPrimary'>,
    goesToPrimary: boolean,
    now: number,
  ): readonly PeerAddress[] {
    const { directory } = this.options;
    const { group } = job.route;
    const reaching = goesToPrimary ? this.hostsReachingPrimary(group, now) : [];
    if (reaching.length > 0) return this.addresses(reaching);
    return this.addresses(directory.preferredHomes(group, job.workspace, onlyPrimary));
  }

  /** Hosts that are known to reach the primary while this host does not. */
  private hostsReachingPrimary(group: GroupId, now: number): readonly HostId[] {
    const { reachability } = this.options;
    const home = this.options.home(group);
    return home.isPrimaryUnreachable(now)
      ? reachability.hostsReaching(group, home.record?.epoch, now)
      : [];
  }

  private addresses(hosts: readonly HostId[]): readonly PeerAddress[] {
    const { board } = this.options;
    return hosts.map((host) => board.hosts.get(host)).filter((entry) => entry !== undefined);
  }

  /** Whether this host has no watermark recent enough to run the read on a replica. */
  private lacksWatermark(job: Job): boolean {
    const { marks } = this.options.home(job.route.group);
    return marks.oldestSince(job.beganAt - job.route.maxStalenessMs) === undefined;
  }
}

function readsOnlyPrimary({ route }: Job): boolean {
  return route.consistency === Consistency.Primary;
}

/** Refusals because an upstream or its queue is full; forwarding to another host would only add to the load. */
const FULL_UPSTREAM_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.ExpectedWait,
  RefusalReason.QueueFull,
  RefusalReason.DeadlineBeforeRun,
]);

/** Whether the work has certainly not run, for a reason that may not apply to another host. */
function mayRunElsewhere(
  outcome: Outcome,
): outcome is Extract<Outcome, { readonly kind: 'refused' }> {
  if (outcome.kind !== 'refused') return false;
  const { reason } = outcome.refusal;
  if (FULL_UPSTREAM_REASONS.has(reason) || isExclusion(reason)) return false;
  return executionStatusOf(outcome.refusal) === ExecutionStatus.No;
}
