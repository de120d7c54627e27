/**
 * Tracks claims in the records of primaries: when a claim was first seen, and how long it takes until the next primary
 * serves.
 */
import type { GroupId } from '@gladespool/coordination';
import { updatedPromotionMs, RecordPhase } from '@gladespool/coordination';
import type { GatewayBoard } from './board.js';
import { BoardSection } from './board.js';

/** Assumed duration of a promotion before one was observed, milliseconds; several hundred are usual. */
const FIRST_PROMOTION_MS = 700;

interface SeenClaim {
  readonly epoch: number;
  readonly at: number;
}

/** Claims and promotions that one host has observed. */
export class PromotionTracker {
  /** Expected time from a claim until the next primary serves, milliseconds. */
  expectedPromotionMs = FIRST_PROMOTION_MS;
  private readonly claims = new Map<GroupId, SeenClaim>();

  /** @param startedAt local time at which this host started to request proofs */
  constructor(
    private readonly board: GatewayBoard,
    readonly startedAt: number,
  ) {
    board.onChange(BoardSection.Records, () => {
      this.updateClaims(performance.now());
    });
  }

  /** Local time at which the current claim of a group was first seen; undefined while its primary serves. */
  claimedAt(group: GroupId): number | undefined {
    return this.claims.get(group)?.at;
  }

  private updateClaims(now: number): void {
    for (const { group, epoch, phase } of this.board.allRecords) {
      const claim = this.claims.get(group);
      if (phase === RecordPhase.Claimed) {
        if (claim?.epoch !== epoch) this.claims.set(group, { epoch, at: now });
      } else if (claim !== undefined) {
        this.claims.delete(group);
        if (claim.epoch === epoch) {
          this.expectedPromotionMs = updatedPromotionMs(this.expectedPromotionMs, now - claim.at);
        }
      }
    }
  }
}
