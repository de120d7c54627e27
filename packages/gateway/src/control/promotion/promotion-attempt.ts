/**
 * One change of a group's primary, from the claim of its record to the record of the new primary. Every step is
 * idempotent; an attempt that ends early leaves a claim that any host can take over.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { NamedSuccessor, PrimaryRecord, UpstreamIdentity } from '@gladespool/coordination';
import {
  isClaimQuorum,
  retainedSuccessor,
  mayBeSameUpstream,
  namedRecord,
  RecordPhase,
  servingRecord,
  proofsExpiredAt,
} from '@gladespool/coordination';
import { FrameKind } from '@gladespool/protocol';
import type { StoreItem } from '../store/metadata-store.js';
import { changeResultText, StorePurpose } from '../store/metadata-store.js';
import { AcknowledgementTracker } from './acknowledgement-tracker.js';
import type { PromotionCause } from './promotion-cause.js';
import { isPlanned } from './promotion-cause.js';
import type { PromotionContext } from './promotion-context.js';
import { PromotionLog } from './promotion-log.js';
import type { RecordClaim } from './record-claimer.js';
import { RecordClaimer } from './record-claimer.js';
import { PromotionCallOutcome, SuccessorPromoter } from './successor-promoter.js';
import { SuccessorSearch } from './successor-search.js';
import { currentEntryOf, isInEvacuatedZone } from './upstream-lookup.js';

/**
 * Time after a hold that another host requested in which this host requests none for the same group, milliseconds:
 * the holds of many hosts in turn would leave callers little time to write.
 */
export const HOLD_REST_MS = 1500;
/** Timeout of a write that names an upstream in the record, milliseconds. */
const WRITE_TIMEOUT_MS = 1000;
/** Time after which a host that has not acknowledged the revocation counts as unresponsive, milliseconds. */
const REVOKE_TIMEOUT_MS = 700;
/** Time for which writes are held before a planned change besides the replication lag, milliseconds. */
const HOLD_MS = 350;
/** Pause before a planned change whose successor was behind is retried, milliseconds: a few replication lags. */
const DEFER_MS = 500;
/** The same after writes were held for it: callers must not spend most of the time waiting. */
const DEFER_AFTER_HOLD_MS = 2000;
/** Time before the promotion lease is free from which a planned change is prepared, milliseconds: one longest lag. */
const LEASE_LEAD_MS = 1000;
/** Time for which writes in flight at the beginning of a hold take to end, milliseconds. */
const IN_FLIGHT_MS = 50;
/**
 * Pause after a hold whose claim failed, milliseconds: longer than `HOLD_REST_MS`, so that another host, which may
 * reach the store, has its turn.
 */
const DEFER_AFTER_CLAIM_MS = HOLD_REST_MS + 500;
/** Time for the reply of a host that held its writes for the full time, milliseconds. */
const HOLD_REPLY_MS = 100;
/** Time left to other hosts to take over a claim once they may promote, milliseconds: one promotion. */
const TAKEOVER_MS = 1000;
/** Time for choosing the successor, before the wait for unresponsive hosts ends, milliseconds. */
const CHOICE_MS = 250;

/** The chosen successor of the former primary. */
interface Choice {
  /** Undefined when too few upstreams report. */
  readonly successor: NamedSuccessor | undefined;
  /** Whether a planned change should keep the former primary. */
  readonly keepsFormer: boolean;
}

/** One attempt to change the primary. */
export class PromotionAttempt {
  /** Local time before which another attempt cannot succeed. */
  notBefore = Number.NEGATIVE_INFINITY;
  /** Local time before which another planned change should not begin. */
  plannedNotBefore = Number.NEGATIVE_INFINITY;
  private readonly startedAt = performance.now();
  private readonly log: PromotionLog;
  private readonly search: SuccessorSearch;
  private readonly promoter: SuccessorPromoter;
  private readonly claimer: RecordClaimer;
  /** Local time until which this attempt has held writes. */
  private heldUntil = Number.NEGATIVE_INFINITY;

  /** @param refused the upstream that the platform has refused to promote, as far as this host knows */
  constructor(
    private readonly former: PrimaryRecord,
    private readonly cause: PromotionCause,
    private readonly ctx: PromotionContext,
    public refused: UpstreamIdentity | undefined,
  ) {
    this.log = new PromotionLog(ctx.log, former, cause);
    this.search = new SuccessorSearch(ctx, this.log);
    this.promoter = new SuccessorPromoter(former.group, ctx, this.log);
    this.claimer = new RecordClaimer(ctx, this.log);
  }

  /** Runs the attempt; resolves with true when a primary serves under a new epoch. */
  async run(): Promise<boolean> {
    this.log.info('promotion-began', { former: this.former.primary });
    if (this.isPlanned && !(await this.prepare())) return false;
    const claim = await this.claim();
    if (claim === undefined) return false;
    const expiredAt = await this.revoke(claim);
    if (expiredAt === undefined) return this.giveUp('hosts-unknown');
    const { successor, keepsFormer } = await this.chooseSuccessor(claim, expiredAt);
    if (this.isPlanned && keepsFormer) return this.keepFormer(claim);
    if (successor === undefined) return this.giveUp('no-successor');
    const named = await this.name(claim, successor);
    if (named === undefined) return false;
    if (!(await this.promote(named, successor))) return this.giveUp('not-promoted');
    const term = await this.promoter.waitUntilPrimary(successor);
    if (term === undefined) return this.yieldToOthers(claim);
    return this.publish(named, successor, term);
  }

  /** Whether the former primary still serves, so that the change can be deferred. */
  private get isPlanned(): boolean {
    return isPlanned(this.cause);
  }

  /** Whether the former primary no longer has to be replaced: it is listed, not draining, and its zone is in use. */
  private get isFormerStaying(): boolean {
    const isLeaving = currentEntryOf(this.ctx.board, this.formerIdentity)?.draining ?? true;
    return !isLeaving && !isInEvacuatedZone(this.ctx.board, this.former.primary);
  }

  /** The former primary as the record names it, regardless of its present entry. */
  private get formerIdentity(): UpstreamIdentity {
    return { id: this.former.primary, born: this.former.born };
  }

  /** Prepares a planned change; false when it is deferred. */
  private async prepare(): Promise<boolean> {
    const now = performance.now();
    const freeAt = this.claimer.leaseFreeAt(now);
    const leaseWaitMs = freeAt - now - LEASE_LEAD_MS;
    if (leaseWaitMs > 0) return this.defer('lease-held', leaseWaitMs);
    const lagMs = await this.search.replicationLagMs(this.former);
    if (lagMs === undefined) return this.defer('successor-behind', DEFER_MS);
    if (freeAt > now) await waitUntil(freeAt - lagMs - IN_FLIGHT_MS);
    if (!(await this.holdUntilReady(HOLD_MS + Math.ceil(lagMs)))) return false;
    if (this.isFormerStaying) return this.defer('primary-stays', DEFER_AFTER_HOLD_MS);
    // Timers may fire a little early.
    while (performance.now() < freeAt) await waitUntil(freeAt);
    return true;
  }

  /** Holds writes for at most `holdMs` until a successor is ready; false when the change is deferred. */
  private async holdUntilReady(holdMs: number): Promise<boolean> {
    const heldAt = performance.now();
    if (this.ctx.holds.isHeld(this.former.group, heldAt))
      return this.defer('writes-held', DEFER_MS);
    this.heldUntil = heldAt + holdMs;
    if (!(await this.holdWrites(holdMs, heldAt))) {
      return this.defer('few-hosts-answer', DEFER_AFTER_HOLD_MS);
    }
    const isReady = await this.search.waitUntilReady(this.former, this.heldUntil);
    return isReady || this.defer('successor-behind', DEFER_AFTER_HOLD_MS);
  }

  /** Defers a planned change before anything was claimed. */
  private defer(reason: string, pauseMs: number): false {
    this.plannedNotBefore = performance.now() + pauseMs;
    return this.giveUp(reason);
  }

  /**
   * Ends a planned change with the former primary: no successor holds all its commits. A stalled claim is never
   * ended so: its former holder may have requested a promotion that is about to take effect.
   */
  private async keepFormer(claim: RecordClaim): Promise<false> {
    this.plannedNotBefore = performance.now() + DEFER_AFTER_HOLD_MS;
    await this.nameServing(claim, this.formerIdentity, this.former.term);
    return this.giveUp('successor-behind');
  }

  /**
   * Holds new writes from `now` on before a planned change, so that those in flight end.
   *
   * @returns whether so many hosts reply that their acknowledgements of a claim would be enough. A claim made
   *   without them would only leave the group without a primary.
   */
  private async holdWrites(holdMs: number, now: number): Promise<boolean> {
    const { group, epoch } = this.former;
    const own = this.ctx.holds.hold(group, epoch, holdMs, now);
    const question = { kind: FrameKind.HoldRequest, id: 0, group, epoch, holdMs } as const;
    const { round, lists, self } = this.ctx;
    const others = round.requestAll(question, holdMs + HOLD_REPLY_MS);
    const [answered] = await Promise.all([others, own]);
    const replied = new Set([self.host, ...answered]);
    return isClaimQuorum(lists.countAcknowledgements(replied, round.listed, performance.now()));
  }

  /** Claims the record and the promotion lease, once this host's earlier claims have ended. */
  private async claim(): Promise<RecordClaim | undefined> {
    const result = await this.ctx.claimLock.run(() =>
      this.claimer.claim(this.former, this.successorToRetain, performance.now()),
    );
    if (result.isOk()) return result.value;
    if (result.error.kind === 'lease-held') this.notBefore = result.error.until;
    else this.plannedNotBefore = this.heldUntil + DEFER_AFTER_CLAIM_MS;
    return undefined;
  }

  /** The upstream that the previous claim named, if this claim has to keep it. */
  private get successorToRetain(): NamedSuccessor | undefined {
    const { board } = this.ctx;
    const { successor } = this.former;
    if (successor === undefined) return undefined;
    return retainedSuccessor(this.former, {
      isThere: currentEntryOf(board, successor) !== undefined,
      isEvacuated: isInEvacuatedZone(board, successor.id),
      isRefused: this.refused !== undefined && mayBeSameUpstream(this.refused, successor),
    });
  }

  /**
   * Ensures that no host uses the former primary any more. Hosts that register later read the claim before they
   * hold a proof.
   *
   * @returns local time from which that holds; undefined when the host list cannot be read, or hosts that do not
   *   reply may renew proofs without learning of the claim
   */
  private async revoke(claim: RecordClaim): Promise<number | undefined> {
    if (!(await this.ctx.proofs.read())) return undefined;
    const { round, lists, self, authority } = this.ctx;
    const acks = new AcknowledgementTracker(lists, round.listed);
    acks.add(self.host, performance.now());
    const question = { kind: FrameKind.RevokeRequest, id: 0, item: claim.item } as const;
    await round.requestAll(question, REVOKE_TIMEOUT_MS, ({ host, items }) => {
      this.search.noteDeparted(items);
      acks.add(host, performance.now());
    });
    const now = performance.now();
    const { listed, acknowledged, established, retired } = acks.update(now);
    const silent = listed - acknowledged;
    this.log.info('promotion-revoked', { listed, silent, established, retired });
    if (silent + retired === 0) return Math.max(now, this.removedHostsExpireAt());
    return acks.quorumAt === undefined ? undefined : proofsExpiredAt(acks.quorumAt, authority);
  }

  /** Local time from which hosts that were removed from the list hold no valid proof. */
  private removedHostsExpireAt(): number {
    return proofsExpiredAt(this.ctx.view.lastHostRemovalAt, this.ctx.authority);
  }

  /**
   * The upstream to promote, chosen shortly before `expiredAt`, when the proofs of unresponsive hosts have expired;
   * resolves then. The choice is repeated if its zone is evacuated meanwhile.
   */
  private async chooseSuccessor(claim: RecordClaim, expiredAt: number): Promise<Choice> {
    const retained = claim.record.successor;
    if (retained !== undefined) {
      await waitUntil(expiredAt);
      return { successor: retained, keepsFormer: false };
    }
    // Where replicas confirm commits, a host with a valid proof may still confirm a commit to its callers.
    const { search } = this;
    if (search.syncReplicasOf(this.former) > 0) await waitUntil(expiredAt);
    else await waitUntil(expiredAt - CHOICE_MS);
    for (;;) {
      const [found] = await Promise.all([search.find(claim.record), waitUntil(expiredAt)]);
      const { successor } = found;
      if (successor === undefined || !isInEvacuatedZone(this.ctx.board, successor.id)) return found;
    }
  }

  /**
   * Names the successor in the record before its promotion is first requested. A promotion may take effect long
   * after the request was abandoned. With another upstream named meanwhile, two primaries would accept writes, and
   * those confirmed by one of them would be lost.
   *
   * @returns the claim with the named successor; undefined when this host no longer holds the claim
   */
  private async name(
    claim: RecordClaim,
    successor: NamedSuccessor,
  ): Promise<RecordClaim | undefined> {
    if (claim.record.successor !== undefined) return claim;
    const record = namedRecord(claim.record, successor);
    const item = await this.replaceClaim(claim, record);
    return item && { ...claim, record, item };
  }

  /** Requests the successor's promotion; false unless the platform has reported that it is done. */
  private async promote(claim: RecordClaim, successor: UpstreamIdentity): Promise<boolean> {
    const outcome = await this.promoter.requestPromotion(claim, successor);
    if (outcome === PromotionCallOutcome.Refused) this.refused = successor;
    return outcome === PromotionCallOutcome.Done;
  }

  /**
   * Ends an attempt whose successor was not observed as primary. If an earlier attempt had named it already, this
   * host may be the one that does not reach it: the others get time to take over the claim.
   */
  private yieldToOthers(claim: RecordClaim): false {
    const { leaseWindowMs, leaseGapMs } = this.ctx.rules;
    const isRepeated = claim.record.successor !== undefined;
    if (isRepeated) this.notBefore = claim.sentAt + leaseWindowMs + leaseGapMs + TAKEOVER_MS;
    return this.giveUp('no-effect');
  }

  /** Completes the change with a new primary. */
  private async publish(
    claim: RecordClaim,
    primary: UpstreamIdentity,
    term: number,
  ): Promise<boolean> {
    if (!(await this.nameServing(claim, primary, term))) return false;
    this.ctx.metrics.promotions.inc();
    const ms = Math.round(performance.now() - this.startedAt);
    this.log.info('promotion-ended', {
      primary: primary.id,
      former: this.former.primary,
      ms,
    });
    return true;
  }

  /** Names the primary that serves the claimed epoch in the record, and notifies the hosts. */
  private async nameServing(
    claim: RecordClaim,
    primary: UpstreamIdentity,
    term: number | undefined,
  ): Promise<boolean> {
    const item = await this.replaceClaim(claim, servingRecord(claim.record, primary, term));
    if (item === undefined) return false;
    this.ctx.round.notifyAll({ kind: FrameKind.StoreUpdate, items: [item] });
    return true;
  }

  /** Replaces the claim by `record`; undefined when this host no longer holds it, or the outcome is unknown. */
  private async replaceClaim(
    claim: RecordClaim,
    record: PrimaryRecord,
  ): Promise<StoreItem | undefined> {
    const { store, view } = this.ctx;
    const { key, position } = claim.item;
    const value = JSON.stringify(record);
    const change = { conditions: [{ key, position }], writes: [{ key, value }], removals: [] };
    const result = await store.change(change, StorePurpose.Record, WRITE_TIMEOUT_MS);
    if (result.isErr() || result.value.kind !== 'done') {
      await this.ctx.proofs.read();
      const step = record.phase === RecordPhase.Serving ? 'publish' : 'name';
      this.giveUp(`${step}-${changeResultText(result)}`);
      return undefined;
    }
    const item = { key, value, position: result.value.position };
    view.applyItems([item], performance.now());
    return item;
  }

  private giveUp(reason: string): false {
    this.log.info('promotion-given-up', { reason });
    return false;
  }
}

/** Waits until local time `at`; if that has passed, for one turn of the event loop. */
function waitUntil(at: number): Promise<void> {
  return pause(Math.max(0, at - performance.now()));
}
