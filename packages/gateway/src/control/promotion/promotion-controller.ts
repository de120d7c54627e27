/**
 * Monitors every group's primary and starts a promotion attempt when this host is the one to act.
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
import { HOLD_REST_MS, PromotionAttempt } from './promotion-attempt.js';
import { isPlanned, PromotionCause } from './promotion-cause.js';
import type { PromotionContext } from './promotion-context.js';
import { ReachabilityPoll } from './reachability-poll.js';
import { primaryKey, readOwnDocument } from '../store/store-documents.js';

/** Dependencies of the controller. */
export interface PromotionControllerOptions {
  readonly context: PromotionContext;
  readonly monitor: PrimaryMonitor;
  readonly reachability: ReachabilityReports;
}

/** Causes that need the agreement of the other hosts. */
const NEED_AGREEMENT: ReadonlySet<PromotionCause> = new Set([
  PromotionCause.Suspect,
  PromotionCause.Unlisted,
]);
/** Time for which a primary must be unlisted, milliseconds; upstreams that run are listed again within 2 s. */
const UNLISTED_MS = 500;
/**
 * Delay per rank before a planned change, milliseconds: the primary still serves, and each host that prepares a
 * change asks all upstreams of the group for their positions.
 */
const PLANNED_RANK_DELAY_MS = 500;
/** Hosts polled while another host is expected to act. */
const SAMPLE_HOSTS = 8;
/** Time left to a host that has polled this one, before this one polls as well, milliseconds. */
const YIELD_MS = 1200;
/** Pause between a failed attempt and the next, milliseconds. */
const RETRY_PAUSE_MS = 500;

/** A cause to act, and the local time since which it holds. */
interface PromotionTrigger {
  readonly cause: PromotionCause;
  readonly since: number;
}

/**
 * State of one group. The object is kept when the record changes, also by an attempt of this host, so that an
 * attempt ends on the same object on which it began.
 */
interface GroupState {
  /**
   * Rank of the record to which the fields below belong, except `busy`, `notBefore`, `plannedNotBefore` and
   * `refused`.
   */
  rank: number;
  /** Local time at which that version of the record was first seen. */
  seenAt: number;
  /** Whether this host is polling the others or attempting a change. */
  busy: boolean;
  /** Local time before which this host does not act again. */
  notBefore: number;
  /** Local time before which this host begins no planned change: one was deferred, or writes were held for one. */
  plannedNotBefore: number;
  /** The upstream that the platform has refused to promote in the current change. */
  refused: UpstreamIdentity | undefined;
  /** Local time since which the primary has had no entry; undefined while it has one. */
  unlistedSince: number | undefined;
  /** Local time since which this host has known that the primary has restarted; undefined while it has not. */
  restartedSince: number | undefined;
  /** Local time since which the primary has been draining while another upstream stays; undefined otherwise. */
  drainingSince: number | undefined;
  /** Local time since which the primary's zone has been evacuated; undefined while it is not. */
  evacuatedSince: number | undefined;
  /** Local time until which a host before this one in the failover order is expected to act. */
  yieldUntil: number;
}

/** Promotion controller of one host. */
export class PromotionController implements PeerHandler {
  private readonly groups = new Map<GroupId, GroupState>();
  private readonly poll: ReachabilityPoll;
  private readonly failoverOrder: FailoverOrder;

  constructor(private readonly options: PromotionControllerOptions) {
    const { context, monitor } = options;
    const { board, calls, directory, view, rules } = context;
    this.failoverOrder = new FailoverOrder({ board, view, rules });
    this.poll = new ReachabilityPoll({ board, directory, calls, monitor });
  }

  /** Starts what is due at `now`. */
  tick(now: number): void {
    const { monitor, context } = this.options;
    const { board, view } = context;
    const rankOf = this.failoverOrder.ownRanks(now);
    monitor.tick(now, (group) => rankOf(group) === 0);
    if (board.draining || !view.hasLoaded || !board.hosts.has(board.host)) return;
    if (!view.isEraSettled) return;
    for (const record of board.allRecords) {
      if (board.isConfigured(record.group)) this.review(record, rankOf(record.group), now);
    }
  }

  onFrame(link: PeerLink, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.RevokeRequest:
        this.replyToRevoke(link, frame);
        return;
      case FrameKind.HoldRequest:
        void this.replyToHold(link, frame);
        return;
      case FrameKind.ReachabilityRequest:
        void this.replyToReachability(link, frame);
        return;
      default:
    }
  }

  onLost(): void {
    // No state is kept per link.
  }

  private review(record: PrimaryRecord, rank: number, now: number): void {
    const { board, authority, rules } = this.options.context;
    const state = this.stateOf(record, now);
    if (state.busy || now < state.notBefore) return;
    const trigger = this.triggerOf(record, state, now);
    if (trigger === undefined) return;
    if (isPlanned(trigger.cause) && now < state.plannedNotBefore) return;
    // A host without a proof cannot claim anything, and its requests would only load the others.
    if (board.isIsolated(now, authority)) return;
    const delayMs = rank * (isPlanned(trigger.cause) ? PLANNED_RANK_DELAY_MS : rules.rankDelayMs);
    if (now - trigger.since >= delayMs) void this.act(record, trigger, state);
  }

  /** Why the primary of the record should be changed; undefined if it should not. */
  private triggerOf(
    record: PrimaryRecord,
    state: GroupState,
    now: number,
  ): PromotionTrigger | undefined {
    if (record.phase === RecordPhase.Claimed) return this.stalledClaim(record, state, now);
    const entry = this.options.context.board.upstreams.get(record.primary);
    if (entry === undefined) return unlistedPrimary(state, now);
    state.unlistedSince = undefined;
    if (!mayBeSameStartTime(record.born, entry.born))
      return this.restartedPrimary(record, state, now);
    state.restartedSince = undefined;
    const deposed = this.deposedPrimary(record, now);
    if (deposed !== undefined) return deposed;
    return this.failingPrimary(record, now) ?? this.leavingPrimary(entry, state, now);
  }

  /**
   * A primary that still serves, but has to be replaced. One that is draining is kept while the group's other
   * upstreams leave as well: it would be replaced by one that has to be replaced in turn.
   */
  private leavingPrimary(
    entry: UpstreamEntry,
    state: GroupState,
    now: number,
  ): PromotionTrigger | undefined {
    const { board } = this.options.context;
    if (entry.draining && board.hasStayingUpstream(entry.group)) return drainingPrimary(state, now);
    state.drainingSince = undefined;
    if (this.mustLeaveZone(entry)) return evacuatedPrimary(state, now);
    state.evacuatedSince = undefined;
    return undefined;
  }

  /** Whether a primary's zone is evacuated and the group has an upstream in use that could replace it. */
  private mustLeaveZone({ az, group }: UpstreamEntry): boolean {
    const { board } = this.options.context;
    return board.evacuations.has(az) && board.hasUpstreamInUse(group);
  }

  /** A claim of this host has stalled once its attempt is over, even if an earlier process of the host made it. */
  private stalledClaim(
    record: PrimaryRecord,
    state: GroupState,
    now: number,
  ): PromotionTrigger | undefined {
    const cause = PromotionCause.StalledClaim;
    if (record.holder === this.options.context.board.host) return { cause, since: state.seenAt };
    const since = state.seenAt + this.options.context.rules.stalledAfterMs;
    return now < since ? undefined : { cause, since };
  }

  /** A primary that has reported that it is no longer primary, and has not reported itself as primary since. */
  private deposedPrimary({ group }: PrimaryRecord, now: number): PromotionTrigger | undefined {
    const deposedSince = this.options.monitor.deposedSince(group);
    if (deposedSince === undefined) return undefined;
    const since = deposedSince + this.options.context.rules.suspectAfterMs;
    return now < since ? undefined : { cause: PromotionCause.Deposed, since };
  }

  private failingPrimary(record: PrimaryRecord, now: number): PromotionTrigger | undefined {
    const { suspectAfterMs } = this.options.context.rules;
    const failedMs = this.options.monitor.failedMs(record.group, now);
    if (failedMs < suspectAfterMs) return undefined;
    return { cause: PromotionCause.Suspect, since: now - failedMs + suspectAfterMs };
  }

  /**
   * A primary whose entry shows another start time than the record. An entry that was read before the record was
   * written may be older than the one the record names, so this waits until the view holds both.
   */
  private restartedPrimary(
    record: PrimaryRecord,
    state: GroupState,
    now: number,
  ): PromotionTrigger | undefined {
    const { view } = this.options.context;
    if (!view.isCompleteUpTo(primaryKey(record.group))) return undefined;
    state.restartedSince ??= now;
    return { cause: PromotionCause.RestartedEmpty, since: state.restartedSince };
  }

  private async act(
    record: PrimaryRecord,
    trigger: PromotionTrigger,
    state: GroupState,
  ): Promise<void> {
    state.busy = true;
    const { context } = this.options;
    if (record.phase === RecordPhase.Serving) state.refused = undefined;
    const attempt = new PromotionAttempt(record, trigger.cause, context, state.refused);
    let done = false;
    try {
      const asks = NEED_AGREEMENT.has(trigger.cause);
      const agreed = !asks || (await this.othersAgree(record, trigger, state));
      done = agreed && (await attempt.run());
    } finally {
      state.busy = false;
      state.refused = attempt.refused;
      const retryAt = performance.now() + (done ? 0 : RETRY_PAUSE_MS);
      state.notBefore = Math.max(retryAt, attempt.notBefore);
      state.plannedNotBefore = Math.max(state.plannedNotBefore, attempt.plannedNotBefore);
    }
  }

  /**
   * Whether more than half of the polled hosts do not reach the primary. While another host is expected to act,
   * this one polls only a few, to learn through which of them it can reach the primary meanwhile.
   */
  private async othersAgree(
    record: PrimaryRecord,
    trigger: PromotionTrigger,
    state: GroupState,
  ): Promise<boolean> {
    const yields = performance.now() < state.yieldUntil;
    const { evidence, reaching } = await this.poll.run(record, yields ? SAMPLE_HOSTS : undefined);
    const now = performance.now();
    this.options.reachability.put(record.group, record.epoch, reaching, now);
    const verdict = this.judge(record, trigger, evidence, now);
    return !yields && verdict === FailoverDecision.Promote;
  }

  private judge(
    record: PrimaryRecord,
    trigger: PromotionTrigger,
    evidence: ReachEvidence,
    now: number,
  ): FailoverDecision {
    const { rules, log } = this.options.context;
    const failedMs = now - trigger.since + rules.suspectAfterMs;
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

  /** Stops using the former primary, and acknowledges it only if this host now holds the claim. */
  private replyToRevoke(link: PeerLink, request: FrameOf<FrameKind.RevokeRequest>): void {
    const { view, board } = this.options.context;
    view.applyItems([request.item], performance.now());
    const claim = readOwnDocument(request.item.key, request.item.value);
    if (claim.verdict !== DocumentVerdict.Used || claim.document.kind !== 'primary') return;
    const { record } = claim.document;
    const held = board.record(record.group);
    if (held === undefined || !acknowledgesClaim(held, record)) return;
    const items = view.departedUpstreams(record.group).map(({ item }) => item);
    const reply = { kind: FrameKind.RevokeReply, id: request.id } as const;
    link.send(items.length === 0 ? reply : { ...reply, items });
  }

  private async replyToHold(
    link: PeerLink,
    request: FrameOf<FrameKind.HoldRequest>,
  ): Promise<void> {
    const group = groupId(request.group);
    const { board, holds } = this.options.context;
    const now = performance.now();
    const record = board.record(group);
    if (record?.epoch === request.epoch) {
      this.stateOf(record, now).plannedNotBefore = now + request.holdMs + HOLD_REST_MS;
    }
    await holds.hold(group, request.epoch, request.holdMs, now);
    link.send({ kind: FrameKind.HoldReply, id: request.id });
  }

  private async replyToReachability(
    link: PeerLink,
    request: FrameOf<FrameKind.ReachabilityRequest>,
  ): Promise<void> {
    this.yieldTo(link.host as HostId, groupId(request.group));
    if (!this.options.context.view.hasLoaded) return;
    const reaches = await this.options.monitor.reaches(groupId(request.group));
    const reply = { kind: FrameKind.ReachabilityReply, id: request.id } as const;
    link.send(reaches === undefined ? reply : { ...reply, reaches });
  }

  /** Leaves the promotion to a host that polls for a primary and comes before this one in the failover order. */
  private yieldTo(other: HostId, group: GroupId): void {
    const { board } = this.options.context;
    const now = performance.now();
    const order = this.failoverOrder.hostsFor(group, now);
    if (order.indexOf(other) > order.indexOf(board.host)) return;
    const record = board.record(group);
    if (record === undefined) return;
    this.stateOf(record, now).yieldUntil = now + YIELD_MS;
  }

  private stateOf(record: PrimaryRecord, now: number): GroupState {
    const rank = recordRank(record);
    const held = this.groups.get(record.group);
    if (held?.rank === rank) return held;
    const seen = {
      rank,
      seenAt: now,
      unlistedSince: undefined,
      restartedSince: undefined,
      drainingSince: undefined,
      evacuatedSince: undefined,
      yieldUntil: Number.NEGATIVE_INFINITY,
    };
    if (held !== undefined) return Object.assign(held, seen);
    const state: GroupState = {
      ...seen,
      busy: false,
      notBefore: now,
      plannedNotBefore: now,
      refused: undefined,
    };
    this.groups.set(record.group, state);
    return state;
  }
}

function unlistedPrimary(state: GroupState, now: number): PromotionTrigger | undefined {
  state.unlistedSince ??= now;
  const since = state.unlistedSince + UNLISTED_MS;
  return now < since ? undefined : { cause: PromotionCause.Unlisted, since };
}

function drainingPrimary(state: GroupState, now: number): PromotionTrigger {
  state.drainingSince ??= now;
  return { cause: PromotionCause.Draining, since: state.drainingSince };
}

function evacuatedPrimary(state: GroupState, now: number): PromotionTrigger {
  state.evacuatedSince ??= now;
  return { cause: PromotionCause.Evacuated, since: state.evacuatedSince };
}
