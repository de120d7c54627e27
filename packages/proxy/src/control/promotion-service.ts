/**
 * Monitors the primaries of the groups that this host is a home of, and starts promotions, planned
 * handovers and the initial record of a group. No other component starts any of these.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type {
  DampingRules,
  GroupId,
  GroupRecord,
  GroupSpec,
  HostId,
  Member,
  RandomSource,
  UpstreamId,
} from '@gladespool/coordination';
import {
  attemptDelayMs,
  GroupPhase,
  homesOf,
  isHandoverDue,
  isPrimaryLeaving,
  isSuspectedByMajority,
  EventLoopMonitor,
  requiredSuspicionMs,
  PromotionStage,
  rankCandidates,
  UpstreamRole,
  UpstreamState,
  upstreamsToRepoint,
  activeHosts,
  zonesOfGroup,
} from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { PlatformStore } from '@gladespool/platform';
import { SwapOutcome } from '@gladespool/platform';
import {
  decodeRecord,
  encodeRecord,
  FrameKind,
  recordKey,
  toGroupRecord,
} from '@gladespool/protocol';
import type { Frame } from '@gladespool/protocol';
import { followSql } from '@gladespool/upstreams';
import type { GroupHome } from '../home/group-home.js';
import type { HomeService } from '../home/home-service.js';
import type { PeerHandler, PeerLink, PeerNetwork } from '@gladespool/peers';
import { initialRecord } from './initial-record.js';
import { runControl } from './run-control.js';
import { runPromotion } from './promotion-runner.js';
import { SuspicionPoll } from './suspicion-poll.js';

/** Timing and limits of promotions. */
export interface PromotionRules {
  readonly homesPerGroup: number;
  readonly suspectAfterMs: number;
  readonly damping: DampingRules;
  /** Time limit of one attempt, milliseconds. */
  readonly attemptTimeoutMs: number;
  /** Maximum wait for a majority that excludes the suspected primary, milliseconds. */
  readonly graceMs: number;
  /** Time after which this host takes over an unfinished attempt of another host, milliseconds. */
  readonly stalledAfterMs: number;
  /** Maximum wait for open transactions and replication during a planned handover, milliseconds. */
  readonly handoverWaitMs: number;
}

/** Options of the service. */
export interface PromotionServiceOptions {
  readonly homes: HomeService;
  readonly network: PeerNetwork;
  readonly store: PlatformStore;
  readonly rules: PromotionRules;
  readonly random: RandomSource;
  readonly metrics: HostMetrics;
  readonly log: Logger;
  readonly onRecord: (record: GroupRecord) => void;
}

interface GroupProgress {
  busy: boolean;
  attempts: number;
  /** Earliest local time of the next attempt. */
  notBefore: number;
  /** Local time since which this host knows that the primary leaves; undefined if it does not. */
  leavingSince: number | undefined;
  readonly repointedAt: Map<UpstreamId, number>;
}

const TICK_MS = 50;
/** Share of its own suspicion time after which a home confirms the suspicion of another home. */
const CONFIRMING_SHARE = 0.5;
const REPOINT_INTERVAL_MS = 1000;
const DRAIN_POLL_MS = 20;
const INITIAL_RECORD_RETRY_MS = 500;

/** Starts and carries out promotions on one host. */
export class PromotionService implements PeerHandler {
  private readonly poll: SuspicionPoll;
  private readonly progress = new Map<GroupId, GroupProgress>();
  private readonly timer: NodeJS.Timeout;
  private readonly loopMonitor = new EventLoopMonitor(TICK_MS, performance.now());
  private lastAttempt = 0;

  constructor(private readonly options: PromotionServiceOptions) {
    this.poll = new SuspicionPoll(options.network, (group, term) =>
      this.confirmsSuspicion(group, term),
    );
    options.network.addHandler(this);
    this.timer = setInterval(() => {
      const now = performance.now();
      if (this.loopMonitor.recordTick(now)) this.tick(now);
    }, TICK_MS);
  }

  onFrame(_link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.RecordUpdate) this.options.onRecord(toGroupRecord(frame.record));
  }

  onLost(): void {
    // Record updates that were lost with a link arrive through relays.
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private tick(now: number): void {
    for (const home of this.options.homes.held) {
      const { spec, record } = home;
      if (spec === undefined) continue;
      const progress = this.progressOf(home.group);
      if (record === undefined) void this.initializeRecord(home, spec, progress, now);
      else this.review(home, spec, record, progress, now);
    }
  }

  private review(
    home: GroupHome,
    spec: GroupSpec,
    record: GroupRecord,
    progress: GroupProgress,
    now: number,
  ): void {
    this.repoint(home, spec, record, progress, now);
    const isLeaving = isPrimaryLeaving(spec, record);
    progress.leavingSince = isLeaving ? (progress.leavingSince ?? now) : undefined;
    if (progress.busy || now < progress.notBefore) return;
    if (this.isStalled(home, record, now)) {
      void this.attempt(home, spec, progress);
      return;
    }
    if (record.phase === GroupPhase.Fencing) return;
    if (this.isSuspect(home, spec, record, now)) {
      void this.pollZones(home, spec, record, progress);
      return;
    }
    if (this.isHandoverDue(home, spec, record, progress, now))
      void this.handOver(home, spec, record, progress);
  }

  private isHandoverDue(
    home: GroupHome,
    spec: GroupSpec,
    record: GroupRecord,
    progress: GroupProgress,
    now: number,
  ): boolean {
    const { leavingSince } = progress;
    if (leavingSince === undefined) return false;
    const { stalledAfterMs, handoverWaitMs, damping } = this.options.rules;
    const { rankDelayMs } = damping;
    const recordSince = home.context.board.record(home.group)?.since ?? now;
    const view = { rank: this.rank(spec), phase: record.phase, leavingSince, recordSince };
    return isHandoverDue(view, { stalledAfterMs, handoverWaitMs, rankDelayMs }, now);
  }

  private isSuspect(home: GroupHome, spec: GroupSpec, record: GroupRecord, now: number): boolean {
    const { suspectAfterMs, damping } = this.options.rules;
    const { lastPromotionAt } = home.context.board.observation(home.group, now);
    const needed = requiredSuspicionMs(suspectAfterMs, lastPromotionAt, now, damping);
    return home.unconfirmableMs(spec, record, now) > needed;
  }

  /** Whether another host has started an attempt that did not finish in time. */
  private isStalled(home: GroupHome, record: GroupRecord, now: number): boolean {
    if (record.phase !== GroupPhase.Fencing) return false;
    const since = home.context.board.record(home.group)?.since ?? now;
    return now - since > this.options.rules.stalledAfterMs;
  }

  private confirmsSuspicion(group: string, term: number): boolean {
    const home = this.options.homes.home(group as GroupId);
    const { spec, record } = home ?? {};
    if (home === undefined || spec === undefined || record?.term !== term) return false;
    const unconfirmedMs = home.unconfirmableMs(spec, record, performance.now());
    return unconfirmedMs > this.options.rules.suspectAfterMs * CONFIRMING_SHARE;
  }

  /** Polls the homes of other zones and attempts a promotion if a majority of the zones agrees. */
  private async pollZones(
    home: GroupHome,
    spec: GroupSpec,
    record: GroupRecord,
    progress: GroupProgress,
  ): Promise<void> {
    progress.busy = true;
    const { rules, random } = this.options;
    const { az } = home.context.board;
    const others = this.homesElsewhere(spec);
    const votes = await this.poll.collectVotes(spec.id, record.term, others);
    const own = { az, suspects: true };
    const agreed = isSuspectedByMajority(zonesOfGroup(spec), [...votes, own]);
    if (agreed) await pause(attemptDelayMs(0, this.rank(spec), rules.damping, random));
    progress.busy = false;
    const current = home.record;
    if (!agreed || current?.term !== record.term || current.phase === GroupPhase.Fencing) return;
    if (!this.isSuspect(home, spec, current, performance.now())) return;
    this.options.log.warn('primary-suspect', {
      group: spec.id,
      upstream: record.primary,
      term: record.term,
      silent_ms: Math.round(home.unconfirmableMs(spec, current, performance.now())),
    });
    await this.attempt(home, spec, progress);
  }

  private async attempt(home: GroupHome, spec: GroupSpec, progress: GroupProgress): Promise<void> {
    if (progress.busy) return;
    progress.busy = true;
    progress.attempts += 1;
    try {
      await this.promote(home, spec);
    } finally {
      const { damping } = this.options.rules;
      const rank = this.rank(spec);
      const wait = attemptDelayMs(progress.attempts, rank, damping, this.options.random);
      progress.notBefore = performance.now() + wait;
      progress.busy = false;
    }
  }

  private async promote(home: GroupHome, spec: GroupSpec): Promise<void> {
    const { store, log, rules, metrics } = this.options;
    const known = home.record;
    const read = await store.read(recordKey(spec.id));
    const stored = read.isOk() ? read.value : undefined;
    const record = decodeRecord(stored?.value ?? '');
    if (stored === undefined || record === undefined) {
      log.warn('promotion-without-store', { group: spec.id });
      return;
    }
    if (known !== undefined && record.term > known.term) {
      this.options.onRecord(record);
      if (record.phase === GroupPhase.Serving) return;
    }
    const isStoreBehind = known !== undefined && record.term < known.term;
    if (isStoreBehind) {
      const fields = { group: spec.id, term: known.term, stored_term: record.term };
      log.warn('store-record-older', fields);
    }
    this.lastAttempt += 1;
    const newest = isStoreBehind ? known : record;
    const fenced = home.reports(spec).map(({ report }) => report.fencedTerm);
    const leaving = spec.upstreams.filter((entry) => entry.state === UpstreamState.Leaving);
    const result = await runPromotion(
      {
        record: newest,
        revision: stored.revision,
        fencedTerm: Math.max(0, ...fenced),
        members: spec.upstreams.map((upstream) => upstream.id),
        avoid: [newest.primary, ...leaving.map((upstream) => upstream.id)],
        promoter: home.context.board.host,
        attempt: `${home.context.board.host}/${Date.now()}/${this.lastAttempt}`,
      },
      {
        store,
        log,
        timeoutMs: rules.attemptTimeoutMs,
        graceMs: rules.graceMs,
        control: (upstream, sql) => runControl(home, upstream, sql),
      },
    );
    const { state, times } = result;
    const done = state.stage === PromotionStage.Done;
    log.info('promotion-ended', {
      group: spec.id,
      term: state.record.term,
      done,
      primary: done ? state.record.primary : undefined,
      claimed_ms: Math.round(times.claimedMs),
      fenced_ms: Math.round(times.fencedMs),
      promoted_ms: Math.round(times.promotedMs),
      published_ms: Math.round(times.publishedMs),
    });
    if (!done) return;
    metrics.promotions.inc();
    this.announce(spec, state.record);
  }

  /** Notifies this host and the homes of all zones immediately; relays notify all other hosts. */
  private announce(spec: GroupSpec, record: GroupRecord): void {
    this.options.onRecord(record);
    const update = {
      kind: FrameKind.RecordUpdate,
      record: { ...record, lineage: [...record.lineage] },
    } as const;
    const { network } = this.options;
    for (const member of this.homesEverywhere(spec)) void network.sendTo(member, update);
  }

  /**
   * Planned handover: blocks new transactions, waits until open ones have ended and a replica has
   * caught up, then promotes.
   */
  private async handOver(
    home: GroupHome,
    spec: GroupSpec,
    record: GroupRecord,
    progress: GroupProgress,
  ): Promise<void> {
    progress.busy = true;
    const drained = await this.swapRecord({ ...record, phase: GroupPhase.Draining });
    if (drained) {
      this.announce(spec, { ...record, phase: GroupPhase.Draining });
      await this.waitDrained(home, record);
    }
    progress.busy = false;
    if (home.record?.term === record.term) await this.attempt(home, spec, progress);
  }

  private async waitDrained(home: GroupHome, record: GroupRecord): Promise<void> {
    const until = performance.now() + this.options.rules.handoverWaitMs;
    while (performance.now() < until && home.record?.term === record.term) {
      await home.watcher.round();
      const reports = home.spec === undefined ? [] : home.reports(home.spec);
      const primary = reports.find((timed) => timed.report.upstream === record.primary)?.report;
      const caughtUp = reports.some(
        ({ report }) =>
          report.upstream !== record.primary &&
          report.received.term === record.term &&
          report.received.offset >= (primary?.received.offset ?? Infinity),
      );
      if (caughtUp && primary?.openTransactions === 0) return;
      await pause(DRAIN_POLL_MS);
    }
  }

  /** Writes the initial record of a group that has none yet. */
  private async initializeRecord(
    home: GroupHome,
    spec: GroupSpec,
    progress: GroupProgress,
    now: number,
  ): Promise<void> {
    if (progress.busy || now < progress.notBefore) return;
    progress.busy = true;
    progress.notBefore = now + INITIAL_RECORD_RETRY_MS;
    const { store } = this.options;
    const read = await store.read(recordKey(spec.id));
    if (read.isOk()) {
      const stored = decodeRecord(read.value?.value ?? '');
      if (stored !== undefined) this.options.onRecord(stored);
      else if (this.rank(spec) === 0) await this.writeInitialRecord(home, spec);
    }
    progress.busy = false;
  }

  private async writeInitialRecord(home: GroupHome, spec: GroupSpec): Promise<void> {
    await home.watcher.round();
    const reports = home.reports(spec).map((timed) => timed.report);
    const record = initialRecord(spec, reports, home.context.board.host);
    if (record === undefined) return;
    const key = recordKey(spec.id);
    const swap = { key, value: encodeRecord(record), expected: 0 };
    const written = await this.options.store.swap([swap]);
    if (written.isErr() || written.value !== SwapOutcome.Swapped) return;
    this.options.log.info('group-begun', { group: spec.id, primary: record.primary });
  }

  private async swapRecord(record: GroupRecord): Promise<boolean> {
    const { store } = this.options;
    const read = await store.read(recordKey(record.group));
    const stored = read.isOk() ? read.value : undefined;
    if (stored === undefined) return false;
    if (decodeRecord(stored.value)?.term !== record.term) return false;
    const swap = { key: stored.key, value: encodeRecord(record), expected: stored.revision };
    const swapped = await store.swap([swap]);
    return swapped.isOk() && swapped.value === SwapOutcome.Swapped;
  }

  /** Repoints replicas and returned former primaries to the primary of the record. */
  private repoint(
    home: GroupHome,
    spec: GroupSpec,
    record: GroupRecord,
    progress: GroupProgress,
    now: number,
  ): void {
    const target = spec.upstreams.find((upstream) => upstream.id === record.primary);
    if (target === undefined) return;
    const reports = home.reports(spec).map((timed) => timed.report);
    const primary = reports.find((report) => report.upstream === record.primary);
    if (primary?.role !== UpstreamRole.Primary) return;
    for (const id of upstreamsToRepoint(spec, record, reports)) {
      if (now - (progress.repointedAt.get(id) ?? -Infinity) < REPOINT_INTERVAL_MS) continue;
      progress.repointedAt.set(id, now);
      const { address, port } = target;
      const where = { upstream: target.id, address, port };
      void home.control(id)?.run(followSql(record.term, where, record.lineage));
    }
  }

  private progressOf(group: GroupId): GroupProgress {
    const held = this.progress.get(group);
    if (held !== undefined) return held;
    const fresh = {
      busy: false,
      attempts: 0,
      notBefore: 0,
      leavingSince: undefined,
      repointedAt: new Map(),
    };
    this.progress.set(group, fresh);
    return fresh;
  }

  /**
   * Rank of this host among all homes of the group. Attempts are delayed by rank so that normally only
   * one home acts.
   */
  private rank(spec: GroupSpec): number {
    const { board } = this.options.homes.context;
    const hosts = this.homesEverywhere(spec).map((member) => member.host);
    const ranked: readonly HostId[] = rankCandidates(`promote|${spec.id}`, hosts);
    return Math.max(0, ranked.indexOf(board.host));
  }

  private homesElsewhere(spec: GroupSpec): readonly Member[] {
    const { az } = this.options.homes.context.board;
    return this.homesEverywhere(spec).filter((member) => member.az !== az);
  }

  private homesEverywhere(spec: GroupSpec): readonly Member[] {
    const { board } = this.options.homes.context;
    const hosts = zonesOfGroup(spec).flatMap((az) =>
      homesOf(spec.id, activeHosts(board.members, az), this.options.rules.homesPerGroup),
    );
    return board.members.filter((member) => hosts.includes(member.host));
  }
}
