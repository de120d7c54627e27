/**
 * Brings a named successor to the lead: calls for its promotion, and waits until it leads and shows all that it
 * has received.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GroupId, NamedSuccessor, UpstreamIdentity } from '@gladespool/coordination';
import { comparePositions, formatPosition } from '@gladespool/coordination';
import type { StatusResult } from '../../home/upstream-probe.js';
import type { UpstreamStatus } from '../../model/upstream-driver.js';
import { PromotionResult } from './promotion-port.js';
import type { PromotionContext } from './promotion-context.js';
import type { PromotionLog } from './promotion-log.js';
import type { RecordClaim } from './record-claimer.js';
import { STATUS_TIMEOUT_MS } from './successor-search.js';
import { currentEntryOf, isInEvacuatedZone } from './upstream-lookup.js';

/** Longest time for one call for a promotion, milliseconds. */
const CALL_TIMEOUT_MS = 1000;
/**
 * Time for which an attempt waits for a promotion to take effect, milliseconds; the platform's takes 300 to 600.
 * It may take effect later all the same.
 */
const EFFECT_MS = 2500;
/** Time between two calls or two looks at the successor, milliseconds. */
const POLL_MS = 40;

/** How the calls for a promotion ended. */
export enum PromotionCallOutcome {
  Done = 'done',
  /** The platform will not promote that upstream. */
  Refused = 'refused',
  /** No answer that settles it, or the time for calls was over; the promotion may take effect or not. */
  Indeterminate = 'unsettled',
}

/** Calls and waits of one attempt. */
export class SuccessorPromoter {
  constructor(
    private readonly group: GroupId,
    private readonly ctx: PromotionContext,
    private readonly log: PromotionLog,
  ) {}

  /**
   * Calls for the promotion, never after the duty's window, nor of an upstream that has started anew
   * meanwhile, nor into a zone that is evacuated.
   */
  async requestPromotion(
    claim: RecordClaim,
    successor: UpstreamIdentity,
  ): Promise<PromotionCallOutcome> {
    const upstream = successor.id;
    const { port, self, rules, board, view } = this.ctx;
    const windowEnd = claim.sentAt + rules.leaseWindowMs;
    for (let leftMs = windowEnd - performance.now(); leftMs > 0;) {
      if (currentEntryOf(board, successor) === undefined) return PromotionCallOutcome.Indeterminate;
      if (isInEvacuatedZone(board, upstream)) return PromotionCallOutcome.Indeterminate;
      // A store that came back from a copy may have lost the duty, and let another host take it.
      if (view.ownPosition.era !== claim.item.position.era)
        return PromotionCallOutcome.Indeterminate;
      const answer = await port.promote({
        group: this.group,
        upstream,
        holder: self.host,
        fence: claim.fence,
        timeoutMs: Math.min(CALL_TIMEOUT_MS, leftMs),
      });
      const told = answer.isOk() ? answer.value : answer.error.message;
      this.log.info('promotion-called', { upstream, fence: claim.fence, result: told });
      if (answer.isOk() && answer.value === PromotionResult.Done) return PromotionCallOutcome.Done;
      if (answer.isOk() && answer.value === PromotionResult.Refused)
        return PromotionCallOutcome.Refused;
      await pause(POLL_MS);
      leftMs = windowEnd - performance.now();
    }
    return PromotionCallOutcome.Indeterminate;
  }

  /**
   * Waits until the successor leads a later term than it knew when it was chosen, and its reads show all that it
   * holds. One that has started anew since then lacks what it was chosen for.
   *
   * @returns false when that has not come about yet, or can't any more
   */
  async waitUntilPrimary(successor: NamedSuccessor): Promise<boolean> {
    const { probe, board } = this.ctx;
    const until = performance.now() + EFFECT_MS;
    let hasLed = false;
    while (performance.now() < until) {
      const entry = currentEntryOf(board, successor);
      if (entry === undefined) return false;
      const result = await probe.ask(entry, this.group, STATUS_TIMEOUT_MS);
      if (result.kind === 'status' && result.status.isPrimary) {
        if (isBehindChoice(successor, entry, result.status)) return false;
        const leads = hasTakenLead(successor, result.status);
        if (leads && !hasLed) this.noteLead(successor, result);
        if (leads && showsAll(result)) return true;
        hasLed ||= leads;
      }
      await pause(POLL_MS);
    }
    return false;
  }

  /** Tells what the new primary holds, and how much of it its reads show already. */
  private noteLead({ id, isPrimary }: NamedSuccessor, { status, applied }: StatusResult): void {
    this.log.info('promotion-took-effect', {
      upstream: id,
      term: status.term,
      received: formatPosition(status.received),
      applied: applied && formatPosition(applied),
      led_before: isPrimary,
    });
  }
}

function hasTakenLead(successor: NamedSuccessor, { term }: UpstreamStatus): boolean {
  return successor.isPrimary || term > successor.term;
}

/**
 * Whether reads of the new primary show all that it has received. What it has still to apply was confirmed by the
 * former primary, and a read of the primary carries no position of that one.
 */
function showsAll({ status, applied }: StatusResult): boolean {
  return applied === undefined || comparePositions(applied, status.received) >= 0;
}

/**
 * Whether a successor has started anew before its new entry was read: it holds less than when it was chosen.
 * Only upstreams that tell their births start anew under their ids.
 */
function isBehindChoice(
  chosen: NamedSuccessor,
  entry: UpstreamIdentity,
  status: UpstreamStatus,
): boolean {
  return entry.born !== undefined && status.received.offset < chosen.received.offset;
}
