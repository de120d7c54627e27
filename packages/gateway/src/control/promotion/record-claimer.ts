/**
 * Claims a group's record, and with it the duty, in one change of the store.
 */
import type { NamedSuccessor, PrimaryRecord } from '@gladespool/coordination';
import { claimPromotionLease, claimedRecord, recordRank } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { StoreChange, StoreItem } from '../store/metadata-store.js';
import { changeResultText, StorePurpose } from '../store/metadata-store.js';
import type { PromotionContext } from './promotion-context.js';
import type { PromotionLog } from './promotion-log.js';
import { PROMOTION_LEASE_KEY, primaryKey } from '../store/store-documents.js';

/** Longest time for the change, milliseconds. */
const CLAIM_TIMEOUT_MS = 1000;

/** A claimed record and the fence under which calls may be made. */
export interface RecordClaim {
  readonly record: PrimaryRecord;
  readonly item: StoreItem;
  readonly fence: number;
  /** Local time at which the claim was sent; the duty's window counts from here. */
  readonly sentAt: number;
  /** Local time at which the store had confirmed it. */
  readonly confirmedAt: number;
}

/** Why a record was not claimed. */
export type ClaimRefusal =
  /** Another host may still be calling; its window is over at that local time. */
  | { readonly kind: 'duty-held'; readonly until: number }
  /** The store did not make the change, or did not tell. */
  | { readonly kind: 'not-written' };

/** Claims records for one host. */
export class RecordClaimer {
  constructor(
    private readonly ctx: PromotionContext,
    private readonly log: PromotionLog,
  ) {}

  /** Claims the record that follows `former`, with the `successor` that is named already; sent at `now`. */
  async claim(
    former: PrimaryRecord,
    successor: NamedSuccessor | undefined,
    now: number,
  ): Promise<Result<RecordClaim, ClaimRefusal>> {
    if (!this.ctx.view.isEraSettled) {
      this.log.info('promotion-claim-unsettled', { era: this.ctx.view.ownPosition.era });
      return err({ kind: 'not-written' });
    }
    if (!this.isCurrent(former)) {
      this.log.info('promotion-claim-outdated', { former: former.primary });
      return err({ kind: 'not-written' });
    }
    const duty = this.takeDuty(now);
    if (duty.isErr()) return err(duty.error);
    const fence = duty.value;
    const record = claimedRecord(former, this.ctx.self.host, successor);
    return this.write(record, fence, now);
  }

  /** Whether the record is still the one held; it may have changed while other claims went first. */
  private isCurrent(former: PrimaryRecord): boolean {
    const held = this.ctx.board.record(former.group);
    return held !== undefined && recordRank(held) === recordRank(former);
  }

  /** The fence under which this host may take the duty. */
  private takeDuty(now: number): Result<number, ClaimRefusal> {
    const { self, view, rules } = this.ctx;
    const seen = view.seenDuty;
    const duty = claimPromotionLease(seen, self, now, rules);
    if (duty.kind === 'take') return ok(duty.fence);
    this.log.info('promotion-waits-for-duty', {
      holder: seen?.holder,
      wait_ms: Math.round(duty.until - now),
    });
    return err({ kind: 'duty-held', until: duty.until });
  }

  private async write(
    record: PrimaryRecord,
    fence: number,
    sentAt: number,
  ): Promise<Result<RecordClaim, ClaimRefusal>> {
    const { store, view, proofs } = this.ctx;
    const own = { key: primaryKey(record.group), value: JSON.stringify(record) };
    const duty = { key: PROMOTION_LEASE_KEY, value: this.dutyValue(fence) };
    const change = this.swapOf([own, duty]);
    const result = await store.change(change, StorePurpose.Record, CLAIM_TIMEOUT_MS);
    const confirmedAt = performance.now();
    if (result.isErr() || result.value.kind !== 'done') {
      this.log.info('promotion-claim-failed', { result: changeResultText(result) });
      await proofs.read();
      return err({ kind: 'not-written' });
    }
    const { position } = result.value;
    const item = { ...own, position };
    view.applyItems([item, { ...duty, position }], confirmedAt);
    return ok({ record, item, fence, sentAt, confirmedAt });
  }

  private dutyValue(fence: number): string {
    const { self, view } = this.ctx;
    return JSON.stringify({
      holder: self.host,
      incarnation: self.incarnation,
      fence,
      renewal: (view.duty?.duty.renewal ?? 0) + 1,
    });
  }

  /** Writes that count only if no key has changed since it was seen. */
  private swapOf(writes: StoreChange['writes']): StoreChange {
    const { view } = this.ctx;
    const conditions = writes.map(({ key }) => view.conditionOn(key));
    return { conditions, writes, removals: [] };
  }
}
