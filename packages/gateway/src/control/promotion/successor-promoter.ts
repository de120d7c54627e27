/**
 * Promotes a named successor: requests its promotion, and waits until it is primary and its reads show all that
 * it has received.
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

/** Timeout of one promotion request, milliseconds. */
const REQUEST_TIMEOUT_MS = 1000;
/**
 * Time for which an attempt waits for a promotion to take effect, milliseconds; the platform takes 300 to 600.
 * The promotion may still take effect later.
 */
const EFFECT_TIMEOUT_MS = 2500;
/** Interval between two promotion requests or two probes of the successor, milliseconds. */
const POLL_MS = 40;

/** Outcome of the requests for a promotion. */
export enum PromotionCallOutcome {
  Done = 'done',
  /** The platform refuses to promote that upstream. */
  Refused = 'refused',
  /** No definite reply, or the lease window ended; the promotion may or may not take effect. */
  Indeterminate = 'unsettled',
}

/** Promotion of the successor within one attempt. */
export class SuccessorPromoter {
  constructor(
    private readonly group: GroupId,
    private readonly ctx: PromotionContext,
    private readonly log: PromotionLog,
  ) {}

  /**
   * Requests the promotion, never after the lease window, nor of an upstream that has restarted meanwhile, nor of
   * one in an evacuated zone.
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
      // A store restored from a backup may have lost the promotion lease, and let another host take it.
      if (view.ownPosition.era !== claim.item.position.era)
        return PromotionCallOutcome.Indeterminate;
      const reply = await port.promote({
        group: this.group,
        upstream,
        holder: self.host,
        fence: claim.fence,
        timeoutMs: Math.min(REQUEST_TIMEOUT_MS, leftMs),
      });
      const outcome = reply.isOk() ? reply.value : reply.error.message;
      this.log.info('promotion-called', { upstream, fence: claim.fence, result: outcome });
      if (reply.isOk() && reply.value === PromotionResult.Done) return PromotionCallOutcome.Done;
      if (reply.isOk() && reply.value === PromotionResult.Refused)
        return PromotionCallOutcome.Refused;
      await pause(POLL_MS);
      leftMs = windowEnd - performance.now();
    }
    return PromotionCallOutcome.Indeterminate;
  }

  /**
   * Waits until the successor is primary in a later term than any that was known when it was chosen, and its reads
   * show all that it has received. One that has restarted since then lacks the commits for which it was chosen.
   *
   * @returns the term in which it leads; undefined when that has not happened in time, or no longer can
   */
  async waitUntilPrimary(successor: NamedSuccessor): Promise<number | undefined> {
    const { probe, board } = this.ctx;
    const until = performance.now() + EFFECT_TIMEOUT_MS;
    let wasPrimary = false;
    while (performance.now() < until) {
      const entry = currentEntryOf(board, successor);
      if (entry === undefined) return undefined;
      const result = await probe.query(entry, this.group, STATUS_TIMEOUT_MS);
      if (result.kind === 'status' && result.status.isPrimary) {
        if (hasLostCommits(successor, entry, result.status)) return undefined;
        const isPrimary = hasBecomePrimary(successor, result.status);
        if (isPrimary && !wasPrimary) this.logEffect(successor, result);
        if (isPrimary && hasAppliedAll(result)) return result.status.term;
        wasPrimary ||= isPrimary;
      }
      await pause(POLL_MS);
    }
    return undefined;
  }

  /** Logs how much the new primary has received, and how much of it its reads show already. */
  private logEffect({ id, isPrimary }: NamedSuccessor, { status, applied }: StatusResult): void {
    this.log.info('promotion-took-effect', {
      upstream: id,
      term: status.term,
      received: formatPosition(status.received),
      applied: applied && formatPosition(applied),
      led_before: isPrimary,
    });
  }
}

/**
 * Whether a status that shows the successor as primary is an effect of its promotion, or of an earlier one. A deposed
 * primary that is promoted again reports its former term until then.
 */
function hasBecomePrimary(successor: NamedSuccessor, { term }: UpstreamStatus): boolean {
  return successor.isPrimary ? term >= successor.term : term > successor.term;
}

/**
 * Whether reads of the new primary show all that it has received. What it has yet to apply was confirmed by the
 * former primary, and reads of the primary carry no position of the former one that they could wait for.
 */
function hasAppliedAll({ status, applied }: StatusResult): boolean {
  return applied === undefined || comparePositions(applied, status.received) >= 0;
}

/**
 * Whether a successor has restarted before its new entry was read: it holds less than when it was chosen. Only
 * upstreams that report their start times restart under their ids.
 */
function hasLostCommits(
  chosen: NamedSuccessor,
  entry: UpstreamIdentity,
  status: UpstreamStatus,
): boolean {
  return entry.born !== undefined && status.received.offset < chosen.received.offset;
}
