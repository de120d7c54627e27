/**
 * Member side of the control traffic: sends heartbeats to the relays of its own zone and, while this
 * host is a relay, to the preferred relay of each zone that it exchanges updates with. Keeps a
 * separate view per relay and publishes the merged view on the blackboard.
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
import { membersOf } from './updates-frame.js';

/** Timing and number of relays. */
export interface MembershipRules {
  readonly heartbeatMs: number;
  readonly expireMs: number;
  readonly relays: number;
}

/** Receives the records, bundle heads and members of other zones that relays report. */
export interface UpdateListener {
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
  readonly listener: UpdateListener;
  readonly log: Logger;
}

/** Number of checks for a due heartbeat per base interval. */
const TICKS_PER_HEARTBEAT = 4;
/** Tolerance for timers that fire slightly early or late. */
const TICK_SLACK_MS = 5;

interface RelayView {
  readonly az: AzId;
  incarnation: number;
  upTo: number;
  lastUpdateAt: number;
  members: Map<HostId, Member>;
}

/** Membership service of one host. */
export class MembershipService implements PeerHandler {
  private readonly views = new Map<HostId, RelayView>();
  /** Unresponsive hosts, with the time until which they are not used as relays. */
  private readonly unresponsive = new Map<HostId, number>();
  /** Hosts that have not yet replied to a heartbeat, with the time of the first such heartbeat. */
  private readonly awaitingSince = new Map<HostId, number>();
  private listed: readonly ListedHost[] = [];
  private readonly timer: NodeJS.Timeout;
  private readonly loopMonitor: EventLoopMonitor;
  /** Whether hosts may be marked unresponsive; false right after a pause of this process. */
  private mayExpire = true;
  private readonly startedAt = performance.now();
  private lastHeartbeatAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: MembershipOptions) {
    options.network.addHandler(this);
    const tickMs = options.rules.heartbeatMs / TICKS_PER_HEARTBEAT;
    this.loopMonitor = new EventLoopMonitor(tickMs, performance.now());
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

  /** Stores the platform's host list: a hint where to send heartbeats, never evidence that a host is live. */
  putListed(hosts: readonly ListedHost[]): void {
    this.listed = hosts;
    if (this.views.size === 0) this.sendHeartbeats(performance.now());
  }

  private tick(now: number): void {
    this.mayExpire = this.loopMonitor.recordTick(now);
    const { board, rules } = this.options;
    const members = activeHosts(board.members, board.az).length;
    const interval = heartbeatIntervalMs(rules.heartbeatMs, members, rules.expireMs);
    if (now - this.lastHeartbeatAt >= interval - TICK_SLACK_MS) this.sendHeartbeats(now);
  }

  /** Sends heartbeats immediately. */
  sendHeartbeats(now: number): void {
    this.lastHeartbeatAt = now;
    if (this.mayExpire) this.expireRelays(now);
    const { board } = this.options;
    const targets = new Set(this.relaysIn(board.az));
    if (targets.has(board.host)) {
      for (const az of this.options.exchangeZones()) {
        const [first] = this.relaysIn(az);
        if (first !== undefined) targets.add(first);
      }
    }
    for (const host of targets) this.sendHeartbeat(host, now);
    this.publish();
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.Updates) this.handleUpdates(link, frame);
  }

  onLost(link: PeerLink): void {
    if (this.awaitingSince.has(link.host as HostId)) this.sendHeartbeats(performance.now());
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
    const responsive = [...known].filter((host) => !this.unresponsive.has(host));
    return relaysOf(az, responsive, this.options.rules.relays);
  }

  private sendHeartbeat(host: HostId, now: number): void {
    const target = this.addressOf(host);
    if (target === undefined) return;
    if (!this.awaitingSince.has(host)) this.awaitingSince.set(host, now);
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

  private handleUpdates(link: PeerLink, frame: FrameOf<FrameKind.Updates>): void {
    const host = link.host as HostId;
    const now = performance.now();
    this.awaitingSince.delete(host);
    this.unresponsive.delete(host);
    const view = this.viewOf(host, frame.incarnation);
    view.upTo = frame.upTo;
    view.lastUpdateAt = now;
    for (const member of membersOf(frame)) {
      view.members.set(member.host, member);
      this.reportForeignMember(view, member);
    }
    for (const record of frame.records) this.options.listener.onRecord(toGroupRecord(record));
    if (frame.bundle !== undefined) this.options.listener.onBundleHead(frame.bundle, link);
    if (frame.members.length > 0) this.publish();
  }

  /** On a relay, forwards what relays of other zones report about members of their own zone. */
  private reportForeignMember(view: RelayView, member: Member): void {
    const isForeign = view.az !== this.options.board.az && member.az === view.az;
    if (isForeign && this.isRelay) this.options.listener.onForeignMember(member);
  }

  private viewOf(host: HostId, incarnation: number): RelayView {
    const held = this.views.get(host);
    if (held?.incarnation === incarnation) return held;
    const az = this.addressOf(host)?.az ?? this.options.board.az;
    const lastUpdateAt = performance.now();
    const view: RelayView = {
      az,
      incarnation,
      upTo: 0,
      lastUpdateAt,
      members: new Map(),
    };
    this.views.set(host, view);
    return view;
  }

  /** Excludes hosts for one expiry time that have not replied for that long, and drops their expired views. */
  private expireRelays(now: number): void {
    const { expireMs } = this.options.rules;
    for (const [host, until] of this.unresponsive) if (now >= until) this.unresponsive.delete(host);
    for (const [host, since] of this.awaitingSince) {
      if (now - since < expireMs) continue;
      this.awaitingSince.delete(host);
      this.unresponsive.set(host, now + expireMs);
      this.options.log.warn('relay-silent', { relay: host, for_ms: Math.round(now - since) });
    }
    for (const [host, view] of this.views) {
      if (now - view.lastUpdateAt <= expireMs) continue;
      this.views.delete(host);
      if (view.az !== this.options.board.az) this.expireZone(view);
    }
  }

  /** Marks the hosts of another zone as gone when all of its relays are unreachable from here. */
  private expireZone(expired: RelayView): void {
    const hasOtherView = [...this.views.values()].some((view) => view.az === expired.az);
    if (hasOtherView || !this.isRelay) return;
    for (const member of expired.members.values()) {
      this.options.listener.onForeignMember({ ...member, state: MemberState.Gone });
    }
  }

  /**
   * Whether the members of this zone are known. A host that has not yet received updates from a relay
   * would consider itself the home of every group of its zone. It therefore waits for the first
   * updates, unless the platform lists no other host in the zone or nobody replies within the expiry
   * time.
   */
  private areMembersKnown(viewCount: number): boolean {
    const { board, rules } = this.options;
    const others = this.listed.filter((host) => host.az === board.az && host.host !== board.host);
    const hasOtherView = [...this.views.keys()].some((host) => host !== board.host);
    if (hasOtherView || (viewCount > 0 && others.length === 0)) return true;
    return performance.now() - this.startedAt > rules.expireMs;
  }

  private publish(): void {
    const { board, self } = this.options;
    const own = self();
    const views = [...this.views.values()].map((view) => [...view.members.values()]);
    const merged = mergeViews(views).filter((member) => member.host !== own.host);
    const members = [...merged, own];
    if (!sameMembers(members, board.members)) board.putMembers(members);
    if (this.areMembersKnown(views.length)) board.markMembersKnown();
  }
}

function sameMembers(a: readonly Member[], b: readonly Member[]): boolean {
  if (a.length !== b.length) return false;
  const held = new Map(b.map((member) => [member.host, member]));
  return a.every((member) => {
    const other = held.get(member.host);
    return other !== undefined && sameMember(other, member);
  });
}
