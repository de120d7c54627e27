/**
 * Polls the status of a group's upstreams and writes their health to the blackboard, together with
 * what the reports prove: watermarks and authority of the primary, and apply rates of the replicas.
 */
import type {
  Blackboard,
  GladespoolError,
  GroupId,
  GroupRecord,
  TimedReport,
  UpstreamId,
  UpstreamReport,
} from '@gladespool/coordination';
import {
  addWatermark,
  afterFailure,
  afterReport,
  authorityAt,
  GroupPhase,
  UpstreamRole,
} from '@gladespool/coordination';
import type { ControlResult, UpstreamControl } from '@gladespool/upstreams';

/** Options of a watcher. */
export interface StatusWatcherOptions {
  readonly group: GroupId;
  readonly board: Blackboard;
  readonly controls: () => readonly UpstreamControl[];
  readonly intervalMs: number;
  readonly onFailure: (upstream: UpstreamId, error: GladespoolError) => void;
}

/** Spacing of the primary's watermarks, milliseconds; 256 of them reach back about half a minute. */
const WATERMARK_SPACING_MS = 100;
/** Weight of the newest sample in the moving average of apply rates. */
const RATE_WEIGHT = 0.3;

/** Watches the upstreams of one group. */
export class StatusWatcher {
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: StatusWatcherOptions) {
    this.timer = setInterval(() => {
      void this.round();
    }, options.intervalMs);
    void this.round();
  }

  /** Queries every upstream once; resolves as soon as a majority of the queries has settled. */
  async round(): Promise<void> {
    await firstMajority(this.options.controls().map((control) => control.status()));
  }

  /** Records the result of a control statement. */
  recordResult(upstream: UpstreamId, result: ControlResult): void {
    if (result.isOk()) this.recordReport(result.value);
    else this.recordFailure(upstream, result.error);
  }

  /** Writes a report to the blackboard, with the observations that follow from it. */
  recordReport(timed: TimedReport): void {
    const { group, board } = this.options;
    const { report } = timed;
    const before = board.healthOf(group, report.upstream);
    const after = afterReport(before, timed);
    if (after.last === timed) this.observe(timed, before.last);
    board.putHealth(group, report.upstream, after);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private recordFailure(upstream: UpstreamId, error: GladespoolError): void {
    const { group, board } = this.options;
    const health = afterFailure(board.healthOf(group, upstream), performance.now());
    board.putHealth(group, upstream, health);
    this.options.onFailure(upstream, error);
  }

  /**
   * Returns the latest time, local milliseconds, at which the reports, `timed` included, prove that
   * the record's primary was not superseded; -Infinity without proof or during fencing.
   */
  private authorityWith(timed: TimedReport, record: GroupRecord | undefined): number {
    const { group, board } = this.options;
    const spec = board.spec(group);
    if (spec === undefined || record === undefined) return Number.NEGATIVE_INFINITY;
    if (record.phase === GroupPhase.Fencing) return Number.NEGATIVE_INFINITY;
    const members = spec.upstreams.map((upstream) => upstream.id);
    const held = members
      .filter((member) => member !== timed.report.upstream)
      .map((member) => board.healthOf(group, member).last)
      .filter((last) => last !== undefined);
    return authorityAt(members, [...held, timed], record.term);
  }

  private observe(timed: TimedReport, before: TimedReport | undefined): void {
    const { group, board } = this.options;
    const observation = board.observation(group, timed.at);
    const record = board.record(group)?.record;
    const { report } = timed;
    const isPrimary = record?.primary === report.upstream && servesTerm(report, record.term);
    const watermark = { sentAt: timed.sentAt, position: report.received };
    const marks = isPrimary
      ? addWatermark(observation.marks, watermark, WATERMARK_SPACING_MS)
      : observation.marks;
    const applyRates = new Map(observation.applyRates);
    const rate = rateBetween(before, timed);
    if (rate !== undefined) {
      const held = applyRates.get(report.upstream) ?? rate;
      applyRates.set(report.upstream, held + (rate - held) * RATE_WEIGHT);
    }
    const authority = Math.max(observation.authority, this.authorityWith(timed, record));
    board.putObservation(group, { ...observation, marks, authority, applyRates });
  }
}

function servesTerm(report: UpstreamReport, term: number): boolean {
  const isPrimary = report.role === UpstreamRole.Primary;
  return isPrimary && report.received.term === term && report.fencedTerm <= term;
}

function rateBetween(before: TimedReport | undefined, after: TimedReport): number | undefined {
  if (before === undefined) return undefined;
  const elapsed = after.at - before.at;
  const applied = after.report.applied.offset - before.report.applied.offset;
  return elapsed > 0 && applied > 0 ? applied / elapsed : undefined;
}

/** Resolves once more than half of the promises have resolved. */
function firstMajority(promises: readonly Promise<unknown>[]): Promise<void> {
  const needed = Math.floor(promises.length / 2) + 1;
  let settled = 0;
  return new Promise((resolve) => {
    if (promises.length === 0) resolve();
    for (const promise of promises) {
      void promise.then(() => {
        settled += 1;
        if (settled >= needed) resolve();
      });
    }
  });
}
