/**
 * Delays answers until the positions that they depend on are durable. All waiters of a group share
 * rounds of status queries: after each round, every waiter is evaluated.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  AcknowledgementRule,
  Blackboard,
  GroupId,
  Position,
  TimedReport,
  UpstreamId,
} from '@gladespool/coordination';
import { AckDecision, authorityAt } from '@gladespool/coordination';

/** Queries the status of every upstream of a group once; the reports are written to the blackboard. */
export type ProbeRound = () => Promise<void>;

/** Options of an acknowledger. */
export interface AcknowledgerOptions {
  readonly group: GroupId;
  readonly board: Blackboard;
  readonly rule: AcknowledgementRule;
  readonly probe: ProbeRound;
}

interface Waiter {
  readonly decide: () => AckDecision;
  readonly deadlineAt: number;
  readonly settle: (verdict: AckDecision) => void;
}

/** Pause after a round that settled no waiter, milliseconds. */
const ROUND_PAUSE_MS = 1;

/** Confirms positions of one group, and that its primary is current. */
export class Acknowledger {
  private waiters: Waiter[] = [];
  private probing = false;

  constructor(private readonly options: AcknowledgerOptions) {}

  /**
   * Waits until `position` is confirmed or superseded, at most until `deadlineAt`, local milliseconds;
   * at the deadline the decision is `Waiting`.
   */
  confirm(position: Position, deadlineAt: number): Promise<AckDecision> {
    return this.wait(() => this.decide(position), deadlineAt);
  }

  /**
   * Waits until reports prove that the primary of `term` was not superseded at `since`, at most until
   * `deadlineAt`, both in local milliseconds; at the deadline the decision is `Waiting`.
   */
  confirmAuthority(term: number, since: number, deadlineAt: number): Promise<AckDecision> {
    return this.wait(() => this.decideAuthority(term, since), deadlineAt);
  }

  private wait(decide: () => AckDecision, deadlineAt: number): Promise<AckDecision> {
    const verdict = decide();
    if (verdict !== AckDecision.Waiting) return Promise.resolve(verdict);
    return new Promise((settle) => {
      this.waiters.push({ decide, deadlineAt, settle });
      if (!this.probing) void this.probeUntilSettled();
    });
  }

  private async probeUntilSettled(): Promise<void> {
    this.probing = true;
    while (this.waiters.length > 0) {
      const before = this.waiters.length;
      await this.options.probe();
      this.settleDecided(performance.now());
      if (this.waiters.length === before) await pause(ROUND_PAUSE_MS);
    }
    this.probing = false;
  }

  /** Settles the waiters that have a decision or whose deadline has passed. */
  settleDecided(now: number): void {
    const waiting: Waiter[] = [];
    for (const waiter of this.waiters) {
      const verdict = waiter.decide();
      if (verdict !== AckDecision.Waiting || now >= waiter.deadlineAt) waiter.settle(verdict);
      else waiting.push(waiter);
    }
    this.waiters = waiting;
  }

  private decide(position: Position): AckDecision {
    const record = this.options.board.record(this.options.group)?.record;
    if (record === undefined) return AckDecision.Waiting;
    const members = this.members();
    const reports = this.reports(members).map((timed) => timed.report);
    return this.options.rule.decide({ position, record, members, reports });
  }

  private decideAuthority(term: number, since: number): AckDecision {
    const members = this.members();
    const proved = authorityAt(members, this.reports(members), term) >= since;
    return proved ? AckDecision.Confirmed : AckDecision.Waiting;
  }

  private members(): readonly UpstreamId[] {
    const { board, group } = this.options;
    return board.spec(group)?.upstreams.map((upstream) => upstream.id) ?? [];
  }

  private reports(members: readonly UpstreamId[]): readonly TimedReport[] {
    const { board, group } = this.options;
    return members
      .map((member) => board.healthOf(group, member).last)
      .filter((timed) => timed !== undefined);
  }
}
