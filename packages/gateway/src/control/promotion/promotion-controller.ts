/**
 * Watches every group's primary and starts the change of it when this host is the one to act.
 */
import type {
  GroupId,
  HostId,
  PrimaryRecord,
  ReachEvidence,
  UpstreamIdentity,
} from '@gladespool/coordination';
import {
  FailoverDecision,
  groupId,
  acknowledgesClaim,
  mayBeSameStartTime,
  decideFailover,
  RecordPhase,
  recordRank,
} from '@gladespool/coordination';
import { DocumentVerdict } from '@gladespool/observability';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { ReachabilityReports } from '../../knowledge/reachability-reports.js';
import type { UpstreamEntry } from '../../model/catalog.js';
import { FailoverOrder } from './failover-order.js';
import type { PrimaryMonitor } from './primary-monitor.js';
import { PromotionAttempt } from './promotion-attempt.js';
import { PromotionCause } from './promotion-cause.js';
import type { PromotionContext } from './promotion-context.js';
import { ReachabilityPoll } from './reachability-poll.js';
import { primaryKey, readOwnDocument } from '../store/store-documents.js';

/** What the controller works with. */
export interface PromotionControllerOptions {
  readonly context: PromotionContext;
  readonly monitor: PrimaryMonitor;
  readonly reach: ReachabilityReports;
}

/** Causes on which the other hosts have to agree. */
const MISSED: ReadonlySet<PromotionCause> = new Set([
  PromotionCause.Suspect,
  PromotionCause.Unlisted,
]);
/** Time for which a primary must be unlisted, milliseconds; upstreams that live are back in 2 s. */
const UNLISTED_MS = 500;
/** Hosts asked while another one is left to act. */
const SAMPLE_HOSTS = 8;
/** Time left to a host that has asked, before this one asks as well, milliseconds. */
const LEAVE_TO_OTHER_MS = 1200;
/** Pause before an attempt that failed is followed by another, milliseconds. */
const RETRY_PAUSE_MS = 500;

/** A reason to act, and since when it holds. */
interface Occasion {
  readonly cause: PromotionCause;
  readonly since: number;
}

/**
 * What is known of one group. It is kept while the record changes, also by an attempt of this host, which
 * ends in the state that it began with.
 */
interface GroupState {
  /** Version of the record that the times below belong to, but for `busy` and `notBefore`. */
  rank: number;
  /** Local time at which that version was first seen. */
  seenAt: number;
  /** Whether this host asks the others or attempts a change right now. */
  busy: boolean;
  /** Local time before which this host does not act again. */
  notBefore: number;
  /** The upstream that the platform has refused to promote in the change under way. */
  refused: UpstreamIdentity | undefined;
  /** Since when this host has seen the primary without an entry; undefined while it has one. */
  unlistedSince: number | undefined;
  /** Since when this host has known that the primary has started anew; undefined while it has not. */
  bornAnewSince: number | undefined;
  /** Since when this host has seen the primary leaving; undefined while it stays. */
  drainingSince: number | undefined;
  /** Since when this host has seen the primary's zone evacuated; undefined while it is in use. */
  evacuatedSince: number | undefined;
  /** Local time until which a host that acts before this one is expected to act. */
  leftToOtherUntil: number;
}

/** Controller of one host. */
export class PromotionController implements PeerHandler {
  private readonly groups = new Map<GroupId, GroupState>();
  private readonly poll: ReachabilityPoll;
  private readonly acting: FailoverOrder;

  constructor(private readonly options: PromotionControllerOptions) {
    const { context, monitor } = options;
    const { board, calls, directory, view, rules } = context;
    this.acting = new FailoverOrder({ board, view, rules });
    this.poll = new ReachabilityPoll({ board, directory, calls, monitor });
  }

  /** Starts what is due at `now`. */
  tick(now: number): void {
    const { monitor, context } = this.options;
    const { board, view } = context;
    const placeOf = this.acting.ownRanks(now);
    monitor.tick(now, (group) => placeOf(group) === 0);
    if (board.draining || !view.hasLoaded || !board.hosts.has(board.host)) return;
    if (!view.isEraSettled) return;
    for (const record of board.allRecords) {
      if (board.isConfigured(record.group)) this.review(record, placeOf(record.group), now);
    }
  }

  onFrame(link: PeerLink, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.RevokeRequest:
        this.answerRevoke(link, frame);
        return;
      case FrameKind.HoldRequest:
        void this.answerHold(link, frame);
        return;
      case FrameKind.ReachabilityRequest:
        void this.answerReach(link, frame);
        return;
      default:
    }
  }

  onLost(): void {
    // Nothing is kept by link.
  }

  private review(record: PrimaryRecord, rank: number, now: number): void {
    const { board, authority, rules } = this.options.context;
    const state = this.stateOf(record, now);
    if (state.busy || now < state.notBefore) return;
    const occasion = this.occasionOf(record, state, now);
    if (occasion === undefined) return;
    // A host without a proof could not claim anything, and its questions would only load the others.
    if (board.isIsolated(now, authority)) return;
    const delayMs = rank * rules.rankDelayMs;
    if (now - occasion.since >= delayMs) void this.act(record, occasion, state);
  }

  /** Why the primary of the record should change, if it should. */
  private occasionOf(record: PrimaryRecord, state: GroupState, now: number): Occasion | undefined {
    if (record.phase === RecordPhase.Claimed) return this.stalledClaim(record, state, now);
    const entry = this.options.context.board.upstreams.get(record.primary);
    if (entry === undefined) return unlistedPrimary(state, now);
    state.unlistedSince = undefined;
    if (!mayBeSameStartTime(record.born, entry.born))
      return this.primaryBornAnew(record, state, now);
    state.bornAnewSince = undefined;
    const deposed = this.deposedPrimary(record, now);
    if (deposed !== undefined) return deposed;
    if (entry.draining) return this.failingPrimary(record, now) ?? drainingPrimary(state, now);
    state.drainingSince = undefined;
    if (this.mustLeaveZone(entry)) {
      return this.failingPrimary(record, now) ?? evacuatedPrimary(state, now);
    }
    state.evacuatedSince = undefined;
    return this.failingPrimary(record, now);
  }

  /** Whether a primary's zone is evacuated and another upstream could follow it. */
  private mustLeaveZone({ az, group }: UpstreamEntry): boolean {
    const { board } = this.options.context;
    return board.evacuations.has(az) && board.hasUpstreamInUse(group);
  }

  /** An own claim has stalled once its attempt is over, be it that of this host's former process. */
  private stalledClaim(
    record: PrimaryRecord,
    state: GroupState,
    now: number,
  ): Occasion | undefined {
    const cause = PromotionCause.StalledClaim;
    if (record.holder === this.options.context.board.host) return { cause, since: state.seenAt };
    const since = state.seenAt + this.options.context.rules.stalledAfterMs;
    return now < since ? undefined : { cause, since };
  }

  /** A primary that has said, and not taken back, that it leads no more. */
  private deposedPrimary({ group }: PrimaryRecord, now: number): Occasion | undefined {
    const deposedSince = this.options.monitor.deposedSince(group);
    if (deposedSince === undefined) return undefined;
    const since = deposedSince + this.options.context.rules.suspectAfterMs;
    return now < since ? undefined : { cause: PromotionCause.Deposed, since };
  }

  private failingPrimary(record: PrimaryRecord, now: number): Occasion | undefined {
    const { suspectAfterMs } = this.options.context.rules;
    const failedMs = this.options.monitor.failedMs(record.group, now);
    if (failedMs < suspectAfterMs) return undefined;
    return { cause: PromotionCause.Suspect, since: now - failedMs + suspectAfterMs };
  }

  /**
   * A primary whose entry tells another birth than the record. An entry that was read before the record
   * was written may be older than what the record names; it is waited for until the view holds both.
   */
  private primaryBornAnew(
    record: PrimaryRecord,
    state: GroupState,
    now: number,
  ): Occasion | undefined {
    const { view } = this.options.context;
    if (!view.isCompleteUpTo(primaryKey(record.group))) return undefined;
    state.bornAnewSince ??= now;
    return { cause: PromotionCause.RestartedEmpty, since: state.bornAnewSince };
  }

  private async act(record: PrimaryRecord, occasion: Occasion, state: GroupState): Promise<void> {
    state.busy = true;
    const { context } = this.options;
    if (record.phase === RecordPhase.Serving) state.refused = undefined;
    const attempt = new PromotionAttempt(record, occasion.cause, context, state.refused);
    let done = false;
    try {
      const asks = MISSED.has(occasion.cause);
      const agreed = !asks || (await this.othersAgree(record, occasion, state));
      done = agreed && (await attempt.run());
    } finally {
      state.busy = false;
      state.refused = attempt.refused;
      const retryAt = performance.now() + (done ? 0 : RETRY_PAUSE_MS);
      state.notBefore = Math.max(retryAt, attempt.notBefore);
    }
  }

  /**
   * Whether more than half of all hosts miss the primary. While another host is left to act, this one
   * asks only a few, to learn by way of whom it can reach the primary meanwhile.
   */
  private async othersAgree(
    record: PrimaryRecord,
    occasion: Occasion,
    state: GroupState,
  ): Promise<boolean> {
    const leaves = performance.now() < state.leftToOtherUntil;
    const { evidence, reaching } = await this.poll.run(record, leaves ? SAMPLE_HOSTS : undefined);
    const now = performance.now();
    this.options.reach.put(record.group, record.epoch, reaching, now);
    const verdict = this.judge(record, occasion, evidence, now);
    return !leaves && verdict === FailoverDecision.Promote;
  }

  private judge(
    record: PrimaryRecord,
    occasion: Occasion,
    evidence: ReachEvidence,
    now: number,
  ): FailoverDecision {
    const { rules, log } = this.options.context;
    const failedMs = now - occasion.since + rules.suspectAfterMs;
    const verdict = decideFailover(evidence, failedMs, rules);
    log.info('suspicion-judged', {
      group: record.group,
      epoch: record.epoch,
      primary: record.primary,
      ...evidence,
      failed_ms: Math.round(failedMs),
      verdict,
    });
    return verdict;
  }

  /** Gives the former primary up, and says so only if the claim is what this host now holds. */
  private answerRevoke(link: PeerLink, ask: FrameOf<FrameKind.RevokeRequest>): void {
    const { view, board } = this.options.context;
    view.applyItems([ask.item], performance.now());
    const claim = readOwnDocument(ask.item.key, ask.item.value);
    if (claim.verdict !== DocumentVerdict.Used || claim.document.kind !== 'primary') return;
    const { record } = claim.document;
    const held = board.record(record.group);
    if (held === undefined || !acknowledgesClaim(held, record)) return;
    link.send({ kind: FrameKind.RevokeReply, id: ask.id });
  }

  private async answerHold(link: PeerLink, ask: FrameOf<FrameKind.HoldRequest>): Promise<void> {
    const group = groupId(ask.group);
    await this.options.context.holds.hold(group, ask.epoch, ask.holdMs, performance.now());
    link.send({ kind: FrameKind.HoldReply, id: ask.id });
  }

  private async answerReach(
    link: PeerLink,
    ask: FrameOf<FrameKind.ReachabilityRequest>,
  ): Promise<void> {
    this.leaveToOther(link.host as HostId, groupId(ask.group));
    if (!this.options.context.view.hasLoaded) return;
    const reaches = await this.options.monitor.reaches(groupId(ask.group));
    const answer = { kind: FrameKind.ReachabilityReply, id: ask.id } as const;
    link.send(reaches === undefined ? answer : { ...answer, reaches });
  }

  /** A host that acts before this one and asks about a primary is left to act. */
  private leaveToOther(other: HostId, group: GroupId): void {
    const { board } = this.options.context;
    const now = performance.now();
    const order = this.acting.hostsFor(group, now);
    if (order.indexOf(other) > order.indexOf(board.host)) return;
    const record = board.record(group);
    if (record === undefined) return;
    this.stateOf(record, now).leftToOtherUntil = now + LEAVE_TO_OTHER_MS;
  }

  private stateOf(record: PrimaryRecord, now: number): GroupState {
    const rank = recordRank(record);
    const held = this.groups.get(record.group);
    if (held?.rank === rank) return held;
    const seen = {
      rank,
      seenAt: now,
      unlistedSince: undefined,
      bornAnewSince: undefined,
      drainingSince: undefined,
      evacuatedSince: undefined,
      leftToOtherUntil: Number.NEGATIVE_INFINITY,
    };
    if (held !== undefined) return Object.assign(held, seen);
    const state: GroupState = { ...seen, busy: false, notBefore: now, refused: undefined };
    this.groups.set(record.group, state);
    return state;
  }
}

function unlistedPrimary(state: GroupState, now: number): Occasion | undefined {
  state.unlistedSince ??= now;
  const since = state.unlistedSince + UNLISTED_MS;
  return now < since ? undefined : { cause: PromotionCause.Unlisted, since };
}

function drainingPrimary(state: GroupState, now: number): Occasion {
  state.drainingSince ??= now;
  return { cause: PromotionCause.Draining, since: state.drainingSince };
}

function evacuatedPrimary(state: GroupState, now: number): Occasion {
  state.evacuatedSince ??= now;
  return { cause: PromotionCause.Evacuated, since: state.evacuatedSince };
}
