/**
 * One change of a group's primary, from the claim of its record to the new one. Every step may be
 * repeated; an attempt that ends early leaves a claim that any host takes over.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  PrimaryRecord,
  SuccessorReport,
  UpstreamId,
  UpstreamIdentity,
} from '@gladespool/coordination';
import {
  isMajority,
  mayBeSameUpstream,
  positionText,
  servingRecord,
  silentHostFreeAt,
} from '@gladespool/coordination';
import { FrameKind } from '@gladespool/protocol';
import type { StatusResult } from '../../home/upstream-probe.js';
import type { UpstreamEntry } from '../../model/catalog.js';
import type { UpstreamStatus } from '../../model/upstream-wire.js';
import { changeEnd, StorePurpose } from '../store/metadata-store.js';
import { PromotionAnswer } from './promotion-call.js';
import { PromotionCause } from './promotion-cause.js';
import type { PromotionContext } from './promotion-context.js';
import { PromotionLog } from './promotion-log.js';
import type { RecordClaim } from './record-claimer.js';
import { RecordClaimer } from './record-claimer.js';
import type { SearchResult } from './successor-search.js';
import { STATUS_TIMEOUT_MS, SuccessorSearch } from './successor-search.js';

/** Causes with which the former primary still serves. */
const PLANNED: ReadonlySet<PromotionCause> = new Set([
  PromotionCause.Draining,
  PromotionCause.Evacuated,
]);
/** Longest time for naming the new primary in the record, milliseconds. */
const PUBLISH_TIMEOUT_MS = 1000;
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
/** Longest time for one call for a promotion, milliseconds. */
const CALL_TIMEOUT_MS = 1000;
/** Longest time for a promotion to take effect, milliseconds; the platform's takes 300 to 600. */
const EFFECT_MS = 2500;
/** Time between two calls or two looks at the successor, milliseconds. */
const POLL_MS = 40;
/** Time for choosing the successor, taken from the end of the wait for silent hosts, milliseconds. */
const CHOICE_MS = 250;

/** One attempt. */
export class PromotionAttempt {
  /** Local time before which another attempt is of no use. */
  notBefore = Number.NEGATIVE_INFINITY;
  private readonly startedAt = performance.now();
  private readonly log: PromotionLog;
  private readonly search: SuccessorSearch;

  constructor(
    private readonly former: PrimaryRecord,
    private readonly cause: PromotionCause,
    private readonly ctx: PromotionContext,
  ) {
    this.log = new PromotionLog(ctx.log, former, cause);
    this.search = new SuccessorSearch(ctx, this.log);
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
    if (!(await this.promote(claim, successor))) return this.giveUp('not-promoted');
    if (!(await this.takesEffect(successor))) return this.giveUp('no-effect');
    return this.publish(claim, successor);
  }

  /** Whether the former primary still serves, so that the change can as well wait. */
  private get isPlanned(): boolean {
    return PLANNED.has(this.cause);
  }

  /** Whether the former primary need not leave any more, or has an entry again. */
  private get formerStays(): boolean {
    const isLeaving = this.entryOf(this.formerIdentity)?.draining ?? true;
    return !isLeaving && !this.isEvacuated(this.former.primary);
  }

  /** The former primary as the record names it, whatever its entry tells by now. */
  private get formerIdentity(): UpstreamIdentity {
    return { id: this.former.primary, born: this.former.born };
  }

  /** Whether an upstream lies in a zone that is evacuated now. */
  private isEvacuated(upstream: UpstreamId): boolean {
    const { board } = this.ctx;
    const entry = board.upstreams.get(upstream);
    return entry !== undefined && board.evacuations.has(entry.az);
  }

  /** Prepares a planned change; false when it is put off. */
  private async prepare(): Promise<boolean> {
    const isReady = await this.search.isReady(this.former);
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
    const question = { kind: FrameKind.HoldAsk, id: 0, group, epoch, holdMs: HOLD_MS } as const;
    const others = this.ctx.round.askAll(question, HOLD_MS + HOLD_ANSWER_MS);
    const [answered] = await Promise.all([others, own]);
    return isMajority(1 + answered.size, this.ctx.board.listedHosts);
  }

  /** Claims the record and the duty, once this host's claims before it have ended. */
  private async claim(): Promise<RecordClaim | undefined> {
    const claimer = new RecordClaimer(this.ctx, this.log);
    const result = await this.ctx.claims.run(() => claimer.claim(this.former, performance.now()));
    if (result.isOk()) return result.value;
    if (result.error.kind === 'duty-held') this.notBefore = result.error.until;
    return undefined;
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
    const question = { kind: FrameKind.RevokeAsk, id: 0, item: claim.item } as const;
    const answered = await this.ctx.round.askAll(question, REVOKE_TIMEOUT_MS, () => {
      if (isMajority(acked, listed)) return;
      acked += 1;
      majorityAt = performance.now();
    });
    const silent = others.filter((entry) => !answered.has(entry.host)).length + unknown.length;
    this.log.info('promotion-revoked', { listed, silent });
    const now = performance.now();
    if (silent === 0) return Math.max(now, this.retiredHostsFreeAt());
    if (!isMajority(listed - silent, listed)) return undefined;
    return silentHostFreeAt(majorityAt, this.ctx.authority);
  }

  /** When hosts that were taken off the list shortly before hold no proof any more. */
  private retiredHostsFreeAt(): number {
    return silentHostFreeAt(this.ctx.view.hostLastGoneAt, this.ctx.authority);
  }

  /**
   * The upstream to promote, chosen shortly before the last silent host is free; resolves then. It is chosen
   * anew if its zone is evacuated meanwhile.
   */
  private async chooseSuccessor(claim: RecordClaim, freeAt: number): Promise<SearchResult> {
    // Where replicas confirm commits, a host that is not free yet may still confirm one.
    const { search } = this;
    if (search.syncReplicasOf(this.former) > 0) await waitUntil(freeAt);
    else await waitUntil(freeAt - CHOICE_MS);
    for (;;) {
      const [found] = await Promise.all([search.find(claim.record), waitUntil(freeAt)]);
      const { successor } = found;
      if (successor === undefined || !this.isEvacuated(successor.id)) return found;
    }
  }

  /**
   * Calls for the promotion, never after the duty's window, nor of an upstream that has started anew
   * meanwhile, nor into a zone that is evacuated.
   */
  private async promote(claim: RecordClaim, successor: UpstreamIdentity): Promise<boolean> {
    const upstream = successor.id;
    const { port, self, rules } = this.ctx;
    const windowEnd = claim.sentAt + rules.dutyWindowMs;
    for (let leftMs = windowEnd - performance.now(); leftMs > 0;) {
      if (this.entryOf(successor) === undefined || this.isEvacuated(upstream)) return false;
      const answer = await port.promote({
        group: this.former.group,
        upstream,
        holder: self.host,
        fence: claim.fence,
        timeoutMs: Math.min(CALL_TIMEOUT_MS, leftMs),
      });
      const told = answer.isOk() ? answer.value : answer.error.message;
      this.log.info('promotion-called', { upstream, fence: claim.fence, result: told });
      if (answer.isOk() && answer.value === PromotionAnswer.Done) return true;
      if (answer.isOk() && answer.value === PromotionAnswer.Refused) return false;
      await pause(POLL_MS);
      leftMs = windowEnd - performance.now();
    }
    return false;
  }

  /**
   * Waits until the successor leads a later term than it knew when it was chosen. One that has started
   * anew since then lacks what it was chosen for.
   */
  private async takesEffect(successor: SuccessorReport): Promise<boolean> {
    const { probe } = this.ctx;
    const { group } = this.former;
    const until = performance.now() + EFFECT_MS;
    while (performance.now() < until) {
      const entry = this.entryOf(successor);
      if (entry === undefined) return false;
      const result = await probe.ask(entry, group, STATUS_TIMEOUT_MS);
      const leads = result.kind === 'status' && result.status.isPrimary;
      if (leads && isBehindChoice(successor, entry, result.status)) return false;
      if (leads && (successor.isPrimary || result.status.term > successor.term)) {
        this.noteEffect(successor, result);
        return true;
      }
      await pause(POLL_MS);
    }
    return false;
  }

  /** Tells what the new primary holds, and how much of it its reads show already. */
  private noteEffect({ id, isPrimary }: SuccessorReport, { status, applied }: StatusResult): void {
    this.log.info('promotion-took-effect', {
      upstream: id,
      term: status.term,
      received: positionText(status.received),
      applied: applied && positionText(applied),
      led_before: isPrimary,
    });
  }

  /** The entry of an upstream; undefined when it has none, or tells of another one that started since. */
  private entryOf(upstream: UpstreamIdentity): UpstreamEntry | undefined {
    const entry = this.ctx.board.upstreams.get(upstream.id);
    return entry !== undefined && mayBeSameUpstream(upstream, entry) ? entry : undefined;
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
    const { store, view } = this.ctx;
    const record = servingRecord(claim.record, primary);
    const { key, revision } = claim.item;
    const value = JSON.stringify(record);
    const change = { conditions: [{ key, revision }], writes: [{ key, value }], removals: [] };
    const result = await store.change(change, StorePurpose.Record, PUBLISH_TIMEOUT_MS);
    if (result.isErr() || result.value.kind !== 'done') {
      await this.ctx.proofs.read();
      return this.giveUp(`publish-${changeEnd(result)}`);
    }
    const item = { key, value, revision: result.value.revision };
    view.takeItems([item], performance.now());
    this.ctx.round.tellAll({ kind: FrameKind.StoreNews, items: [item] });
    return true;
  }

  private giveUp(reason: string): false {
    this.log.info('promotion-given-up', { reason });
    return false;
  }
}

/**
 * Whether a successor has started anew before its new entry was read: it holds less than when it was chosen.
 * Only upstreams that tell their births start anew under their ids.
 */
function isBehindChoice(
  chosen: SuccessorReport,
  entry: UpstreamIdentity,
  status: UpstreamStatus,
): boolean {
  return entry.born !== undefined && status.received.offset < chosen.received.offset;
}

/** Waits until local time `at`, through one turn of the event loop if that is over. */
function waitUntil(at: number): Promise<void> {
  return pause(Math.max(0, at - performance.now()));
}
