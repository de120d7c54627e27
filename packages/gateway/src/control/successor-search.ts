/**
 * Finds the upstream that follows a group's primary.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { PrimaryRecord, SuccessorReport } from '@gladespool/coordination';
import { chooseSuccessor } from '@gladespool/coordination';
import type { PromotionContext } from './promotion-context.js';
import type { PromotionLog } from './promotion-log.js';

/** Longest time for an upstream's status, milliseconds. */
export const STATUS_TIMEOUT_MS = 200;
/** Longest time for a successor to receive what the former primary holds, milliseconds. */
const CATCH_UP_MS = 500;
/** Time between two rounds of questions to the upstreams, milliseconds. */
const POLL_MS = 40;

/** Asks the upstreams of one group. */
export class SuccessorSearch {
  constructor(
    private readonly ctx: PromotionContext,
    private readonly log: PromotionLog,
  ) {}

  /**
   * The upstream to promote, one that holds all that the former primary has if there is one in time;
   * undefined when no other upstream reports.
   */
  async find(former: PrimaryRecord): Promise<SuccessorReport | undefined> {
    const until = performance.now() + CATCH_UP_MS;
    for (;;) {
      const reports = await this.reports(former);
      const chosen = chooseSuccessor(reports, former.primary);
      const held = reports.find((report) => report.id === former.primary);
      if (hasCaughtUp(chosen, held) || performance.now() >= until) {
        this.log.info('promotion-successor', {
          upstream: chosen?.id,
          received: chosen?.received.offset,
          former_received: held?.received.offset,
          reports: reports.length,
        });
        return chosen;
      }
      await pause(POLL_MS);
    }
  }

  private async reports({ group }: PrimaryRecord): Promise<readonly SuccessorReport[]> {
    const { board, probe } = this.ctx;
    const found = await Promise.all(
      board.upstreamsOf(group).map(async (entry) => {
        const result = await probe.ask(entry, group, STATUS_TIMEOUT_MS);
        if (result.kind !== 'status') return undefined;
        return { ...result.status, id: entry.id, draining: entry.draining };
      }),
    );
    return found.filter((report) => report !== undefined);
  }
}

/** Whether `chosen` has received all that the former primary reports; true when that one is silent. */
function hasCaughtUp(
  chosen: SuccessorReport | undefined,
  former: SuccessorReport | undefined,
): boolean {
  if (chosen === undefined) return false;
  return former === undefined || chosen.received.offset >= former.received.offset;
}
