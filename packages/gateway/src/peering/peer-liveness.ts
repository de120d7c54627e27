/**
 * Which other hosts answer on their links. A link may go silent without being closed, and so may a
 * host: a question that stays without any answer is followed by a ping, which answers at once
 * whatever the question waits for. Hosts that don't answer it get no forwarded work meanwhile, and
 * their link is closed in the end, so that what waits on it is settled and a new link is opened.
 */
import type { Logger } from '@gladespool/observability';
import type { PeerAddress, PeerLink } from '@gladespool/peers';
import { FrameKind } from '@gladespool/protocol';

/** Times of the watch. */
export interface LivenessRules {
  /** Time without a frame after a question until the link is pinged, milliseconds. */
  readonly pingAfterMs: number;
  /** Time without a frame after the ping until the host gets no new work, milliseconds. */
  readonly suspectAfterMs: number;
  /** Time without a frame after the ping until the link is closed, milliseconds. */
  readonly closeAfterMs: number;
  /** Time between two tries to reach a host that could not be reached, milliseconds. */
  readonly redialMs: number;
}

/**
 * 100 ms: most statements are answered by then, so that few pings are sent. 100 ms: a host whose
 * processor quota is spent answers in the next tenth of a second. 400 ms: twice that and a pause of
 * garbage collection; closing settles what is under way, writes as uncertain, so it must not be
 * done to a host that is only slow. 300 ms: a process that was killed is back in about a second.
 */
export const DEFAULT_LIVENESS_RULES: LivenessRules = {
  pingAfterMs: 100,
  suspectAfterMs: 100,
  closeAfterMs: 400,
  redialMs: 300,
};

/** Id of pings of this watch, whose answers nobody waits for: questions count from 1. */
const PING_ID = 0;

/** What the watch does with a link. */
export type MonitoredLink = Pick<PeerLink, 'host' | 'send' | 'close'>;

/** A link on which a question has been sent since the latest frame. */
interface Waiting {
  /** Local time from which a frame is missed. */
  readonly dueAt: number;
  pingedAt: number | undefined;
}

/** What is known of a host that could not be reached. */
interface Unreachable {
  dialedAt: number;
}

/** Watch over the links of one host. */
export class PeerLiveness {
  private readonly waiting = new Map<MonitoredLink, Waiting>();
  private readonly unreachable = new Map<string, Unreachable>();

  constructor(
    private readonly log: Logger,
    private readonly rules: LivenessRules = DEFAULT_LIVENESS_RULES,
  ) {}

  /** Notes that a question on `link` should be answered from local time `dueAt` on. */
  expectReply(link: MonitoredLink, dueAt: number): void {
    const held = this.waiting.get(link);
    if (held !== undefined && held.dueAt <= dueAt) return;
    this.waiting.set(link, { dueAt, pingedAt: undefined });
  }

  /** Notes at `now` that no link to a host could be opened. */
  noteUnreachable(host: string, now: number): void {
    if (!this.unreachable.has(host)) this.log.info('peer-unreachable', { peer: host });
    this.unreachable.set(host, { dialedAt: now });
  }

  /** Notes that a link to a host is open. */
  noteReached(host: string): void {
    if (this.unreachable.delete(host)) this.log.info('peer-reached', { peer: host });
  }

  /** Whether a host may be given work at `now`. */
  isReachable(peer: PeerAddress, now: number): boolean {
    if (this.unreachable.has(peer.host)) return false;
    return ![...this.waiting].some(([link, state]) => {
      return link.host === peer.host && this.isSuspect(state, now);
    });
  }

  /** Whether a host that could not be reached should be tried again at `now`; notes the try if so. */
  shouldRedial(peer: PeerAddress, now: number): boolean {
    const state = this.unreachable.get(peer.host);
    if (state === undefined || now - state.dialedAt < this.rules.redialMs) return false;
    state.dialedAt = now;
    return true;
  }

  /** Pings links that owe an answer, and closes those that don't answer the ping either. */
  tick(now: number): void {
    const { pingAfterMs, closeAfterMs } = this.rules;
    for (const [link, state] of [...this.waiting]) {
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

  /** Notes a frame of any kind on `link`. */
  noteFrame(link: MonitoredLink): void {
    this.waiting.delete(link);
  }

  /** Notes that `link` is closed. */
  noteLost(link: MonitoredLink): void {
    this.waiting.delete(link);
  }

  private isSuspect({ pingedAt }: Waiting, now: number): boolean {
    return pingedAt !== undefined && now - pingedAt >= this.rules.suspectAfterMs;
  }
}
