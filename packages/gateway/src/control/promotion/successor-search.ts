/**
 * Finds the upstream that follows a group's primary, and tells before a planned change whether there is one.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { AzId, PrimaryRecord, SuccessorReport } from '@gladespool/coordination';
import {
  chooseCoveringSuccessor,
  Distance,
  mayBeSameStartTime,
  shouldKeepFormerPrimary,
} from '@gladespool/coordination';
import type { UpstreamEntry } from '../../model/catalog.js';
import type { PromotionContext } from './promotion-context.js';
import type { PromotionLog } from './promotion-log.js';

/** Longest time for an upstream's status, milliseconds. */
export const STATUS_TIMEOUT_MS = 200;
/** Longest time for a successor to receive what the former primary holds, milliseconds. */
const CATCH_UP_MS = 500;
/**
 * The same where replicas confirm commits: without all the reports that this takes nobody may follow,
 * and a search that ends early costs the next one a stalled claim.
 */
const CONFIRMING_CATCH_UP_MS = 1500;
/** Time between two rounds of questions to the upstreams, milliseconds. */
const POLL_MS = 40;

/**
 * Commits by which a successor may be behind when a planned change begins: about what a primary commits
 * in the time that a replica needs to receive them. Writes are held before it is chosen.
 */
const READY_GAP = 8;

/** What a search found. */
export interface SearchResult {
  /** Undefined when too few upstreams report. */
  readonly successor: SuccessorReport | undefined;
  /** Whether a planned change had better end with the former primary. */
  readonly keepsFormer: boolean;
}

/** What one round of reports shows. */
interface Comparison {
  readonly chosen: SuccessorReport | undefined;
  /** The former primary's own report; undefined when it is silent or has started anew. */
  readonly held: SuccessorReport | undefined;
}

/** Asks the upstreams of one group. */
export class SuccessorSearch {
  constructor(
    private readonly ctx: PromotionContext,
    private readonly log: PromotionLog,
  ) {}

  /** Whether a planned change would find a successor that can have received everything in time. */
  async hasReadySuccessor(former: PrimaryRecord): Promise<boolean> {
    const reports = await this.reports(former);
    const { chosen, held } = this.compare(former, reports, this.syncReplicasOf(former));
    if (chosen === undefined || held === undefined) return false;
    return held.received.offset - chosen.received.offset <= READY_GAP;
  }

  /** The upstream to promote, one that holds all that the former primary has if there is one in time. */
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
        });
        return { successor: chosen, keepsFormer: shouldKeepFormerPrimary(chosen, held) };
      }
      await pause(POLL_MS);
    }
  }

  /** Replicas that have received a commit before it is confirmed. */
  syncReplicasOf({ group }: PrimaryRecord): number {
    return this.ctx.board.catalog?.groups.get(group)?.syncReplicas ?? 0;
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
    if (replicas === 0) return soleSuccessor(former, reports);
    return chooseCoveringSuccessor(reports, former.primary, replicas, confirming);
  }

  private async reports(former: PrimaryRecord): Promise<readonly SuccessorReport[]> {
    const { board } = this.ctx;
    const formerAz = board.upstreams.get(former.primary)?.az;
    const members = board.upstreamsOf(former.group).filter((entry) => this.matters(entry, former));
    const found = await Promise.all(members.map((entry) => this.report(entry, formerAz)));
    return found.filter((report) => report !== undefined);
  }

  /** Whether the choice needs an upstream's report: those of evacuated zones tell only what is confirmed. */
  private matters(entry: UpstreamEntry, former: PrimaryRecord): boolean {
    if (!this.ctx.board.evacuations.has(entry.az)) return true;
    return entry.id === former.primary || this.syncReplicasOf(former) > 0;
  }

  private async report(
    entry: UpstreamEntry,
    formerAz: AzId | undefined,
  ): Promise<SuccessorReport | undefined> {
    const { board, probe } = this.ctx;
    const { id, born, group, draining } = entry;
    const result = await probe.ask(entry, group, STATUS_TIMEOUT_MS);
    if (result.kind !== 'status') return undefined;
    const evacuated = board.evacuations.has(entry.az);
    const isInFormerRegion = this.isInFormerRegion(formerAz, entry.az);
    return { ...result.status, id, born, draining, evacuated, isInFormerRegion };
  }

  /** Whether a zone lies in the region where the primary was; all are alike once its entry is gone. */
  private isInFormerRegion(formerAz: AzId | undefined, az: AzId): boolean {
    if (formerAz === undefined) return true;
    return this.ctx.board.topology.distance(formerAz, az) !== Distance.OtherRegion;
  }
}

/**
 * The former primary itself where it has started anew and the group has no other upstream: nobody else
 * can hold what it has lost. Replicas that are only silent are waited for until their entries go.
 */
function soleSuccessor(
  former: PrimaryRecord,
  reports: readonly SuccessorReport[],
): SuccessorReport | undefined {
  return reports.find(({ born }) => !mayBeSameStartTime(former.born, born));
}

/**
 * Whether `chosen` has received all that the former primary reports, which is nothing when that one is
 * silent; false when none is chosen.
 */
function hasCaughtUp(
  chosen: SuccessorReport | undefined,
  former: SuccessorReport | undefined,
): boolean {
  if (chosen === undefined) return false;
  return former === undefined || chosen.received.offset >= former.received.offset;
}
