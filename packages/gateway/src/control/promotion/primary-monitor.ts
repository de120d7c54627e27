/**
 * Monitors whether this host reaches the primaries: by the replies to callers' statements, and by probes while
 * there are none.
 */
import type { GroupId, Position, PrimaryRecord } from '@gladespool/coordination';
import { Consistency, receivesNewWork, RecordPhase } from '@gladespool/coordination';
import { DepositionEvidence } from '@gladespool/observability';
import type { GatewayBoard } from '../../knowledge/board.js';
import type { HomeDirectory } from '../../knowledge/home-directory.js';
import type { GroupHome } from '../../home/group-home.js';
import type { UpstreamHealth } from '../../home/upstream-health.js';
import type { ProbeResult, StatusResult, UpstreamProbe } from '../../home/upstream-probe.js';

/** Timing of the monitor. */
export interface MonitorRules {
  /** Time without a reply, with statements in flight, after which a probe is sent, milliseconds. */
  readonly probeAfterMs: number;
  /** The same with nothing in flight, on the first host of the failover order, milliseconds. */
  readonly idleProbeAfterMs: number;
  /** Timeout of a probe, milliseconds. */
  readonly probeTimeoutMs: number;
  /** Age up to which a reply or a failure shows whether the primary is reached, milliseconds. */
  readonly maxEvidenceAgeMs: number;
}

/** In simulated traffic replies take 35 ms at the median and 160 ms at the 99th percentile; 200 ms exceeds both. */
export const DEFAULT_MONITOR_RULES: MonitorRules = {
  probeAfterMs: 200,
  idleProbeAfterMs: 1000,
  probeTimeoutMs: 200,
  maxEvidenceAgeMs: 200,
};

/**
 * Interval between two watermarks of a primary that receives no new work, as a share of the maximum staleness of a
 * read: replicas have the rest of it to receive the position.
 */
const WATERMARK_SHARE = 1 / 3;

/** Dependencies of the monitor. */
export interface PrimaryMonitorOptions {
  readonly board: GatewayBoard;
  readonly directory: HomeDirectory;
  readonly home: (group: GroupId) => GroupHome;
  readonly probe: UpstreamProbe;
  readonly rules: MonitorRules;
}

/** Reachability of the primaries from this host. */
export class PrimaryMonitor {
  private readonly probing = new Map<GroupId, Promise<boolean | undefined>>();
  /** Local time at which the latest probe was sent. */
  private readonly probedAt = new Map<GroupId, number>();

  constructor(private readonly options: PrimaryMonitorOptions) {}

  /** Sends the probes that are due at `now`; idle groups are probed only where this host `actsFirst`. */
  tick(now: number, actsFirst: (group: GroupId) => boolean): void {
    const { board, rules } = this.options;
    for (const record of board.allRecords) {
      const health = this.healthOf(record.group);
      if (health === undefined) continue;
      const sinceReplyMs = now - health.lastAnswerAt;
      const isWaiting = health.inFlight > 0 && sinceReplyMs > rules.probeAfterMs;
      const isIdle = sinceReplyMs > rules.idleProbeAfterMs && actsFirst(record.group);
      const failing = health.failingSince ?? this.deposedSince(record.group);
      const needsProbe = isWaiting || isIdle || failing !== undefined;
      if (needsProbe || this.needsWatermark(record, now)) void this.probe(record.group);
    }
  }

  /**
   * Whether bounded reads need a watermark of a primary that receives no new work: no statement asks it for its
   * position any more.
   */
  private needsWatermark({ group, primary, phase }: PrimaryRecord, now: number): boolean {
    const { board, directory, home } = this.options;
    if (phase !== RecordPhase.Serving || !directory.isHome(group)) return false;
    if (receivesNewWork(board.departures.get(primary), now)) return false;
    const newestAt = home(group).marks.newest?.sentAt ?? Number.NEGATIVE_INFINITY;
    const probedAt = this.probedAt.get(group) ?? Number.NEGATIVE_INFINITY;
    const intervalMs = shortestStalenessMs(board, group) * WATERMARK_SHARE;
    return now - Math.max(newestAt, probedAt) > intervalMs;
  }

  /** Time for which the primary has been failing for this host, milliseconds; 0 while it replies. */
  failedMs(group: GroupId, now: number): number {
    const since = this.healthOf(group)?.failingSince;
    return since === undefined ? 0 : now - since;
  }

  /** Local time since which the upstream has reported that it is no longer primary; undefined while it is. */
  deposedSince(group: GroupId): number | undefined {
    return this.options.home(group).deposedSince;
  }

  /**
   * Whether this host reaches the primary of the group; probes it without recent evidence. Undefined while the
   * primary accepts connections but serves none.
   */
  async reaches(group: GroupId): Promise<boolean | undefined> {
    const health = this.healthOf(group);
    const { maxEvidenceAgeMs: freshMs } = this.options.rules;
    const now = performance.now();
    if (this.deposedSince(group) !== undefined) return false;
    if (now - (health?.lastAnswerAt ?? Number.NEGATIVE_INFINITY) < freshMs) return true;
    if (now - (health?.lastFailureAt ?? Number.NEGATIVE_INFINITY) < freshMs) return false;
    return this.probe(group);
  }

  private healthOf(group: GroupId): UpstreamHealth | undefined {
    const record = this.options.board.record(group);
    return record && this.options.home(group).pool(record.primary)?.health;
  }

  private probe(group: GroupId): Promise<boolean | undefined> {
    const running = this.probing.get(group);
    if (running !== undefined) return running;
    const started = this.probeOnce(group);
    this.probing.set(group, started);
    void started.finally(() => this.probing.delete(group));
    return started;
  }

  private async probeOnce(group: GroupId): Promise<boolean | undefined> {
    const { board, home, probe, rules } = this.options;
    const record = board.record(group);
    const pool = record && home(group).pool(record.primary);
    if (record === undefined || pool === undefined) return false;
    const startedAt = performance.now();
    this.probedAt.set(group, startedAt);
    const floor = home(group).primaryFloor(pool.entry.id);
    const result = await probe.query(pool.entry, group, rules.probeTimeoutMs);
    const now = performance.now();
    const { health } = pool;
    if (result.kind === 'status') noteReportedRole(home(group), record, result, now);
    if (result.kind === 'unserved') {
      health.noteUnserved(now);
      return health.failingSince === undefined ? undefined : false;
    }
    const reached =
      repliesAsPrimary(result) &&
      !home(group).detectLogLoss(pool.entry.id, floor, reportedPosition(result));
    if (reached) health.noteAlive(now);
    else health.noteFailure(now, startedAt - rules.probeAfterMs);
    if (reached) this.recordWatermark(record, startedAt, result, now);
    return reached;
  }

  /** Adds the watermark of a probe that the primary of `record` has answered, if it receives no new work. */
  private recordWatermark(
    record: PrimaryRecord,
    sentAt: number,
    result: ProbeResult,
    now: number,
  ): void {
    const { board, home } = this.options;
    // A claimed record names the former primary under the epoch of the next one.
    if (record.phase !== RecordPhase.Serving) return;
    if (receivesNewWork(board.departures.get(record.primary), now)) return;
    if (result.kind !== 'status' || result.applied === undefined) return;
    home(record.group).addWatermark(record, { sentAt, position: result.applied }, now);
  }
}

/** Shortest maximum staleness of the bounded reads of a group, milliseconds; Infinity if it has none. */
function shortestStalenessMs({ catalog }: GatewayBoard, group: GroupId): number {
  const routes = [...(catalog?.routes.values() ?? [])];
  const bounded = routes.filter(
    (route) => route.group === group && route.consistency !== Consistency.Primary,
  );
  return Math.min(...bounded.map(({ maxStalenessMs }) => maxStalenessMs));
}

/** Whether the upstream replied and did not report itself as a replica; an overloaded one reports no role. */
function repliesAsPrimary(result: ProbeResult): boolean {
  return result.kind === 'alive' || (result.kind === 'status' && result.status.isPrimary);
}

/** Records whether the primary of `record` reports itself as the primary. */
function noteReportedRole(
  home: GroupHome,
  record: PrimaryRecord,
  { status }: StatusResult,
  now: number,
): void {
  if (status.isPrimary) home.notePrimaryConfirmed(record);
  else home.noteDeposed(record, DepositionEvidence.Status, now);
}

function reportedPosition(result: ProbeResult): Position | undefined {
  return result.kind === 'status' ? result.status.received : undefined;
}
