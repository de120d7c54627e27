/**
 * Member side of the control traffic: sends heartbeats to the relays of its own zone and, while this
 * host is a relay, to one relay of each other zone. Keeps a separate view per relay and publishes
 * the merged view on the blackboard.
 */
import type { AzId, Blackboard, GroupRecord, HostId, Member } from '@gladespool/coordination';
import {
  heartbeatIntervalMs,
  mergeViews,
  EventLoopMonitor,
  MemberState,
  relaysOf,
  sameMember,
  activeHosts,
} from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind, toGroupRecord } from '@gladespool/protocol';
import type { ListedHost } from '@gladespool/platform';
import type { PeerHandler, PeerLink, PeerNetwork } from '@gladespool/peers';
import { membersOf } from './news-frame.js';

/** Timing and number of relays. */
export interface MembershipRules {
  readonly heartbeatMs: number;
  readonly expireMs: number;
  readonly relays: number;
}

/** Receives the updates from relays that go beyond the members of this zone. */
export interface NewsListener {
  onRecord(record: GroupRecord): void;
  onBundleHead(head: string, link: PeerLink): void;
  /** Called with a member of another zone that a relay of that zone reported. */
  onForeignMember(member: Member): void;
}

/** Options of the membership service. */
export interface MembershipOptions {
  readonly board: Blackboard;
  readonly network: PeerNetwork;
  readonly self: () => Member;
  readonly rules: MembershipRules;
  /** Other zones with whose relays this host exchanges updates while it is a relay. */
  readonly exchangeZones: () => readonly AzId[];
  readonly listener: NewsListener;
  readonly log: Logger;
}

/** Number of checks for a due heartbeat per base interval. */
const TICKS_PER_BEAT = 4;
/** Tolerance for timers that fire slightly early or late. */
const TICK_SLACK_MS = 5;

interface RelayView {
  readonly az: AzId;
  incarnation: number;
  upTo: number;
  heardAt: number;
  members: Map<HostId, Member>;
}

/** Membership service of one host. */
export class MembershipService implements PeerHandler {
  private readonly views = new Map<HostId, RelayView>();
  /** Unresponsive hosts, with the time until which they are not used as relays. */
  private readonly silent = new Map<HostId, number>();
  private readonly askedAt = new Map<HostId, number>();
  private listed: readonly ListedHost[] = [];
  private readonly timer: NodeJS.Timeout;
  private readonly loop: EventLoopMonitor;
  /** Whether hosts may be marked unresponsive; false right after a pause of this process. */
  private mayJudge = true;
  private readonly startedAt = performance.now();
  private lastBeatAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: MembershipOptions) {
    options.network.addHandler(this);
    const tickMs = options.rules.heartbeatMs / TICKS_PER_BEAT;
    this.loop = new EventLoopMonitor(tickMs, performance.now());
    this.timer = setInterval(() => {
      this.tick(performance.now());
    }, tickMs);
  }

  /** Whether this host is a relay of its zone, according to its own view. */
  get isRelay(): boolean {
    return this.relaysIn(this.options.board.az).includes(this.options.board.host);
  }

  /** Whether this host is the preferred relay of its zone, according to its own view. */
  get isFirstRelay(): boolean {
    return this.relaysIn(this.options.board.az)[0] === this.options.board.host;
  }

  /** Zones in the host list of the platform. */
  get listedZones(): readonly AzId[] {
    return [...new Set(this.listed.map((host) => host.az))];
  }

  /** Stores the platform's host list, which only serves to find relays, never as evidence of membership. */
  putListed(hosts: readonly ListedHost[]): void {
    this.listed = hosts;
    if (this.views.size === 0) this.beat(performance.now());
  }

  private tick(now: number): void {
    this.mayJudge = this.loop.recordTick(now);
    const { board, rules } = this.options;
    const members = activeHosts(board.members, board.az).length;
    const interval = heartbeatIntervalMs(rules.heartbeatMs, members, rules.expireMs);
    if (now - this.lastBeatAt >= interval - TICK_SLACK_MS) this.beat(now);
  }

  /** Sends heartbeats immediately. */
  beat(now: number): void {
    this.lastBeatAt = now;
    if (this.mayJudge) this.noteSilence(now);
    const { board } = this.options;
    const targets = new Set(this.relaysIn(board.az));
    if (targets.has(board.host)) {
      for (const az of this.options.exchangeZones()) {
        const [first] = this.relaysIn(az);
        if (first !== undefined) targets.add(first);
      }
    }
    for (const host of targets) this.beatTo(host, now);
    this.publish();
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.Updates) this.takeNews(link, frame);
  }

  onLost(link: PeerLink): void {
    if (this.askedAt.has(link.host as HostId)) this.beat(performance.now());
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Relays of a zone among the hosts known here, without unresponsive ones. */
  private relaysIn(az: AzId): readonly HostId[] {
    const known = new Set<HostId>(activeHosts(this.options.board.members, az));
    for (const host of this.listed) if (host.az === az && !host.leaving) known.add(host.host);
    if (az === this.options.board.az && !this.options.board.draining) {
      known.add(this.options.board.host);
    }
    const asked = [...known].filter((host) => !this.silent.has(host));
    return relaysOf(az, asked, this.options.rules.relays);
  }

  private beatTo(host: HostId, now: number): void {
    const target = this.addressOf(host);
    if (target === undefined) return;
    if (!this.askedAt.has(host)) this.askedAt.set(host, now);
    const view = this.views.get(host);
    void this.options.network.sendTo(target, {
      kind: FrameKind.Heartbeat,
      self: this.options.self(),
      bundleVersion: this.options.board.bundle?.version ?? 0,
      heardUpTo: view?.upTo ?? 0,
      heardOf: view?.incarnation ?? 0,
    });
  }

  private addressOf(host: HostId): Member | ListedHost | undefined {
    if (host === this.options.board.host) return this.options.self();
    const member = this.options.board.members.find((entry) => entry.host === host);
    if (member !== undefined && member.state !== MemberState.Gone) return member;
    return this.listed.find((entry) => entry.host === host);
  }

  private takeNews(link: PeerLink, frame: FrameOf<FrameKind.Updates>): void {
    const host = link.host as HostId;
    const now = performance.now();
    this.askedAt.delete(host);
    this.silent.delete(host);
    const view = this.viewOf(host, frame.incarnation);
    view.upTo = frame.upTo;
    view.heardAt = now;
    for (const member of membersOf(frame)) {
      view.members.set(member.host, member);
      this.tellForeign(view, member);
    }
    for (const record of frame.records) this.options.listener.onRecord(toGroupRecord(record));
    if (frame.bundle !== undefined) this.options.listener.onBundleHead(frame.bundle, link);
    if (frame.members.length > 0) this.publish();
  }

  /** On a relay, forwards what relays of other zones report about members of their own zone. */
  private tellForeign(view: RelayView, member: Member): void {
    const isForeign = view.az !== this.options.board.az && member.az === view.az;
    if (isForeign && this.isRelay) this.options.listener.onForeignMember(member);
  }

  private viewOf(host: HostId, incarnation: number): RelayView {
    const held = this.views.get(host);
    if (held?.incarnation === incarnation) return held;
    const az = this.addressOf(host)?.az ?? this.options.board.az;
    const heardAt = performance.now();
    const view: RelayView = { az, incarnation, upTo: 0, heardAt, members: new Map() };
    this.views.set(host, view);
    return view;
  }

  /** Excludes hosts for one expiry time that have not replied for that long, and drops their expired views. */
  private noteSilence(now: number): void {
    const { expireMs } = this.options.rules;
    for (const [host, until] of this.silent) if (now >= until) this.silent.delete(host);
    for (const [host, since] of this.askedAt) {
      if (now - since < expireMs) continue;
      this.askedAt.delete(host);
      this.silent.set(host, now + expireMs);
      this.options.log.warn('relay-silent', { relay: host, for_ms: Math.round(now - since) });
    }
    for (const [host, view] of this.views) {
      if (now - view.heardAt <= expireMs) continue;
      this.views.delete(host);
      if (view.az !== this.options.board.az) this.loseZone(view);
    }
  }

  /** Marks the hosts of another zone as gone when all of its relays are unreachable from here. */
  private loseZone(lost: RelayView): void {
    const others = [...this.views.values()].some((view) => view.az === lost.az);
    if (others || !this.isRelay) return;
    for (const member of lost.members.values()) {
      this.options.listener.onForeignMember({ ...member, state: MemberState.Gone });
    }
  }

  /**
   * Whether the members of this zone are known. A host that has not yet received updates from a relay
   * would consider itself the home of every group of its zone. It therefore waits for the first
   * updates, unless the platform lists no other host in the zone or nobody replies within the expiry
   * time.
   */
  private knowsMembers(viewsHeard: number): boolean {
    const { board, rules } = this.options;
    const others = this.listed.filter((host) => host.az === board.az && host.host !== board.host);
    const heardOther = [...this.views.keys()].some((host) => host !== board.host);
    if (heardOther || (viewsHeard > 0 && others.length === 0)) return true;
    return performance.now() - this.startedAt > rules.expireMs;
  }

  private publish(): void {
    const { board, self } = this.options;
    const own = self();
    const views = [...this.views.values()].map((view) => [...view.members.values()]);
    const joined = mergeViews(views).filter((member) => member.host !== own.host);
    const members = [...joined, own];
    if (!sameList(members, board.members)) board.putMembers(members);
    if (this.knowsMembers(views.length)) board.markMembersKnown();
  }
}

function sameList(a: readonly Member[], b: readonly Member[]): boolean {
  if (a.length !== b.length) return false;
  const held = new Map(b.map((member) => [member.host, member]));
  return a.every((member) => {
    const other = held.get(member.host);
    return other !== undefined && sameMember(other, member);
  });
}
