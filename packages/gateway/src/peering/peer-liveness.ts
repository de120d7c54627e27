/**
 * Liveness of other hosts on their links. A link or a host may stop responding without closing the connection: a
 * request that gets no frame in return is followed by a ping, which is answered at once even if the request has to
 * wait. A host that does not answer the ping gets no forwarded work, and finally its link is closed, so that pending
 * requests on it are settled and a new link is opened.
 */
import type { Logger } from '@gladespool/observability';
import type { PeerAddress, PeerLink } from '@gladespool/peers';
import { FrameKind } from '@gladespool/protocol';

/** Timing of the liveness checks. */
export interface LivenessRules {
  /** Time without a frame after a request until the link is pinged, milliseconds. */
  readonly pingAfterMs: number;
  /** Time without a frame after the ping until the host gets no new work, milliseconds. */
  readonly suspectAfterMs: number;
  /** Time without a frame after the ping until the link is closed, milliseconds. */
  readonly closeAfterMs: number;
  /** Time between two attempts to reach an unreachable host, milliseconds. */
  readonly redialMs: number;
}

/**
 * `pingAfterMs`: most statements are answered within 100 ms, so that few pings are sent. `suspectAfterMs`: a host that
 * has used up its CPU quota answers in the next period of 100 ms. `closeAfterMs`: twice that period and a garbage
 * collection pause; closing a link ends pending writes with an unknown outcome, so a host that is only slow must not be
 * closed. `redialMs`: a killed process is back in about a second.
 */
export const DEFAULT_LIVENESS_RULES: LivenessRules = {
  pingAfterMs: 100,
  suspectAfterMs: 100,
  closeAfterMs: 400,
  redialMs: 300,
};

/** Id of pings, whose replies are not awaited; ids of requests start at 1. */
const PING_ID = 0;

/** The part of a link that the liveness checks use. */
export type MonitoredLink = Pick<PeerLink, 'host' | 'send' | 'close'>;

/** State of a link on which a request was sent after the last received frame. */
interface PendingReply {
  /** Local time from which a frame is overdue. */
  readonly dueAt: number;
  pingedAt: number | undefined;
}

/** State of a host that could not be reached. */
interface Unreachable {
  dialedAt: number;
}

/** Checks the liveness of the hosts to which one host has links. */
export class PeerLiveness {
  private readonly pendingReplies = new Map<MonitoredLink, PendingReply>();
  private readonly unreachable = new Map<string, Unreachable>();

  constructor(
    private readonly log: Logger,
    private readonly rules: LivenessRules = DEFAULT_LIVENESS_RULES,
  ) {}

  /** Expects a frame on `link` from local time `dueAt` on. */
  expectReply(link: MonitoredLink, dueAt: number): void {
    const pending = this.pendingReplies.get(link);
    if (pending !== undefined && pending.dueAt <= dueAt) return;
    this.pendingReplies.set(link, { dueAt, pingedAt: undefined });
  }

  /** Records at `now` that no link to a host could be opened. */
  noteUnreachable(host: string, now: number): void {
    if (!this.unreachable.has(host)) this.log.info('peer-unreachable', { peer: host });
    this.unreachable.set(host, { dialedAt: now });
  }

  /** Records that a link to a host is open. */
  noteReached(host: string): void {
    if (this.unreachable.delete(host)) this.log.info('peer-reached', { peer: host });
  }

  /** Whether work may be forwarded to a host at `now`. */
  isReachable(peer: PeerAddress, now: number): boolean {
    if (this.unreachable.has(peer.host)) return false;
    return ![...this.pendingReplies].some(([link, state]) => {
      return link.host === peer.host && this.isSuspect(state, now);
    });
  }

  /** Whether an unreachable host should be dialed again at `now`; if so, the attempt is recorded. */
  shouldRedial(peer: PeerAddress, now: number): boolean {
    const state = this.unreachable.get(peer.host);
    if (state === undefined || now - state.dialedAt < this.rules.redialMs) return false;
    state.dialedAt = now;
    return true;
  }

  /** Pings links on which a frame is overdue, and closes those that don't answer the ping either. */
  tick(now: number): void {
    const { pingAfterMs, closeAfterMs } = this.rules;
    for (const [link, state] of [...this.pendingReplies]) {
      const { dueAt, pingedAt } = state;
      if (pingedAt === undefined) {
        if (now - dueAt < pingAfterMs) continue;
        state.pingedAt = now;
        link.send({ kind: FrameKind.PingRequest, id: PING_ID });
      } else if (now - pingedAt >= closeAfterMs) {
        this.log.info('peer-silent', { peer: link.host, silent_ms: Math.round(now - dueAt) });
        this.noteUnreachable(link.host, now);
        link.close('no answer to a ping');
      }
    }
  }

  /** Records the arrival of a frame of any kind on `link`. */
  noteFrame(link: MonitoredLink): void {
    this.pendingReplies.delete(link);
  }

  /** Records that `link` is closed. */
  noteLost(link: MonitoredLink): void {
    this.pendingReplies.delete(link);
  }

  private isSuspect({ pingedAt }: PendingReply, now: number): boolean {
    return pingedAt !== undefined && now - pingedAt >= this.rules.suspectAfterMs;
  }
}
