/**
 * Finds the successor of a group's primary, and checks before a planned change whether there is one.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { AzId, PrimaryRecord, SuccessorReport } from '@gladespool/coordination';
import {
  chooseCoveringSuccessor,
  chooseSuccessor,
  comparePositions,
  Distance,
  mayBeSameStartTime,
  newestTermOf,
  shouldKeepFormerPrimary,
} from '@gladespool/coordination';
import type { UpstreamEntry } from '../../model/catalog.js';
import type { StoreItem } from '../store/metadata-store.js';
import type { PromotionContext } from './promotion-context.js';
import type { PromotionLog } from './promotion-log.js';

/** Timeout of a status request to an upstream, milliseconds. */
export const STATUS_TIMEOUT_MS = 200;
/** Time limit for a successor to receive what the former primary holds, milliseconds. */
const CATCH_UP_MS = 500;
/**
 * The same where replicas confirm commits: no upstream may be promoted without all the reports that this takes,
 * and a search that ends early leaves a stalled claim, for which the next one has to wait.
 */
const CONFIRMING_CATCH_UP_MS = 1500;
/** Interval between two rounds of status requests to the upstreams, milliseconds. */
const POLL_MS = 40;

/** Longest replication lag with which a planned change begins, milliseconds; writes are held for as long. */
const MAX_LAG_MS = 1000;
/** Interval between two rounds of status requests while the replication lag is measured, milliseconds. */
const LAG_POLL_MS = 100;
/**
 * Number of commits by which a successor may be behind after writes were held: writes of hosts that did not answer
 * go on until they give the former primary up.
 */
const MAX_READY_LAG = 8;
/** Consecutive rounds without a report of the former primary that end a wait: a single one may just be late. */
const MAX_SILENT_ROUNDS = 2;

/** Result of a search. */
export interface SearchResult {
  /** Undefined when too few upstreams report. */
  readonly successor: SuccessorReport | undefined;
  /** Whether a planned change should keep the former primary. */
  readonly keepsFormer: boolean;
}

/** Result of one round of reports. */
interface Comparison {
  readonly chosen: SuccessorReport | undefined;
  /** The former primary's own report; undefined when it does not reply or has restarted. */
  readonly held: SuccessorReport | undefined;
}

/** Searches the upstreams of one group for a successor. */
export class SuccessorSearch {
  /** Departed upstreams of the group that other hosts have told of during this attempt. */
  private readonly departedElsewhere: UpstreamEntry[] = [];

  constructor(
    private readonly ctx: PromotionContext,
    private readonly log: PromotionLog,
  ) {}

  /**
   * Counts replicas that another host knows to have departed, by their last entries. Only the hosts that saw an entry
   * disappear know how long its upstream may confirm commits, so this is not passed on.
   */
  noteDeparted(items: readonly StoreItem[]): void {
    const entries = items.map((item) => this.ctx.view.readDeparted(item));
    this.departedElsewhere.push(...entries.filter((entry) => entry !== undefined));
  }

  /**
   * Time that a possible successor needs to receive what the former primary holds now, milliseconds; undefined when
   * none has within `MAX_LAG_MS`, or the former primary stops reporting.
   */
  async replicationLagMs(former: PrimaryRecord): Promise<number | undefined> {
    const startedAt = performance.now();
    let found = await this.compareForPlan(former);
    const target = found.held?.received;
    // A primary that stops reporting may have failed, which this attempt must not keep from being noticed.
    while (target !== undefined && found.held !== undefined) {
      const lagMs = performance.now() - startedAt;
      if (found.chosen !== undefined && comparePositions(found.chosen.received, target) >= 0) {
        return lagMs;
      }
      if (lagMs >= MAX_LAG_MS) return undefined;
      await pause(LAG_POLL_MS);
      found = await this.compareForPlan(former);
    }
    return undefined;
  }

  /**
   * Waits, while writes are held, until a successor is ready or local time `until`; returns whether one is. The wait
   * ends as well when the former primary stops reporting: it may have failed, and this attempt must not keep the host
   * from replacing it.
   */
  async waitUntilReady(former: PrimaryRecord, until: number): Promise<boolean> {
    let silentRounds = 0;
    for (;;) {
      const { chosen, held } = await this.compareForPlan(former);
      if (held !== undefined && hasCaughtUp(chosen, held)) return true;
      silentRounds = held === undefined ? silentRounds + 1 : 0;
      if (silentRounds >= MAX_SILENT_ROUNDS) return false;
      if (performance.now() >= until) return isNearlyCaughtUp(chosen, held);
      await pause(POLL_MS);
    }
  }

  /** The upstream to promote: one that holds all that the former primary has, if there is one in time. */
  async find(former: PrimaryRecord): Promise<SearchResult> {
    const confirming = this.syncReplicasOf(former);
    const catchUpMs = confirming > 0 ? CONFIRMING_CATCH_UP_MS : CATCH_UP_MS;
    const until = performance.now() + catchUpMs;
    for (;;) {
      const reports = await this.reports(former);
      const { chosen, held } = this.compare(former, reports, confirming);
      if (hasCaughtUp(chosen, held) || performance.now() >= until) {
        this.log.info('promotion-successor', {
          upstream: chosen?.id,
          received: chosen?.received.offset,
          former_received: held?.received.offset,
          reports: reports.length,
          departed: this.departedReplicas(former).length,
        });
        const successor = chosen && { ...chosen, term: newestTermOf(reports, former.term) };
        return { successor, keepsFormer: shouldKeepFormerPrimary(chosen, held) };
      }
      await pause(POLL_MS);
    }
  }

  /** Number of replicas that have received a commit before it is confirmed. */
  syncReplicasOf({ group }: PrimaryRecord): number {
    return this.ctx.board.catalog?.groups.get(group)?.syncReplicas ?? 0;
  }

  /**
   * The comparison now, before a planned change. A draining upstream is chosen only if the zone of the former primary
   * is evacuated: it would have to be replaced in turn.
   */
  private async compareForPlan(former: PrimaryRecord): Promise<Comparison> {
    const reports = await this.reports(former);
    const { chosen, held } = this.compare(former, reports, this.syncReplicasOf(former));
    if (chosen?.draining !== true || held?.evacuated === true) return { chosen, held };
    const staying = reports.filter(({ draining }) => !draining);
    const newestTerm = newestTermOf(reports, former.term);
    return { chosen: chooseSuccessor(staying, former.primary, newestTerm), held };
  }

  private compare(
    former: PrimaryRecord,
    reports: readonly SuccessorReport[],
    confirming: number,
  ): Comparison {
    const chosen = this.choose(former, reports, confirming);
    const held = reports.find(
      ({ id, born }) => id === former.primary && mayBeSameStartTime(former.born, born),
    );
    return { chosen, held };
  }

  private choose(
    former: PrimaryRecord,
    reports: readonly SuccessorReport[],
    confirming: number,
  ): SuccessorReport | undefined {
    const members = this.ctx.board.upstreamsOf(former.group);
    const replicas = members.filter((entry) => entry.id !== former.primary).length;
    const departed = this.departedReplicas(former).length;
    if (replicas + departed === 0) return restartedFormerPrimary(former, reports);
    const counted = replicas + departed;
    return chooseCoveringSuccessor(reports, former.primary, counted, confirming, former.term);
  }

  /**
   * Replicas without an entry that may have confirmed commits which no listed one holds. Another upstream that is listed
   * at the address of one has its log.
   */
  private departedReplicas(former: PrimaryRecord): readonly UpstreamEntry[] {
    const { board, view } = this.ctx;
    if (this.syncReplicasOf(former) === 0) return [];
    const listed = board.upstreamsOf(former.group);
    const own = view.departedUpstreams(former.group).map(({ entry }) => entry);
    const known = new Map([...this.departedElsewhere, ...own].map((entry) => [entry.id, entry]));
    return [...known.values()].filter(
      ({ id, address, port }) =>
        id !== former.primary &&
        !listed.some((other) => other.id === id) &&
        !listed.some((other) => other.address === address && other.port === port),
    );
  }

  private async reports(former: PrimaryRecord): Promise<readonly SuccessorReport[]> {
    const { board } = this.ctx;
    const formerAz = board.upstreams.get(former.primary)?.az;
    const members = board
      .upstreamsOf(former.group)
      .filter((entry) => this.isReportNeeded(entry, former));
    const found = await Promise.all([
      ...members.map((entry) => this.report(entry, formerAz)),
      ...this.departedReplicas(former).map(async (entry) => {
        const report = await this.report(entry, formerAz);
        return report && { ...report, departed: true };
      }),
    ]);
    return found.filter((report) => report !== undefined);
  }

  /** Whether the choice needs an upstream's report; those from evacuated zones show only what has been confirmed. */
  private isReportNeeded(entry: UpstreamEntry, former: PrimaryRecord): boolean {
    if (!this.ctx.board.evacuations.has(entry.az)) return true;
    return entry.id === former.primary || this.syncReplicasOf(former) > 0;
  }

  private async report(
    entry: UpstreamEntry,
    formerAz: AzId | undefined,
  ): Promise<SuccessorReport | undefined> {
    const { board, probe } = this.ctx;
    const { id, born, group, draining } = entry;
    const result = await probe.query(entry, group, STATUS_TIMEOUT_MS);
    if (result.kind !== 'status') return undefined;
    const evacuated = board.evacuations.has(entry.az);
    const isInFormerRegion = this.isInFormerRegion(formerAz, entry.az);
    return { ...result.status, id, born, draining, evacuated, isInFormerRegion };
  }

  /** Whether a zone lies in the region of the former primary; true for all zones once its entry is gone. */
  private isInFormerRegion(formerAz: AzId | undefined, az: AzId): boolean {
    if (formerAz === undefined) return true;
    return this.ctx.board.topology.distance(formerAz, az) !== Distance.OtherRegion;
  }
}

/**
 * The former primary itself, where it has restarted and the group has no other upstream: none else can hold what
 * it has lost. Replicas that are merely unresponsive are waited for until their entries are removed.
 */
function restartedFormerPrimary(
  former: PrimaryRecord,
  reports: readonly SuccessorReport[],
): SuccessorReport | undefined {
  return reports.find(({ born }) => !mayBeSameStartTime(former.born, born));
}

/**
 * Whether `chosen` has received all that the former primary reports, which is nothing when it does not reply;
 * false when none is chosen.
 */
function hasCaughtUp(
  chosen: SuccessorReport | undefined,
  former: SuccessorReport | undefined,
): boolean {
  if (chosen === undefined) return false;
  return former === undefined || comparePositions(chosen.received, former.received) >= 0;
}

/** Whether `chosen` lacks at most `MAX_READY_LAG` commits of the former primary; false unless both report. */
function isNearlyCaughtUp(
  chosen: SuccessorReport | undefined,
  former: SuccessorReport | undefined,
): boolean {
  if (chosen === undefined || former === undefined) return false;
  if (hasCaughtUp(chosen, former)) return true;
  const [held, wanted] = [chosen.received, former.received];
  return held.term === wanted.term && wanted.offset - held.offset <= MAX_READY_LAG;
}
