/**
 * Decides which host runs a session's work: this one if it is a home of the group, else a home of
 * the zone; for what needs a primary that this host can't reach, a host that does; and for what no
 * upstream lets this host in for, another home of the zone.
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

/** What the routing works with. */
export interface RoutedExecutorOptions {
  readonly board: GatewayBoard;
  readonly local: Executor;
  readonly home: (group: GroupId) => GroupHome;
  readonly calls: PeerCalls;
  readonly directory: HomeDirectory;
  readonly reach: ReachabilityReports;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  /** Local time at which this host started. */
  readonly startedAt: number;
}

/** Other hosts asked at most, before this host tries itself and again after it. */
const MAX_DETOURS = 2;
/** Time after its start for which a host leaves connections to homes, milliseconds: enough for these to open theirs. */
const LEAVE_TO_HOMES_MS = 1500;

/** Work that may be tried on one host after another. */
interface Attempt<Value> {
  readonly job: Job;
  /** Whether the primary alone can run it. */
  readonly onlyPrimary: boolean;
  on(executor: Executor): Promise<Value>;
  /** How an attempt ended; undefined when it opened a transaction. */
  outcomeOf(value: Value): Outcome | undefined;
}

/** How the last attempt on another host ended. */
interface Tried<Value> {
  readonly value: Value;
  /** Whether no other host could do better. */
  readonly isFinal: boolean;
}

/** Executor that knows the other hosts. */
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

  /** Tries hosts in turn as long as the work has certainly not run and another could do better. */
  private async route<Value>(attempt: Attempt<Value>): Promise<Value> {
    const { job } = attempt;
    const { group } = job.route;
    const now = performance.now();
    const goesToPrimary = attempt.onlyPrimary || this.lacksMark(job);
    const detours = this.reachable(job, this.detours(attempt, goesToPrimary, now), now);
    const first = await this.runElsewhere(attempt, detours);
    if (first?.isFinal === true) return first.value;
    if (first !== undefined && this.leavesToHomes(group, now)) return first.value;
    const own = await attempt.on(this.options.local);
    const outcome = attempt.outcomeOf(own);
    if (outcome === undefined || !couldGoElsewhere(outcome)) return own;
    const { reason } = outcome.refusal;
    const later = performance.now();
    const helpers = this.reachable(job, this.helpers(group, goesToPrimary, reason, later), later);
    const last = await this.runElsewhere(attempt, helpers);
    return last?.isFinal === true ? last.value : own;
  }

  /**
   * Whether this host, which is no home and has just started, opens no connection of its own where homes
   * stand near the upstreams. After a loss of all hosts each of them would open some, and an upstream that
   * serves so many at once serves none in time: 98 attempts on six primaries ran out of time within two
   * seconds, and nothing was served for three (61 hosts, killed at once).
   */
  private leavesToHomes(group: GroupId, now: number): boolean {
    const { directory, startedAt } = this.options;
    if (now - startedAt >= LEAVE_TO_HOMES_MS) return false;
    return isNearUpstreams(directory.plan(group)) && !directory.isHome(group);
  }

  /**
   * Without the hosts that don't answer, since work forwarded to them would wait for nothing, and without those
   * outside the regions that the data may be in.
   */
  private reachable(job: Job, peers: readonly PeerAddress[], now: number): readonly PeerAddress[] {
    const { calls } = this.options;
    const inside = peers.filter((peer) => this.isInside(job, peer));
    return inside.filter((peer) => calls.isReachable(peer, now)).slice(0, MAX_DETOURS);
  }

  private isInside({ regions }: Job, peer: PeerAddress): boolean {
    if (regions === undefined) return true;
    const { board } = this.options;
    const entry = board.hosts.get(peer.host as HostId);
    return entry !== undefined && isPermitted(entry.az, regions, board.topology);
  }

  /** Tries `peers` in turn until the work may have run or no other host could do better; undefined for none. */
  private async runElsewhere<Value>(
    attempt: Attempt<Value>,
    peers: readonly PeerAddress[],
  ): Promise<Tried<Value> | undefined> {
    let last: Tried<Value> | undefined;
    for (const peer of peers) {
      const value = await attempt.on(new RemoteExecutor(this.options.calls, peer));
      const outcome = attempt.outcomeOf(value);
      if (outcome === undefined || !couldGoElsewhere(outcome)) return { value, isFinal: true };
      this.noteFailed(attempt.job, peer, outcome.refusal.reason);
      last = { value, isFinal: false };
    }
    return last;
  }

  /**
   * Other hosts that may do what this one could not: those that reach the primary, or, when no upstream
   * let this host in, other homes. Upstreams are full for a while after hosts lost power, and who got in
   * first serves the others.
   */
  private helpers(
    group: GroupId,
    goesToPrimary: boolean,
    reason: RefusalReason,
    now: number,
  ): readonly PeerAddress[] {
    const { directory } = this.options;
    const reaching = goesToPrimary ? this.reachingPrimary(group, now) : [];
    if (reaching.length > 0) return this.addresses(reaching);
    if (reason !== RefusalReason.UpstreamUnreachable) return [];
    // A host that is no home has asked homes already, before it tried itself.
    const near = directory.isHome(group) ? this.homesOfZone(group) : [];
    return this.addresses([
      ...near,
      ...directory.homesInOtherZones(group, this.options.board.host),
    ]);
  }

  /** Homes of the own zone but this host. */
  private homesOfZone(group: GroupId): readonly HostId[] {
    const { board, directory } = this.options;
    return directory.homesInZone(group, board.host).filter((host) => host !== board.host);
  }

  private noteFailed(job: Job, peer: PeerAddress, reason: RefusalReason): void {
    const { metrics, log, reach } = this.options;
    const { group } = job.route;
    metrics.retries.inc({ reason: RetryReason.PeerUnreachable });
    log.info('detour-failed', { request: job.id, group, via: peer.host, reason });
    reach.remove(group, peer.host as HostId);
  }

  /** Other hosts to ask first, the best one first; none when this host does it itself. */
  private detours(
    { job, onlyPrimary }: Pick<Attempt<unknown>, 'job' | 'onlyPrimary'>,
    goesToPrimary: boolean,
    now: number,
  ): readonly PeerAddress[] {
    const { directory } = this.options;
    const { group } = job.route;
    const reaching = goesToPrimary ? this.reachingPrimary(group, now) : [];
    if (reaching.length > 0) return this.addresses(reaching);
    return this.addresses(directory.preferredHomes(group, job.workspace, onlyPrimary));
  }

  /** Hosts that are known to reach the primary while this one misses it. */
  private reachingPrimary(group: GroupId, now: number): readonly HostId[] {
    const { reach } = this.options;
    const home = this.options.home(group);
    return home.isPrimaryUnreachable(now)
      ? reach.hostsReaching(group, home.record?.epoch, now)
      : [];
  }

  private addresses(hosts: readonly HostId[]): readonly PeerAddress[] {
    const { board } = this.options;
    return hosts.map((host) => board.hosts.get(host)).filter((entry) => entry !== undefined);
  }

  /** Whether this host knows no position behind which a replica could run the read. */
  private lacksMark(job: Job): boolean {
    const { marks } = this.options.home(job.route.group);
    return marks.oldestSince(job.beganAt - job.route.maxStalenessMs) === undefined;
  }
}

function readsOnlyPrimary({ route }: Job): boolean {
  return route.consistency === Consistency.Primary;
}

/** Refusals by which an upstream or its queue is known to be full: another host would only add to that. */
const FULL: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.ExpectedWait,
  RefusalReason.QueueFull,
  RefusalReason.DeadlineBeforeRun,
]);

/** Whether the work has certainly not run, for a reason that another host may not have. */
function couldGoElsewhere(
  outcome: Outcome,
): outcome is Extract<Outcome, { readonly kind: 'refused' }> {
  if (outcome.kind !== 'refused') return false;
  const { reason } = outcome.refusal;
  if (FULL.has(reason) || isExclusion(reason)) return false;
  return executionStatusOf(outcome.refusal) === ExecutionStatus.No;
}
