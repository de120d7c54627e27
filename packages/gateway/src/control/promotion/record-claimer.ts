/**
 * Claims a group's record and the promotion lease in one change of the store.
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

/** Timeout of the change, milliseconds. */
const CLAIM_TIMEOUT_MS = 1000;

/** A claimed record and the fence under which promotions may be requested. */
export interface RecordClaim {
  readonly record: PrimaryRecord;
  readonly item: StoreItem;
  readonly fence: number;
  /** Local time at which the claim was sent; the lease window starts here. */
  readonly sentAt: number;
  /** Local time at which the store's confirmation arrived. */
  readonly confirmedAt: number;
}

/** Why a record was not claimed. */
export type ClaimRefusal =
  /** Another host may still request promotions; its lease window ends at local time `until`. */
  | { readonly kind: 'lease-held'; readonly until: number }
  /** The store did not apply the change, or its outcome is unknown. */
  | { readonly kind: 'not-written' };

/** Claims records for one host. */
export class RecordClaimer {
  constructor(
    private readonly ctx: PromotionContext,
    private readonly log: PromotionLog,
  ) {}

  /** Claims the record that follows `former`, keeping a `successor` that is already named; sent at `now`. */
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
    const lease = this.takeLease(now);
    if (lease.isErr()) return err(lease.error);
    const fence = lease.value;
    const record = claimedRecord(former, this.ctx.self.host, successor);
    return this.write(record, fence, now);
  }

  /** Local time from which this host may take the promotion lease; at most `now` if it may already. */
  leaseFreeAt(now: number): number {
    const { self, view, rules } = this.ctx;
    const lease = claimPromotionLease(view.seenPromotionLease, self, now, rules);
    return lease.kind === 'take' ? now : lease.until;
  }

  /** Whether the record is still current; it may have changed while earlier claims were running. */
  private isCurrent(former: PrimaryRecord): boolean {
    const current = this.ctx.board.record(former.group);
    return current !== undefined && recordRank(current) === recordRank(former);
  }

  /** The fence under which this host may take the promotion lease. */
  private takeLease(now: number): Result<number, ClaimRefusal> {
    const { self, view, rules } = this.ctx;
    const seen = view.seenPromotionLease;
    const lease = claimPromotionLease(seen, self, now, rules);
    if (lease.kind === 'take') return ok(lease.fence);
    this.log.info('promotion-waits-for-duty', {
      holder: seen?.holder,
      wait_ms: Math.round(lease.until - now),
    });
    return err({ kind: 'lease-held', until: lease.until });
  }

  private async write(
    record: PrimaryRecord,
    fence: number,
    sentAt: number,
  ): Promise<Result<RecordClaim, ClaimRefusal>> {
    const { store, view, proofs } = this.ctx;
    const own = { key: primaryKey(record.group), value: JSON.stringify(record) };
    const lease = { key: PROMOTION_LEASE_KEY, value: this.leaseValue(fence) };
    const change = this.conditionalChange([own, lease]);
    const result = await store.change(change, StorePurpose.Record, CLAIM_TIMEOUT_MS);
    const confirmedAt = performance.now();
    if (result.isErr() || result.value.kind !== 'done') {
      this.log.info('promotion-claim-failed', { result: changeResultText(result) });
      await proofs.read();
      return err({ kind: 'not-written' });
    }
    const { position } = result.value;
    const item = { ...own, position };
    view.applyItems([item, { ...lease, position }], confirmedAt);
    return ok({ record, item, fence, sentAt, confirmedAt });
  }

  private leaseValue(fence: number): string {
    const { self, view } = this.ctx;
    return JSON.stringify({
      holder: self.host,
      incarnation: self.incarnation,
      fence,
      renewal: (view.duty?.duty.renewal ?? 0) + 1,
    });
  }

  /** A change that applies only if none of its keys has changed since this host read it. */
  private conditionalChange(writes: StoreChange['writes']): StoreChange {
    const { view } = this.ctx;
    const conditions = writes.map(({ key }) => view.conditionOn(key));
    return { conditions, writes, removals: [] };
  }
}
