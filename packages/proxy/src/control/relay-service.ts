/**
 * Relay side of the control traffic: receives heartbeats, tracks which hosts are live, replies with
 * updates, and pushes updates without waiting for the next heartbeat to every host that sends
 * heartbeats to it. Every host can be a relay; membership determines which hosts are.
 */
import type { AzId, TrackedMember, HostId, Member } from '@gladespool/coordination';
import {
  azId,
  expiredMembers,
  hostId,
  EventLoopMonitor,
  MemberState,
  applyHeartbeat,
} from '@gladespool/coordination';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import { UpdateLog } from './update-log.js';
import { updatesFrame } from './updates-frame.js';

/** Timing of a relay. */
export interface RelayRules {
  readonly expireMs: number;
  /** Changes within this time are sent together, milliseconds. */
  readonly pushDelayMs: number;
}

/** Returns the text of a bundle part by its hash; undefined if the relay does not hold it. */
export type PartSource = (hash: string) => string | undefined;

/** Relay role of one host. */
export class RelayService implements PeerHandler {
  readonly news = new UpdateLog();
  private readonly tracked = new Map<HostId, TrackedMember>();
  private readonly bundleVersions = new Map<HostId, number>();
  /** Counter value up to which updates have been sent on each link. */
  private readonly sentUpTo = new Map<PeerLink, number>();
  private readonly expiryTimer: NodeJS.Timeout;
  private readonly loopMonitor: EventLoopMonitor;
  private pushTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly az: AzId,
    private readonly incarnation: number,
    private readonly rules: RelayRules,
    private readonly parts: PartSource,
  ) {
    const checkMs = rules.expireMs / EXPIRY_CHECKS_PER_PERIOD;
    this.loopMonitor = new EventLoopMonitor(checkMs, performance.now());
    this.expiryTimer = setInterval(() => {
      const now = performance.now();
      if (this.loopMonitor.recordTick(now)) this.expire(now);
    }, checkMs);
  }

  /** Number of links that heartbeats arrive on and that receive updates. */
  get subscribers(): number {
    return this.sentUpTo.size;
  }

  /** Live hosts of this zone and the bundle version that each of them has installed. */
  get hostVersions(): ReadonlyMap<HostId, number> {
    const live = [...this.tracked.values()].filter(
      ({ member }) => member.state !== MemberState.Gone,
    );
    return new Map(
      live.map(({ member }) => [member.host, this.bundleVersions.get(member.host) ?? 0]),
    );
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.Heartbeat) this.handleHeartbeat(link, frame);
    if (frame.kind === FrameKind.PartRequest) this.sendParts(link, frame.hashes);
  }

  onLost(link: PeerLink): void {
    this.sentUpTo.delete(link);
  }

  /** Sends pending updates to all subscribers after the push delay, so that changes are batched. */
  push(): void {
    this.pushTimer ??= setTimeout(() => {
      this.pushTimer = undefined;
      for (const [link, upTo] of this.sentUpTo) this.send(link, upTo);
    }, this.rules.pushDelayMs);
  }

  stop(): void {
    clearInterval(this.expiryTimer);
    clearTimeout(this.pushTimer);
  }

  private handleHeartbeat(link: PeerLink, heartbeat: FrameOf<FrameKind.Heartbeat>): void {
    const member = memberOf(heartbeat.self);
    const isOwn = member.az === this.az;
    if (isOwn) this.bundleVersions.set(member.host, heartbeat.bundleVersion);
    if (isOwn) this.recordHeartbeat(member, performance.now());
    const receivedUpTo = heartbeat.heardOf === this.incarnation ? heartbeat.heardUpTo : 0;
    this.send(link, receivedUpTo);
  }

  private recordHeartbeat(member: Member, now: number): void {
    const effect = applyHeartbeat(this.tracked.get(member.host), member, now);
    this.tracked.set(member.host, effect.heard);
    if (this.news.putMember(effect.heard.member)) this.push();
  }

  private expire(now: number): void {
    for (const gone of expiredMembers([...this.tracked.values()], now, this.rules.expireMs)) {
      this.tracked.set(gone.host, { member: gone, lastHeartbeatAt: now });
      if (this.news.putMember(gone)) this.push();
    }
    for (const [host, { member, lastHeartbeatAt }] of this.tracked) {
      const isOld = now - lastHeartbeatAt > this.rules.expireMs * FORGET_FACTOR;
      if (member.state !== MemberState.Gone || !isOld) continue;
      this.tracked.delete(host);
      this.bundleVersions.delete(host);
    }
  }

  private send(link: PeerLink, receivedUpTo: number): void {
    if (!link.send(updatesFrame(this.news.after(receivedUpTo), this.incarnation))) return;
    this.sentUpTo.set(link, this.news.upTo);
  }

  private sendParts(link: PeerLink, hashes: readonly string[]): void {
    const parts = hashes.flatMap((hash) => {
      const text = this.parts(hash);
      return text === undefined ? [] : [{ hash, text }];
    });
    link.send({ kind: FrameKind.PartReply, parts });
  }
}

const EXPIRY_CHECKS_PER_PERIOD = 4;
/** Multiple of the expiry time after which a gone host is removed. */
const FORGET_FACTOR = 20;

function memberOf(self: FrameOf<FrameKind.Heartbeat>['self']): Member {
  return { ...self, host: hostId(self.host), az: azId(self.az) };
}
