/**
 * One change of a group's primary, from the claim of its record to the new one. Every step may be
 * repeated; an attempt that ends early leaves a claim that any host takes over.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  AuthorityRules,
  FailoverRules,
  PrimaryRecord,
  SuccessorReport,
  UpstreamId,
} from '@gladespool/coordination';
import {
  chooseSuccessor,
  claimDuty,
  isMajority,
  RecordPhase,
  silentHostFreeAt,
} from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { PeerNetwork } from '@gladespool/peers';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../board.js';
import type { UpstreamProbe } from '../home/upstream-probe.js';
import type { ClaimLock } from './claim-lock.js';
import type { MetadataStore, StoreItem } from './metadata-store.js';
import { StorePurpose } from './metadata-store.js';
import type { PeerCalls } from './peer-calls.js';
import type { PromotionPort } from './promotion-call.js';
import { PromotionAnswer } from './promotion-call.js';
import type { ProofKeeper } from './proof-keeper.js';
import { DUTY_KEY, primaryKey } from './store-documents.js';
import type { StoreView } from './store-view.js';
import type { WriteHolds } from './write-holds.js';

/** What attempts work with. */
export interface PromotionContext {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly store: MetadataStore;
  readonly view: StoreView;
  readonly proofs: ProofKeeper;
  readonly calls: PeerCalls;
  readonly network: PeerNetwork;
  readonly probe: UpstreamProbe;
  readonly holds: WriteHolds;
  readonly claims: ClaimLock;
  readonly port: PromotionPort;
  readonly authority: AuthorityRules;
  readonly rules: FailoverRules;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}

/** Why a primary is changed. */
export enum PromotionCause {
  Suspect = 'suspect',
  Draining = 'draining',
  Unlisted = 'unlisted',
  StalledClaim = 'stalled-claim',
}

const STORE_TIMEOUT_MS = 1000;
/** Longest time for a host to give the former primary up before it counts as silent, milliseconds. */
const REVOKE_TIMEOUT_MS = 700;
/** Time for which writes are held before a planned change, milliseconds; callers wait no longer. */
const HOLD_MS = 350;
/** Longest time for an upstream's status, milliseconds. */
const STATUS_TIMEOUT_MS = 200;
/** Longest time for a successor to receive what the former primary holds, milliseconds. */
const CATCH_UP_MS = 500;
/** Longest time for one call for a promotion, milliseconds. */
const CALL_TIMEOUT_MS = 1000;
/** Longest time for a promotion to take effect, milliseconds; the platform's takes 300 to 600. */
const EFFECT_MS = 2500;
const POLL_MS = 40;
/** Time for choosing the successor, taken from the end of the wait for silent hosts, milliseconds. */
const CHOICE_MS = 250;

/** A claimed record and the fence under which calls may be made. */
interface Claim {
  readonly record: PrimaryRecord;
  readonly item: StoreItem;
  readonly fence: number;
  /** Local time at which the claim was sent; the duty's window counts from here. */
  readonly sentAt: number;
  /** Local time at which the store had confirmed it. */
  readonly confirmedAt: number;
}

/** One attempt. */
export class PromotionAttempt {
  /** Local time before which another attempt is of no use. */
  notBefore = Number.NEGATIVE_INFINITY;
  private readonly startedAt = performance.now();

  constructor(
    private readonly former: PrimaryRecord,
    private readonly cause: PromotionCause,
    private readonly ctx: PromotionContext,
  ) {}

  /** Runs to the end; true when a primary serves under a new epoch. */
  async run(): Promise<boolean> {
    this.tell('promotion-began', { former: this.former.primary });
    if (this.cause === PromotionCause.Draining) await this.holdWrites();
    const claim = await this.ctx.claims.run(() => this.claim());
    if (claim === undefined) return false;
    const freeAt = await this.revoke(claim);
    if (freeAt === undefined) return this.giveUp('hosts-unknown');
    await pause(Math.max(0, freeAt - performance.now() - CHOICE_MS));
    const [successor] = await Promise.all([
      this.successor(claim),
      pause(Math.max(0, freeAt - performance.now())),
    ]);
    if (successor === undefined) return this.giveUp('no-successor');
    if (!(await this.promote(claim, successor.id))) return this.giveUp('not-promoted');
    if (!(await this.takesEffect(successor))) return this.giveUp('no-effect');
    return this.publish(claim, successor.id);
  }

  /** Lets writes in flight end before a planned change. */
  private async holdWrites(): Promise<void> {
    const { group, epoch } = this.former;
    const own = this.ctx.holds.hold(group, epoch, HOLD_MS, performance.now());
    const others = this.askAll(
      (id) => ({ kind: FrameKind.HoldAsk, id, group, epoch, holdMs: HOLD_MS }),
      HOLD_MS,
    );
    await Promise.all([own, others]);
  }

  /** Claims the record and the duty in one change. */
  private async claim(): Promise<Claim | undefined> {
    const { self, view, store, rules } = this.ctx;
    const now = performance.now();
    const seen = view.duty && { ...view.duty.duty, seenAt: view.duty.seenAt };
    const duty = claimDuty(seen, self, now, rules);
    if (duty.kind === 'wait') {
      this.notBefore = duty.until;
      this.tell('promotion-waits-for-duty', {
        holder: seen?.holder,
        wait_ms: Math.round(duty.until - now),
      });
      return undefined;
    }
    const key = primaryKey(this.former.group);
    const record: PrimaryRecord = {
      ...this.former,
      epoch: this.former.epoch + 1,
      phase: RecordPhase.Claimed,
      holder: self.host,
    };
    const value = JSON.stringify(record);
    const dutyValue = JSON.stringify({
      holder: self.host,
      incarnation: self.incarnation,
      fence: duty.fence,
      renewal: (view.duty?.duty.renewal ?? 0) + 1,
    });
    const change = {
      conditions: [
        { key, revision: view.revisionOf(key) },
        { key: DUTY_KEY, revision: view.revisionOf(DUTY_KEY) },
      ],
      writes: [
        { key, value },
        { key: DUTY_KEY, value: dutyValue },
      ],
      removals: [],
    };
    const result = await store.change(change, StorePurpose.Record, STORE_TIMEOUT_MS);
    const confirmedAt = performance.now();
    if (result.isErr() || result.value.kind !== 'done') {
      const told = result.isErr() ? result.error.message : result.value.kind;
      this.tell('promotion-claim-failed', { result: told });
      await this.ctx.proofs.read();
      return undefined;
    }
    const item = { key, value, revision: result.value.revision };
    view.takeItems(
      [item, { key: DUTY_KEY, value: dutyValue, revision: result.value.revision }],
      confirmedAt,
    );
    return { record, item, fence: duty.fence, sentAt: now, confirmedAt };
  }

  /**
   * Makes sure that no host uses the former primary any more. Hosts that listed themselves later read
   * the claim before they hold a proof.
   *
   * @returns local time from which that holds; undefined when the listed hosts are not known for
   *   sure or not more than half of them answer.
   */
  private async revoke(claim: Claim): Promise<number | undefined> {
    if (!(await this.ctx.proofs.read())) return undefined;
    let acked = 1;
    let majorityAt = claim.confirmedAt;
    const listed = this.ctx.board.hosts.size;
    const answers = await this.askAll(
      (id) => ({ kind: FrameKind.RevokeAsk, id, item: claim.item }),
      REVOKE_TIMEOUT_MS,
      () => {
        if (isMajority(acked, listed)) return;
        acked += 1;
        majorityAt = performance.now();
      },
    );
    const silent = answers.filter((answered) => !answered).length;
    this.tell('promotion-revoked', { listed, silent });
    if (silent === 0) return performance.now();
    if (!isMajority(listed - silent, listed)) return undefined;
    return silentHostFreeAt(majorityAt, this.ctx.authority);
  }

  /** The upstream to promote; after a planned hold one that holds all that the former one has. */
  private async successor(claim: Claim): Promise<SuccessorReport | undefined> {
    const { primary } = claim.record;
    const until = performance.now() + CATCH_UP_MS;
    for (;;) {
      const reports = await this.reports();
      const chosen = chooseSuccessor(reports, primary);
      const former = reports.find((report) => report.id === primary);
      const complete =
        chosen !== undefined &&
        (former === undefined || chosen.received.offset >= former.received.offset);
      if (complete || performance.now() >= until) {
        this.tell('promotion-successor', {
          upstream: chosen?.id,
          received: chosen?.received.offset,
          former_received: former?.received.offset,
          reports: reports.length,
        });
        return chosen;
      }
      await pause(POLL_MS);
    }
  }

  private async reports(): Promise<readonly SuccessorReport[]> {
    const { board, probe } = this.ctx;
    const { group } = this.former;
    const found = await Promise.all(
      board.upstreamsOf(group).map(async (entry) => {
        const result = await probe.ask(entry, group, STATUS_TIMEOUT_MS);
        if (result.kind !== 'status') return undefined;
        return { ...result.status, id: entry.id, draining: entry.draining };
      }),
    );
    return found.filter((report) => report !== undefined);
  }

  /** Calls for the promotion, never after the duty's window. */
  private async promote(claim: Claim, upstream: UpstreamId): Promise<boolean> {
    const { port, self, rules } = this.ctx;
    const windowEnd = claim.sentAt + rules.dutyWindowMs;
    for (let leftMs = windowEnd - performance.now(); leftMs > 0;) {
      const answer = await port.promote({
        group: this.former.group,
        upstream,
        holder: self.host,
        fence: claim.fence,
        timeoutMs: Math.min(CALL_TIMEOUT_MS, leftMs),
      });
      const told = answer.isOk() ? answer.value : answer.error.message;
      this.tell('promotion-called', { upstream, fence: claim.fence, result: told });
      if (answer.isOk() && answer.value === PromotionAnswer.Done) return true;
      if (answer.isOk() && answer.value === PromotionAnswer.Refused) return false;
      await pause(POLL_MS);
      leftMs = windowEnd - performance.now();
    }
    return false;
  }

  /** Waits until the successor leads a later term than it knew when it was chosen. */
  private async takesEffect(successor: SuccessorReport): Promise<boolean> {
    const { board, probe } = this.ctx;
    const { group } = this.former;
    const until = performance.now() + EFFECT_MS;
    while (performance.now() < until) {
      const entry = board.upstreams.get(successor.id);
      if (entry === undefined) return false;
      const result = await probe.ask(entry, group, STATUS_TIMEOUT_MS);
      const leads = result.kind === 'status' && result.status.isPrimary;
      if (leads && (successor.isPrimary || result.status.term > successor.term)) return true;
      await pause(POLL_MS);
    }
    return false;
  }

  /** Names the new primary in the record and tells the hosts. */
  private async publish(claim: Claim, primary: UpstreamId): Promise<boolean> {
    const { store, view, metrics } = this.ctx;
    const record = { ...claim.record, phase: RecordPhase.Serving, primary };
    const { key, revision } = claim.item;
    const value = JSON.stringify(record);
    const change = { conditions: [{ key, revision }], writes: [{ key, value }], removals: [] };
    const result = await store.change(change, StorePurpose.Record, STORE_TIMEOUT_MS);
    if (result.isErr() || result.value.kind !== 'done') {
      const told = result.isErr() ? result.error.message : result.value.kind;
      await this.ctx.proofs.read();
      return this.giveUp(`publish-${told}`);
    }
    const item = { key, value, revision: result.value.revision };
    view.takeItems([item], performance.now());
    this.tellHosts(item);
    metrics.promotions.inc();
    const ms = Math.round(performance.now() - this.startedAt);
    this.tell('promotion-ended', { primary, former: this.former.primary, ms });
    return true;
  }

  private tellHosts(item: StoreItem): void {
    const { board, network } = this.ctx;
    for (const host of board.hosts.values()) {
      if (host.host === board.host) continue;
      void network.sendTo(host, { kind: FrameKind.StoreNews, items: [item] });
    }
  }

  /**
   * Asks every other host; tells of each whether it answered. Nothing but an answer shows that a
   * host is done: a cut can look like a process that is gone.
   */
  private async askAll(
    build: Parameters<PeerCalls['ask']>[1],
    timeoutMs: number,
    onAnswer: () => void = () => undefined,
  ): Promise<readonly boolean[]> {
    const { board, calls } = this.ctx;
    const others = [...board.hosts.values()].filter((host) => host.host !== board.host);
    return Promise.all(
      others.map(async (host) => {
        const answer = await calls.ask(host, build, timeoutMs);
        if (answer.isOk()) onAnswer();
        return answer.isOk();
      }),
    );
  }

  private giveUp(reason: string): false {
    this.tell('promotion-given-up', { reason });
    return false;
  }

  private tell(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
    const { group, epoch } = this.former;
    this.ctx.log.info(event, { group, epoch: epoch + 1, cause: this.cause, ...fields });
  }
}
