/**
 * Watches every group's primary and starts the change of it when this host is the one to act.
 */
import type { GroupId, HostId, PrimaryRecord, ReachEvidence } from '@gladespool/coordination';
import {
  FailoverVerdict,
  judgeSuspicion,
  groupId,
  hostId,
  rankCandidates,
  recordRank,
  RecordPhase,
} from '@gladespool/coordination';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { ReachNotes } from '../forward/reach-notes.js';
import type { PrimaryMonitor } from './primary-monitor.js';
import { PromotionAttempt } from './promotion-attempt.js';
import { PromotionCause } from './promotion-cause.js';
import type { PromotionContext } from './promotion-context.js';

/** What the controller works with. */
export interface PromotionControllerOptions {
  readonly context: PromotionContext;
  readonly monitor: PrimaryMonitor;
  readonly reach: ReachNotes;
}

/** Key by which hosts are ranked for acting; one for all groups, so that the duty seldom moves. */
const DUTY_RANK_KEY = 'duty';
/** Longest time for other hosts to say whether they reach a primary, milliseconds. */
const REACH_TIMEOUT_MS = 400;
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

/** What is known of one group. */
interface GroupState {
  /** Version of the record that `seenAt` belongs to. */
  rank: number;
  /** Local time at which that version was first seen. */
  seenAt: number;
  busy: boolean;
  notBefore: number;
  unlistedSince: number | undefined;
  drainingSince: number | undefined;
  /** Until when a host that comes before this one in rank is expected to act. */
  leftToOtherUntil: number;
}

/** Controller of one host. */
export class PromotionController implements PeerHandler {
  private readonly groups = new Map<GroupId, GroupState>();

  constructor(private readonly options: PromotionControllerOptions) {}

  /** Whether this host is the first to act. */
  get actsFirst(): boolean {
    return this.rank === 0;
  }

  /** Starts what is due at `now`. */
  tick(now: number): void {
    const { monitor, context } = this.options;
    monitor.tick(now, this.actsFirst);
    if (context.board.draining || context.view.revision === 0) return;
    for (const record of context.board.allRecords) this.review(record, now);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.RevokeAsk:
        this.options.context.view.takeItems([frame.item], performance.now());
        link.send({ kind: FrameKind.RevokeReply, id: frame.id });
        return;
      case FrameKind.HoldAsk:
        void this.answerHold(link, frame);
        return;
      case FrameKind.ReachAsk:
        void this.answerReach(link, frame);
        return;
      default:
    }
  }

  onLost(): void {
    // Nothing is kept by link.
  }

  private get ranked(): readonly HostId[] {
    return rankCandidates(DUTY_RANK_KEY, [...this.options.context.board.hosts.keys()]);
  }

  private get rank(): number {
    return this.ranked.indexOf(this.options.context.board.host);
  }

  private review(record: PrimaryRecord, now: number): void {
    const state = this.stateOf(record, now);
    if (state.busy || now < state.notBefore || this.rank < 0) return;
    const occasion = this.occasionOf(record, state, now);
    if (occasion === undefined) return;
    const delayMs = this.rank * this.options.context.rules.rankDelayMs;
    if (now - occasion.since >= delayMs) void this.act(record, occasion, state);
  }

  /** Why the primary of the record should change, if it should. */
  private occasionOf(record: PrimaryRecord, state: GroupState, now: number): Occasion | undefined {
    const { context, monitor } = this.options;
    const { rules, board } = context;
    if (record.phase === RecordPhase.Claimed) {
      const stalledMs = now - state.seenAt;
      if (stalledMs < rules.stalledAfterMs) return undefined;
      return { cause: PromotionCause.StalledClaim, since: state.seenAt + rules.stalledAfterMs };
    }
    const entry = board.upstreams.get(record.primary);
    if (entry === undefined) {
      state.unlistedSince ??= now;
      const since = state.unlistedSince + UNLISTED_MS;
      return now < since ? undefined : { cause: PromotionCause.Unlisted, since };
    }
    state.unlistedSince = undefined;
    if (entry.draining) {
      state.drainingSince ??= now;
      return { cause: PromotionCause.Draining, since: state.drainingSince };
    }
    state.drainingSince = undefined;
    const failedMs = monitor.failedMs(record.group, now);
    if (failedMs >= rules.suspectAfterMs) {
      return { cause: PromotionCause.Suspect, since: now - failedMs + rules.suspectAfterMs };
    }
    return undefined;
  }

  private async act(record: PrimaryRecord, occasion: Occasion, state: GroupState): Promise<void> {
    state.busy = true;
    const asks = MISSED.has(occasion.cause);
    const agreed = !asks || (await this.othersAgree(record, occasion, state));
    const attempt = new PromotionAttempt(record, occasion.cause, this.options.context);
    const done = agreed && (await attempt.run());
    state.busy = false;
    const retryAt = performance.now() + (done ? 0 : RETRY_PAUSE_MS);
    state.notBefore = Math.max(retryAt, attempt.notBefore);
  }

  /**
   * Asks every host whether it reaches the suspected primary. While another host is left to act, this
   * one asks only a few, to learn by way of whom it can reach the primary meanwhile.
   */
  private async othersAgree(
    record: PrimaryRecord,
    occasion: Occasion,
    state: GroupState,
  ): Promise<boolean> {
    const leaves = performance.now() < state.leftToOtherUntil;
    const { context, reach } = this.options;
    const { board, calls, rules, log } = context;
    const { group, epoch } = record;
    const everyone = rankCandidates(`reach|${board.host}`, [...board.hosts.keys()]);
    const others = everyone
      .filter((host) => host !== board.host)
      .slice(0, leaves ? SAMPLE_HOSTS : undefined)
      .map((host) => board.hosts.get(host))
      .filter((entry) => entry !== undefined);
    const asked = others.map(async (host): Promise<ReachAnswer> => {
      const ask = (id: number) => ({ kind: FrameKind.ReachAsk, id, group, epoch }) as const;
      const answer = await calls.ask(host, ask, REACH_TIMEOUT_MS);
      const told = answer.isOk() && answer.value.kind === FrameKind.ReachReply;
      return { host: host.host, reaches: told ? answer.value.reaches : undefined };
    });
    asked.push(this.ownReach(group));
    const answers = await this.collect(asked);
    const evidence = gatherEvidence(answers);
    const reaching = answers.filter((answer) => answer.reaches === true);
    reach.put(
      group,
      epoch,
      reaching.map((answer) => answer.host),
      performance.now(),
    );
    const failedMs = performance.now() - occasion.since + rules.suspectAfterMs;
    const verdict = judgeSuspicion(evidence, failedMs, rules);
    log.info('suspicion-judged', {
      group,
      epoch,
      primary: record.primary,
      ...evidence,
      failed_ms: Math.round(failedMs),
      verdict,
    });
    return !leaves && verdict === FailoverVerdict.Promote;
  }

  private async ownReach(group: GroupId): Promise<ReachAnswer> {
    const { monitor, context } = this.options;
    return { host: context.board.host, reaches: await monitor.reaches(group) };
  }

  /** Collects answers until more than half of all hosts miss the primary, or all have answered. */
  private collect(asked: readonly Promise<ReachAnswer>[]): Promise<readonly ReachAnswer[]> {
    return new Promise((resolve) => {
      const answers: ReachAnswer[] = [];
      const missing = (): number => answers.filter((answer) => answer.reaches === false).length;
      for (const pending of asked) {
        void pending.then((answer) => {
          answers.push(answer);
          const decided = missing() * 2 > asked.length;
          if (decided || answers.length === asked.length) resolve(padded(answers, asked.length));
        });
      }
    });
  }

  private async answerHold(link: PeerLink, ask: FrameOf<FrameKind.HoldAsk>): Promise<void> {
    const group = groupId(ask.group);
    await this.options.context.holds.hold(group, ask.epoch, ask.holdMs, performance.now());
    link.send({ kind: FrameKind.HoldReply, id: ask.id });
  }

  private async answerReach(link: PeerLink, ask: FrameOf<FrameKind.ReachAsk>): Promise<void> {
    this.leaveToOther(link.host as HostId, groupId(ask.group));
    if (this.options.context.view.revision === 0) return;
    const reaches = await this.options.monitor.reaches(groupId(ask.group));
    link.send({ kind: FrameKind.ReachReply, id: ask.id, reaches });
  }

  /** A host that comes first in rank and asks about a primary is left to act. */
  private leaveToOther(other: HostId, group: GroupId): void {
    const { board } = this.options.context;
    const ranked = this.ranked;
    if (ranked.indexOf(other) > ranked.indexOf(board.host)) return;
    const record = board.record(group);
    if (record === undefined) return;
    const now = performance.now();
    this.stateOf(record, now).leftToOtherUntil = now + LEAVE_TO_OTHER_MS;
  }

  private stateOf(record: PrimaryRecord, now: number): GroupState {
    const rank = recordRank(record);
    const held = this.groups.get(record.group);
    if (held?.rank === rank) return held;
    const state: GroupState = {
      rank,
      seenAt: now,
      busy: held?.busy ?? false,
      notBefore: held?.notBefore ?? now,
      unlistedSince: undefined,
      drainingSince: undefined,
      leftToOtherUntil: Number.NEGATIVE_INFINITY,
    };
    this.groups.set(record.group, state);
    return state;
  }
}

/** One host's answer to the question whether it reaches a primary. */
interface ReachAnswer {
  readonly host: HostId;
  /** Undefined when the host did not answer. */
  readonly reaches: boolean | undefined;
}

/** Answers with those that did not come in time counted as silence. */
function padded(answers: readonly ReachAnswer[], count: number): readonly ReachAnswer[] {
  const late = Array.from({ length: count - answers.length }, () => ({
    host: hostId(''),
    reaches: undefined,
  }));
  return [...answers, ...late];
}

function gatherEvidence(answers: readonly ReachAnswer[]): ReachEvidence {
  return {
    reaching: answers.filter((answer) => answer.reaches === true).length,
    failing: answers.filter((answer) => answer.reaches === false).length,
    silent: answers.filter((answer) => answer.reaches === undefined).length,
  };
}
