/**
 * Sends one request to every listed host. The hosts of a small zone receive it directly; in a larger zone the first
 * hosts relay it to the others, to which they have links already, and forward the replies. So the requesting host
 * neither opens a link to every host nor sends every request itself. For zones of another region the limit is
 * lower.
 */
import type { AzId, HostId } from '@gladespool/coordination';
import { Distance, hostId, formatStorePosition } from '@gladespool/coordination';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { StoreItem } from '../store/metadata-store.js';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { RelayOrder } from '../../knowledge/relay-order.js';

/** A request that can be sent to all hosts. */
export type RoundRequest = FrameOf<FrameKind.RoundRequest>['question'];

/** One host's reply. */
export interface RoundReply {
  readonly host: HostId;
  /** Incarnation of the process that replied, if the reply carries it; otherwise the listed one. */
  readonly incarnation: number;
  /** Documents that the reply carries. */
  readonly items: readonly StoreItem[];
}

/** Dependencies of the rounds. */
export interface HostRoundOptions {
  readonly board: GatewayBoard;
  readonly order: RelayOrder;
  readonly calls: Pick<PeerCalls, 'request' | 'notify' | 'isReachable'>;
}

/** Number of hosts of a zone up to which each is contacted directly: a link costs less than an additional hop. */
const DIRECT_HOSTS = 12;
/** The same for a zone of another region: with four hosts, two relays take half of the links. */
const DIRECT_REMOTE_HOSTS = 3;
/** Number of relays in a larger zone; each contacts all hosts, so that one relay may fail. */
const RELAY_HOSTS = 2;
/** Interval at which a relay forwards the replies that it has collected, milliseconds. */
const FORWARD_INTERVAL_MS = 20;

type OnReply = (reply: RoundReply) => void;

/** A round whose replies arrive through a relay. */
interface PendingRound {
  readonly onReply: OnReply;
  readonly end: () => void;
}

/** Runs the rounds of one host, and relays those of others. */
export class HostRound implements PeerHandler {
  private readonly pending = new Map<number, PendingRound>();
  private nextRound = 1;

  constructor(private readonly options: HostRoundOptions) {}

  /** The listed hosts except this one. */
  get others(): readonly HostEntry[] {
    const { board } = this.options;
    return [...board.hosts.values()].filter((entry) => entry.host !== board.host);
  }

  /** All listed hosts, this one included, whether or not they can be contacted. */
  get listed(): readonly HostId[] {
    return [this.options.board.host, ...this.others.map(({ host }) => host), ...this.unknown];
  }

  /** Other listed hosts that cannot be contacted, since their entries cannot be read; they may hold proofs. */
  get unknown(): readonly HostId[] {
    const { board } = this.options;
    return [...board.unreadableHosts].filter((host) => host !== board.host);
  }

  /**
   * Sends a request to every other host and reports each one's first reply. Only a reply counts: a network
   * partition cannot be distinguished from a process that is gone.
   *
   * @returns the hosts that have replied, once all have or `timeoutMs` has passed
   */
  async requestAll(
    question: RoundRequest,
    timeoutMs: number,
    onReply: OnReply = () => undefined,
  ): Promise<ReadonlySet<HostId>> {
    const answered = new Set<HostId>();
    // Relays may know of hosts that are not on this host's list; those do not count towards a majority of it.
    const listed = new Set(this.others.map((entry) => entry.host));
    const accept = (reply: RoundReply): void => {
      if (!listed.has(reply.host) || answered.has(reply.host)) return;
      answered.add(reply.host);
      onReply(reply);
    };
    const zones = [...new Set(this.others.map((entry) => entry.az))];
    await Promise.all(zones.map((az) => this.requestZone(az, question, timeoutMs, accept)));
    return answered;
  }

  /**
   * Notifies the other hosts of an update: every host of a small zone, and the first hosts of a larger zone, at
   * which the sync requests of the others wait for it.
   */
  notifyAll(frame: FrameOf<FrameKind.StoreUpdate>): void {
    const zones = [...new Set(this.others.map((entry) => entry.az))];
    for (const entry of zones.flatMap((az) => this.firstNotified(az))) {
      void this.options.calls.notify(entry, frame);
    }
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.RoundRequest) void this.relayRequest(link, frame);
    if (frame.kind === FrameKind.RoundReplies) this.acceptReplies(frame);
  }

  onLost(): void {
    // Requests whose replies are lost with a link time out.
  }

  private async requestZone(
    az: AzId,
    question: RoundRequest,
    timeoutMs: number,
    onReply: OnReply,
  ): Promise<void> {
    const hosts = this.othersOf(az);
    if (az === this.options.board.az || this.areContactedDirectly(az, hosts)) {
      await Promise.all(
        hosts.map((entry) => this.requestHost(entry, question, timeoutMs, onReply)),
      );
      return;
    }
    const relays = this.reachableFirst(hosts).slice(0, RELAY_HOSTS);
    const direct = relays.map((entry) => this.requestHost(entry, question, timeoutMs, onReply));
    const relayed = relays.map((entry) => this.requestThrough(entry, question, timeoutMs, onReply));
    // A zone is done once the relays have replied themselves and one of them has contacted all of the others.
    await Promise.all([...direct, Promise.race(relayed)]);
  }

  private othersOf(az: AzId): readonly HostEntry[] {
    const { board, order } = this.options;
    return order.hostsOf(az).filter((entry) => entry.host !== board.host);
  }

  /** Whether a zone has so few hosts that each is contacted directly. */
  private areContactedDirectly(az: AzId, hosts: readonly HostEntry[]): boolean {
    const { board } = this.options;
    const isRemote = board.topology.distance(board.az, az) === Distance.OtherRegion;
    return hosts.length <= (isRemote ? DIRECT_REMOTE_HOSTS : DIRECT_HOSTS);
  }

  private firstNotified(az: AzId): readonly HostEntry[] {
    const hosts = this.othersOf(az);
    if (this.areContactedDirectly(az, hosts)) return hosts;
    return this.reachableFirst(hosts).slice(0, RELAY_HOSTS);
  }

  /** The hosts in order, with those that are known to be unreachable last. */
  private reachableFirst(hosts: readonly HostEntry[]): readonly HostEntry[] {
    const now = performance.now();
    const isReachable = (entry: HostEntry): boolean => this.options.calls.isReachable(entry, now);
    const reachable = hosts.filter(isReachable);
    return [...reachable, ...hosts.filter((entry) => !reachable.includes(entry))];
  }

  private async requestHost(
    entry: HostEntry,
    question: RoundRequest,
    timeoutMs: number,
    onReply: OnReply,
  ): Promise<void> {
    const result = await this.options.calls.request(
      entry,
      (id) => ({ ...question, id }),
      timeoutMs,
    );
    if (result.isErr()) return;
    const { host, incarnation } = entry;
    const reply = result.value;
    if (reply.kind === FrameKind.RenewReply) {
      onReply({ host, incarnation: reply.incarnation, items: reply.items });
      return;
    }
    const items = reply.kind === FrameKind.RevokeReply ? reply.items : undefined;
    onReply({ host, incarnation, items: items ?? [] });
  }

  /** Sends the request through a relay; resolves once that has contacted all of its zone, or after `timeoutMs`. */
  private requestThrough(
    entry: HostEntry,
    question: RoundRequest,
    timeoutMs: number,
    onReply: OnReply,
  ): Promise<void> {
    const round = this.nextRound;
    this.nextRound += 1;
    return new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        this.pending.delete(round);
        resolve();
      };
      const timer = setTimeout(end, timeoutMs);
      this.pending.set(round, { onReply, end });
      const request = { kind: FrameKind.RoundRequest, round, waitMs: timeoutMs, question } as const;
      void this.options.calls.notify(entry, request);
    });
  }

  private acceptReplies({ round, answers, items, done }: FrameOf<FrameKind.RoundReplies>): void {
    const pending = this.pending.get(round);
    if (pending === undefined) return;
    for (const { host, incarnation } of answers) {
      pending.onReply({ host: hostId(host), incarnation, items });
    }
    if (done) pending.end();
  }

  /** Relays a request to the other hosts of this host's zone, and forwards their replies. */
  private async relayRequest(
    link: PeerLink,
    request: FrameOf<FrameKind.RoundRequest>,
  ): Promise<void> {
    const { board, order } = this.options;
    const { round, question, waitMs } = request;
    const hosts = order.hosts.filter((entry) => entry.host !== board.host);
    let collected: RoundReply[] = [];
    const forward = (done: boolean): void => {
      link.send(repliesFrame(round, collected, done));
      collected = [];
    };
    const timer = setInterval(() => {
      if (collected.length > 0) forward(false);
    }, FORWARD_INTERVAL_MS);
    const onReply = (reply: RoundReply): void => {
      collected.push(reply);
    };
    await Promise.all(hosts.map((entry) => this.requestHost(entry, question, waitMs, onReply)));
    clearInterval(timer);
    forward(true);
  }
}

function repliesFrame(
  round: number,
  answers: readonly RoundReply[],
  done: boolean,
): FrameOf<FrameKind.RoundReplies> {
  return {
    kind: FrameKind.RoundReplies,
    round,
    answers: answers.map(({ host, incarnation }) => ({ host, incarnation })),
    items: [...distinct(answers.flatMap(({ items }) => items))],
    done,
  };
}

/** Each version of each key once; the positions alone do not show which version is newer. */
function distinct(items: readonly StoreItem[]): Iterable<StoreItem> {
  const versions = new Map<string, StoreItem>();
  for (const item of items) {
    versions.set(`${item.key} ${formatStorePosition(item.position)}`, item);
  }
  return versions.values();
}
