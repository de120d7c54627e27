/**
 * Watches every group's primary and starts the change of it when this host is the one to act.
 */
import type { AzId, GroupId, PrimaryRecord, ReachEvidence } from '@gladespool/coordination';
import {
  FailoverVerdict,
  judgeSuspicion,
  groupId,
  rankCandidates,
  recordRank,
  RecordPhase,
} from '@gladespool/coordination';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { PrimaryMonitor } from './primary-monitor.js';
import type { PromotionContext } from './promotion-attempt.js';
import { PromotionAttempt, PromotionCause } from './promotion-attempt.js';

/** What the controller works with. */
export interface PromotionControllerOptions {
  readonly context: PromotionContext;
  readonly monitor: PrimaryMonitor;
}

/** Key by which hosts are ranked for acting; one for all groups, so that the duty seldom moves. */
const DUTY_RANK_KEY = 'duty';
/** Longest time for other hosts to say whether they reach a primary, milliseconds. */
const REACH_TIMEOUT_MS = 400;
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
  /** Until when another host's suspicion counts as one of our own. */
  toldUntil: number;
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
    if (context.board.draining) return;
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
      case FrameKind.Suspect:
        this.noteTold(groupId(frame.group), frame.epoch);
        return;
      default:
    }
  }

  onLost(): void {
    // Nothing is kept by link.
  }

  private get rank(): number {
    const { board } = this.options.context;
    return rankCandidates(DUTY_RANK_KEY, [...board.hosts.keys()]).indexOf(board.host);
  }

  private review(record: PrimaryRecord, now: number): void {
    const state = this.stateOf(record, now);
    if (state.busy || now < state.notBefore || this.rank < 0) return;
    const occasion = this.occasionOf(record, state, now);
    if (occasion === undefined) return;
    if (occasion.cause === PromotionCause.Suspect) this.tellFirst(record);
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
      return { cause: PromotionCause.Unlisted, since: state.unlistedSince };
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
    if (now < state.toldUntil) return { cause: PromotionCause.Suspect, since: now };
    return undefined;
  }

  private async act(record: PrimaryRecord, occasion: Occasion, state: GroupState): Promise<void> {
    state.busy = true;
    const agreed =
      occasion.cause !== PromotionCause.Suspect || (await this.othersAgree(record, occasion));
    const attempt = new PromotionAttempt(record, occasion.cause, this.options.context);
    const done = agreed && (await attempt.run());
    state.busy = false;
    state.notBefore = performance.now() + (done ? 0 : RETRY_PAUSE_MS);
  }

  /** Asks every host whether it reaches the suspected primary. */
  private async othersAgree(record: PrimaryRecord, occasion: Occasion): Promise<boolean> {
    const { context, monitor } = this.options;
    const { board, calls, rules, log } = context;
    const { group, epoch } = record;
    const others = [...board.hosts.values()].filter((host) => host.host !== board.host);
    const asked = others.map(async (host): Promise<ReachAnswer> => {
      const ask = (id: number) => ({ kind: FrameKind.ReachAsk, id, group, epoch }) as const;
      const answer = await calls.ask(host, ask, REACH_TIMEOUT_MS);
      const told = answer.isOk() && answer.value.kind === FrameKind.ReachReply;
      return { az: host.az, reaches: told ? answer.value.reaches : undefined };
    });
    const own = { az: board.az, reaches: await monitor.reaches(group) };
    const answers = [own, ...(await Promise.all(asked))];
    const evidence = gatherEvidence(answers, board.upstreams.get(record.primary)?.az);
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
    return verdict === FailoverVerdict.Promote;
  }

  private async answerHold(link: PeerLink, ask: FrameOf<FrameKind.HoldAsk>): Promise<void> {
    const group = groupId(ask.group);
    await this.options.context.holds.hold(group, ask.epoch, ask.holdMs, performance.now());
    link.send({ kind: FrameKind.HoldReply, id: ask.id });
  }

  private async answerReach(link: PeerLink, ask: FrameOf<FrameKind.ReachAsk>): Promise<void> {
    const reaches = await this.options.monitor.reaches(groupId(ask.group));
    link.send({ kind: FrameKind.ReachReply, id: ask.id, reaches });
  }

  /** Tells the host that acts first, which may itself still reach the primary. */
  private tellFirst(record: PrimaryRecord): void {
    const { board, network } = this.options.context;
    const [first] = rankCandidates(DUTY_RANK_KEY, [...board.hosts.keys()]);
    const entry = first === undefined ? undefined : board.hosts.get(first);
    if (entry === undefined || entry.host === board.host) return;
    const { group, epoch } = record;
    void network.sendTo(entry, { kind: FrameKind.Suspect, group, epoch });
  }

  private noteTold(group: GroupId, epoch: number): void {
    const record = this.options.context.board.record(group);
    if (record?.epoch !== epoch) return;
    const now = performance.now();
    this.stateOf(record, now).toldUntil = now + RETRY_PAUSE_MS;
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
      toldUntil: Number.NEGATIVE_INFINITY,
    };
    this.groups.set(record.group, state);
    return state;
  }
}

/** One host's answer to the question whether it reaches a primary. */
interface ReachAnswer {
  readonly az: AzId;
  /** Undefined when the host did not answer. */
  readonly reaches: boolean | undefined;
}

/** Counts who reaches the primary in zone `primaryAz`. */
function gatherEvidence(
  answers: readonly ReachAnswer[],
  primaryAz: AzId | undefined,
): ReachEvidence {
  const inZone = answers.filter((answer) => answer.az === primaryAz);
  return {
    reaching: answers.filter((answer) => answer.reaches === true).length,
    failing: answers.filter((answer) => answer.reaches === false).length,
    silent: answers.filter((answer) => answer.reaches === undefined).length,
    zoneSilent: inZone.length > 0 && inZone.every((answer) => answer.reaches === undefined),
  };
}
