/**
 * One change of a group's primary, from the claim of its record to the new one. Every step may be
 * repeated; an attempt that ends early leaves a claim that any host takes over.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { NamedSuccessor, PrimaryRecord, UpstreamIdentity } from '@gladespool/coordination';
import {
  isMajority,
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
import { PromotionCause } from './promotion-cause.js';
import type { PromotionContext } from './promotion-context.js';
import { PromotionLog } from './promotion-log.js';
import type { RecordClaim } from './record-claimer.js';
import { RecordClaimer } from './record-claimer.js';
import { PromotionCallOutcome, SuccessorPromoter } from './successor-promoter.js';
import { SuccessorSearch } from './successor-search.js';
import { currentEntryOf, isInEvacuatedZone } from './upstream-lookup.js';

/** Causes with which the former primary still serves. */
const PLANNED: ReadonlySet<PromotionCause> = new Set([
  PromotionCause.Draining,
  PromotionCause.Evacuated,
]);
/** Longest time for naming an upstream in the record, milliseconds. */
const SWAP_TIMEOUT_MS = 1000;
/** Longest time for a host to give the former primary up before it counts as silent, milliseconds. */
const REVOKE_TIMEOUT_MS = 700;
/** Time for which writes are held before a planned change, milliseconds; callers wait no longer. */
const HOLD_MS = 350;
/** Pause before a planned change is tried again whose successor was behind, milliseconds: a few lags. */
const PUT_OFF_MS = 500;
/** The same after writes were held for it: callers must not wait for most of the time. */
const HELD_PUT_OFF_MS = 2000;
/** Time for the answer of a host that held its writes for as long as it may, milliseconds. */
const HOLD_ANSWER_MS = 100;
/** Time left to other hosts to take a claim over once they may call, milliseconds: one promotion. */
const OTHERS_TURN_MS = 1000;
/** Time for choosing the successor, taken from the end of the wait for silent hosts, milliseconds. */
const CHOICE_MS = 250;

/** Who is to follow the former primary. */
interface Choice {
  /** Undefined when too few upstreams report. */
  readonly successor: NamedSuccessor | undefined;
  /** Whether a planned change had better end with the former primary. */
  readonly keepsFormer: boolean;
}

/** One attempt. */
export class PromotionAttempt {
  /** Local time before which another attempt is of no use. */
  notBefore = Number.NEGATIVE_INFINITY;
  private readonly startedAt = performance.now();
  private readonly log: PromotionLog;
  private readonly search: SuccessorSearch;
  private readonly lead: SuccessorPromoter;

  /** @param refused the upstream that the platform has refused to promote, as far as this host knows */
  constructor(
    private readonly former: PrimaryRecord,
    private readonly cause: PromotionCause,
    private readonly ctx: PromotionContext,
    public refused: UpstreamIdentity | undefined,
  ) {
    this.log = new PromotionLog(ctx.log, former, cause);
    this.search = new SuccessorSearch(ctx, this.log);
    this.lead = new SuccessorPromoter(former.group, ctx, this.log);
  }

  /** Runs to the end; true when a primary serves under a new epoch. */
  async run(): Promise<boolean> {
    this.log.info('promotion-began', { former: this.former.primary });
    if (this.isPlanned && !(await this.prepare())) return false;
    const claim = await this.claim();
    if (claim === undefined) return false;
    const freeAt = await this.revoke(claim);
    if (freeAt === undefined) return this.giveUp('hosts-unknown');
    const { successor, keepsFormer } = await this.chooseSuccessor(claim, freeAt);
    if (this.isPlanned && keepsFormer) return this.keepFormer(claim);
    if (successor === undefined) return this.giveUp('no-successor');
    const named = await this.name(claim, successor);
    if (named === undefined) return false;
    if (!(await this.promote(named, successor))) return this.giveUp('not-promoted');
    if (!(await this.lead.waitUntilPrimary(successor))) return this.leaveToOthers(claim);
    return this.publish(named, successor);
  }

  /** Whether the former primary still serves, so that the change can as well wait. */
  private get isPlanned(): boolean {
    return PLANNED.has(this.cause);
  }

  /** Whether the former primary need not leave any more, or has an entry again. */
  private get formerStays(): boolean {
    const isLeaving = currentEntryOf(this.ctx.board, this.formerIdentity)?.draining ?? true;
    return !isLeaving && !isInEvacuatedZone(this.ctx.board, this.former.primary);
  }

  /** The former primary as the record names it, whatever its entry tells by now. */
  private get formerIdentity(): UpstreamIdentity {
    return { id: this.former.primary, born: this.former.born };
  }

  /** Prepares a planned change; false when it is put off. */
  private async prepare(): Promise<boolean> {
    const isReady = await this.search.hasReadySuccessor(this.former);
    if (!isReady) return this.putOff('successor-behind', PUT_OFF_MS);
    if (!(await this.holdWrites())) return this.putOff('few-hosts-answer', HELD_PUT_OFF_MS);
    if (this.formerStays) return this.putOff('primary-stays', HELD_PUT_OFF_MS);
    return true;
  }

  /** Ends a planned change before anything was claimed. */
  private putOff(reason: string, pauseMs: number): false {
    this.notBefore = performance.now() + pauseMs;
    return this.giveUp(reason);
  }

  /**
   * Ends a planned change with the primary that there was: no successor holds all its commits. Not so a
   * stalled claim: its former holder may have called for a promotion that is about to take effect.
   */
  private async keepFormer(claim: RecordClaim): Promise<false> {
    this.notBefore = performance.now() + HELD_PUT_OFF_MS;
    await this.nameServing(claim, this.formerIdentity);
    return this.giveUp('successor-behind');
  }

  /**
   * Lets writes in flight end before a planned change.
   *
   * @returns whether more than half of the hosts answer. A claim made without them would only leave the
   *   group without a primary.
   */
  private async holdWrites(): Promise<boolean> {
    const { group, epoch } = this.former;
    const own = this.ctx.holds.hold(group, epoch, HOLD_MS, performance.now());
    const question = { kind: FrameKind.HoldRequest, id: 0, group, epoch, holdMs: HOLD_MS } as const;
    const others = this.ctx.round.requestAll(question, HOLD_MS + HOLD_ANSWER_MS);
    const [answered] = await Promise.all([others, own]);
    return isMajority(1 + answered.size, this.ctx.board.listedHostCount);
  }

  /** Claims the record and the duty, once this host's claims before it have ended. */
  private async claim(): Promise<RecordClaim | undefined> {
    const claimer = new RecordClaimer(this.ctx, this.log);
    const result = await this.ctx.claimLock.run(() =>
      claimer.claim(this.former, this.keptSuccessor, performance.now()),
    );
    if (result.isOk()) return result.value;
    if (result.error.kind === 'duty-held') this.notBefore = result.error.until;
    return undefined;
  }

  /** The upstream that the claim before this one has named, if this one has to name it as well. */
  private get keptSuccessor(): NamedSuccessor | undefined {
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
   * Makes sure that no host uses the former primary any more. Hosts that listed themselves later read
   * the claim before they hold a proof.
   *
   * @returns local time from which that holds; undefined when the listed hosts are not known for
   *   sure or not more than half of them answer.
   */
  private async revoke(claim: RecordClaim): Promise<number | undefined> {
    if (!(await this.ctx.proofs.read())) return undefined;
    let acked = 1;
    let majorityAt = claim.confirmedAt;
    const { others, unknown } = this.ctx.round;
    const listed = others.length + unknown.length + 1;
    const question = { kind: FrameKind.RevokeRequest, id: 0, item: claim.item } as const;
    const answered = await this.ctx.round.requestAll(question, REVOKE_TIMEOUT_MS, () => {
      if (isMajority(acked, listed)) return;
      acked += 1;
      majorityAt = performance.now();
    });
    const silent = others.filter((entry) => !answered.has(entry.host)).length + unknown.length;
    this.log.info('promotion-revoked', { listed, silent });
    const now = performance.now();
    if (silent === 0) return Math.max(now, this.retiredHostsFreeAt());
    if (!isMajority(listed - silent, listed)) return undefined;
    return proofsExpiredAt(majorityAt, this.ctx.authority);
  }

  /** When hosts that were taken off the list shortly before hold no proof any more. */
  private retiredHostsFreeAt(): number {
    return proofsExpiredAt(this.ctx.view.lastHostRemovalAt, this.ctx.authority);
  }

  /**
   * The upstream to promote, chosen shortly before the last silent host is free; resolves then. It is chosen
   * anew if its zone is evacuated meanwhile.
   */
  private async chooseSuccessor(claim: RecordClaim, freeAt: number): Promise<Choice> {
    const kept = claim.record.successor;
    if (kept !== undefined) {
      await waitUntil(freeAt);
      return { successor: kept, keepsFormer: false };
    }
    // Where replicas confirm commits, a host that is not free yet may still confirm one.
    const { search } = this;
    if (search.syncReplicasOf(this.former) > 0) await waitUntil(freeAt);
    else await waitUntil(freeAt - CHOICE_MS);
    for (;;) {
      const [found] = await Promise.all([search.find(claim.record), waitUntil(freeAt)]);
      const { successor } = found;
      if (successor === undefined || !isInEvacuatedZone(this.ctx.board, successor.id)) return found;
    }
  }

  /**
   * Names the successor in the record before the first call for it. A promotion may take effect long after the
   * call was given up: with another upstream named meanwhile, callers missed 50,000 confirmed commits in four
   * seconds (three hosts, the successor stopped for 4.5 s after the call).
   *
   * @returns the claim with the named successor; undefined when the claim is this host's no more
   */
  private async name(
    claim: RecordClaim,
    successor: NamedSuccessor,
  ): Promise<RecordClaim | undefined> {
    if (claim.record.successor !== undefined) return claim;
    const record = namedRecord(claim.record, successor);
    const item = await this.swap(claim, record);
    return item && { ...claim, record, item };
  }

  /** Calls for the successor's promotion; false unless the platform has said that it is done. */
  private async promote(claim: RecordClaim, successor: UpstreamIdentity): Promise<boolean> {
    const end = await this.lead.requestPromotion(claim, successor);
    if (end === PromotionCallOutcome.Refused) this.refused = successor;
    return end === PromotionCallOutcome.Done;
  }

  /**
   * Ends an attempt whose successor was not seen to lead. Where it was named before already, it may be this host
   * that does not reach it: the others get the time in which they may take the claim over.
   */
  private leaveToOthers(claim: RecordClaim): false {
    const { leaseWindowMs, leaseGapMs } = this.ctx.rules;
    const isRepeated = claim.record.successor !== undefined;
    if (isRepeated) this.notBefore = claim.sentAt + leaseWindowMs + leaseGapMs + OTHERS_TURN_MS;
    return this.giveUp('no-effect');
  }

  /** Ends the change with a new primary. */
  private async publish(claim: RecordClaim, primary: UpstreamIdentity): Promise<boolean> {
    if (!(await this.nameServing(claim, primary))) return false;
    this.ctx.metrics.promotions.inc();
    const ms = Math.round(performance.now() - this.startedAt);
    this.log.info('promotion-ended', {
      primary: primary.id,
      former: this.former.primary,
      ms,
    });
    return true;
  }

  /** Names the primary that serves the claimed epoch in the record, and tells the hosts. */
  private async nameServing(claim: RecordClaim, primary: UpstreamIdentity): Promise<boolean> {
    const item = await this.swap(claim, servingRecord(claim.record, primary));
    if (item === undefined) return false;
    this.ctx.round.notifyAll({ kind: FrameKind.StoreUpdate, items: [item] });
    return true;
  }

  /** Puts `record` in the place of the claim; undefined when the claim is this host's no more, or nobody tells. */
  private async swap(claim: RecordClaim, record: PrimaryRecord): Promise<StoreItem | undefined> {
    const { store, view } = this.ctx;
    const { key, position } = claim.item;
    const value = JSON.stringify(record);
    const change = { conditions: [{ key, position }], writes: [{ key, value }], removals: [] };
    const result = await store.change(change, StorePurpose.Record, SWAP_TIMEOUT_MS);
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

/** Waits until local time `at`, through one turn of the event loop if that is over. */
function waitUntil(at: number): Promise<void> {
  return pause(Math.max(0, at - performance.now()));
}
