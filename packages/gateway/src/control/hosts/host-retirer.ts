/**
 * Removes hosts from the list that are permanently gone. Each host pings the next one in the list, and those after
 * it until one replies, so that every host is monitored without a dedicated monitoring host.
 */
import type { HostId, RetirementRules } from '@gladespool/coordination';
import { hostId, mayRetire } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';
import type { HostListTracker } from './host-list-tracker.js';
import type { HostRound } from './host-round.js';
import type { MetadataStore } from '../store/metadata-store.js';
import { changeResultText, StorePurpose } from '../store/metadata-store.js';
import type { PeerCalls } from '../../peering/peer-calls.js';
import { hostKey, retiredHostKey } from '../store/store-documents.js';
import type { StoreView } from '../store/store-view.js';

/** Dependencies of the retirer. */
export interface HostRetirerOptions {
  readonly board: GatewayBoard;
  readonly view: StoreView;
  readonly store: MetadataStore;
  readonly order: RelayOrder;
  readonly lists: Pick<HostListTracker, 'expiredRetirements'>;
  readonly calls: PeerCalls;
  readonly round: HostRound;
  readonly rules: RetirementRules;
  readonly log: Logger;
}

/** Timeout of a ping, milliseconds; the link usually exists already. */
const PING_TIMEOUT_MS = 700;
/** Timeout of an indirect ping, milliseconds: another host's own ping and its reply. */
const INDIRECT_PING_TIMEOUT_MS = 1500;
const WRITE_TIMEOUT_MS = 1500;

/** Pings other hosts and removes those that are gone. */
export class HostRetirer implements PeerHandler {
  private readonly unreachableSince = new Map<HostId, number>();
  private lastRoundAt = Number.NEGATIVE_INFINITY;
  private running = false;

  constructor(private readonly options: HostRetirerOptions) {}

  /** Starts a round of pings if one is due at `now`. */
  tick(now: number): void {
    const { rules, board } = this.options;
    if (this.running || board.draining || now - this.lastRoundAt < rules.pingMs) return;
    this.lastRoundAt = now;
    void this.runRound();
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.PingRequest)
      link.send({ kind: FrameKind.PingReply, id: frame.id });
    if (frame.kind === FrameKind.IndirectPingRequest) void this.replyToIndirectPing(link, frame);
  }

  onLost(): void {
    // A ping on a lost link times out.
  }

  private async runRound(): Promise<void> {
    this.running = true;
    await this.removeExpiredNotes(performance.now());
    for (const entry of this.hostsInPingOrder()) {
      if (await this.isReachable(entry)) {
        this.unreachableSince.delete(entry.host);
        break;
      }
      await this.retireIfDue(entry, performance.now());
    }
    this.running = false;
  }

  /**
   * The other hosts in the order of the list, beginning after this one. Hosts of one region are adjacent, so that
   * few pings cross regions.
   */
  private hostsInPingOrder(): readonly HostEntry[] {
    const { board } = this.options;
    const { isMultiRegion } = board.topology;
    const regionOf = ({ az }: HostEntry): string =>
      (isMultiRegion ? board.topology.regionOf(az) : undefined) ?? '';
    const entries = [...board.hosts.values()].sort((a, b) => {
      const [region, other] = [regionOf(a), regionOf(b)];
      if (region !== other) return region < other ? -1 : 1;
      return a.host < b.host ? -1 : 1;
    });
    const own = entries.findIndex((entry) => entry.host === board.host);
    return own < 0 ? [] : [...entries.slice(own + 1), ...entries.slice(0, own)];
  }

  private async isReachable(entry: HostEntry): Promise<boolean> {
    const build = (id: number) => ({ kind: FrameKind.PingRequest, id }) as const;
    return (await this.options.calls.request(entry, build, PING_TIMEOUT_MS)).isOk();
  }

  private async retireIfDue(entry: HostEntry, now: number): Promise<void> {
    const since = this.unreachableSince.get(entry.host) ?? now;
    this.unreachableSince.set(entry.host, since);
    if (now - since < this.options.rules.silentMs) return;
    const evidence = await this.evidenceOf(entry);
    const retires = mayRetire(evidence, now - since, this.options.rules);
    this.options.log.info('host-silent', { silent: entry.host, ...evidence, retires });
    if (retires) await this.retire(entry);
  }

  private async evidenceOf(
    unreachable: HostEntry,
  ): Promise<{ readonly listed: number; readonly missing: number; readonly reaching: number }> {
    const { board, calls, round } = this.options;
    const others = round.others.filter((entry) => entry.host !== unreachable.host);
    const request = (id: number) =>
      ({ kind: FrameKind.IndirectPingRequest, id, host: unreachable.host }) as const;
    const replies = await Promise.all(
      others.map((other) => calls.request(other, request, INDIRECT_PING_TIMEOUT_MS)),
    );
    const reports = replies.map((reply) =>
      reply.isOk() && reply.value.kind === FrameKind.IndirectPingReply
        ? reply.value.reached
        : undefined,
    );
    return {
      listed: board.listedHostCount,
      missing: 1 + reports.filter((reached) => reached === false).length,
      reaching: reports.filter((reached) => reached === true).length,
    };
  }

  /**
   * Removes the entry unless it has been rewritten meanwhile. The note tells hosts that start later that the process may
   * still use its proof, unlike one that has removed its own entry.
   */
  private async retire({ host }: HostEntry): Promise<void> {
    const { store, view, log } = this.options;
    const key = hostKey(host);
    const conditions = [view.conditionOn(key)];
    const note = { key: retiredHostKey(host), value: JSON.stringify({ host }) };
    const change = { conditions, writes: [note], removals: [key] };
    const result = await store.change(change, StorePurpose.Register, WRITE_TIMEOUT_MS);
    log.info('host-retired', { retired: host, result: changeResultText(result) });
  }

  /** Removes the notes about hosts whose proofs have expired at `now`; one host does so for all. */
  private async removeExpiredNotes(now: number): Promise<void> {
    const { store, view, order, lists, log } = this.options;
    if (order.zoneRank > 0 || order.rank > 0) return;
    for (const host of lists.expiredRetirements(now)) {
      const key = retiredHostKey(host);
      const change = { conditions: [view.conditionOn(key)], writes: [], removals: [key] };
      const result = await store.change(change, StorePurpose.Register, WRITE_TIMEOUT_MS);
      log.info('retired-host-forgotten', { retired: host, result: changeResultText(result) });
    }
  }

  private async replyToIndirectPing(
    link: PeerLink,
    request: FrameOf<FrameKind.IndirectPingRequest>,
  ): Promise<void> {
    const entry = this.options.board.hosts.get(hostId(request.host));
    const reached = entry !== undefined && (await this.isReachable(entry));
    link.send({ kind: FrameKind.IndirectPingReply, id: request.id, reached });
  }
}
