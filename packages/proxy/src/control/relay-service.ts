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
import { NewsBoard } from './news-board.js';
import { newsFrame } from './news-frame.js';

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
  readonly news = new NewsBoard();
  private readonly heard = new Map<HostId, TrackedMember>();
  private readonly versions = new Map<HostId, number>();
  private readonly sentUpTo = new Map<PeerLink, number>();
  private readonly expiry: NodeJS.Timeout;
  private readonly loop: EventLoopMonitor;
  private pushTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly az: AzId,
    private readonly incarnation: number,
    private readonly rules: RelayRules,
    private readonly parts: PartSource,
  ) {
    const checkMs = rules.expireMs / EXPIRY_CHECKS;
    this.loop = new EventLoopMonitor(checkMs, performance.now());
    this.expiry = setInterval(() => {
      const now = performance.now();
      if (this.loop.recordTick(now)) this.expire(now);
    }, checkMs);
  }

  /** Number of links that heartbeats arrive on and that receive updates. */
  get subscribers(): number {
    return this.sentUpTo.size;
  }

  /** Live hosts of this zone and the bundle version that each of them has installed. */
  get hostVersions(): ReadonlyMap<HostId, number> {
    const live = [...this.heard.values()].filter(({ member }) => member.state !== MemberState.Gone);
    return new Map(live.map(({ member }) => [member.host, this.versions.get(member.host) ?? 0]));
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.Heartbeat) this.takeBeat(link, frame);
    if (frame.kind === FrameKind.PartRequest) this.answerParts(link, frame.hashes);
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
    clearInterval(this.expiry);
    clearTimeout(this.pushTimer);
  }

  private takeBeat(link: PeerLink, beat: FrameOf<FrameKind.Heartbeat>): void {
    const member = memberOf(beat.self);
    const isOwn = member.az === this.az;
    if (isOwn) this.versions.set(member.host, beat.bundleVersion);
    if (isOwn) this.judge(member, performance.now());
    const knows = beat.heardOf === this.incarnation ? beat.heardUpTo : 0;
    this.send(link, knows);
  }

  private judge(member: Member, now: number): void {
    const effect = applyHeartbeat(this.heard.get(member.host), member, now);
    this.heard.set(member.host, effect.heard);
    if (this.news.putMember(effect.heard.member)) this.push();
  }

  private expire(now: number): void {
    for (const gone of expiredMembers([...this.heard.values()], now, this.rules.expireMs)) {
      this.heard.set(gone.host, { member: gone, lastHeartbeatAt: now });
      if (this.news.putMember(gone)) this.push();
    }
    for (const [host, { member, lastHeartbeatAt }] of this.heard) {
      const isOld = now - lastHeartbeatAt > this.rules.expireMs * FORGET_FACTOR;
      if (member.state !== MemberState.Gone || !isOld) continue;
      this.heard.delete(host);
      this.versions.delete(host);
    }
  }

  private send(link: PeerLink, heard: number): void {
    if (!link.send(newsFrame(this.news.after(heard), this.incarnation))) return;
    this.sentUpTo.set(link, this.news.upTo);
  }

  private answerParts(link: PeerLink, hashes: readonly string[]): void {
    const parts = hashes.flatMap((hash) => {
      const text = this.parts(hash);
      return text === undefined ? [] : [{ hash, text }];
    });
    link.send({ kind: FrameKind.PartReply, parts });
  }
}

const EXPIRY_CHECKS = 4;
const FORGET_FACTOR = 20;

function memberOf(self: FrameOf<FrameKind.Heartbeat>['self']): Member {
  return { ...self, host: hostId(self.host), az: azId(self.az) };
}
