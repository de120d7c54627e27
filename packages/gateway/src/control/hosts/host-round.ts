/**
 * One question to every listed host. In a zone of few hosts each is asked directly; in a larger one the first
 * hosts of the zone ask the others, to whom they have links already, and pass the answers on. So the host
 * that asks neither opens a link to everyone nor sends each question itself. In zones of another region
 * fewer are asked directly.
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

/** A question that all hosts may be asked. */
export type RoundRequest = FrameOf<FrameKind.RoundRequest>['question'];

/** One host's answer. */
export interface RoundReply {
  readonly host: HostId;
  /** Incarnation of the process that answered, if it told; else that which was listed. */
  readonly incarnation: number;
  /** Documents that the host passed on with it. */
  readonly items: readonly StoreItem[];
}

/** What the rounds work with. */
export interface HostRoundOptions {
  readonly board: GatewayBoard;
  readonly order: RelayOrder;
  readonly calls: Pick<PeerCalls, 'request' | 'notify' | 'isReachable'>;
}

/** Hosts of a zone up to which each is asked directly: one link more is cheaper than one way more. */
const DIRECT_HOSTS = 12;
/** The same for a zone of another region: for four hosts, asking two of them takes half of the links. */
const DIRECT_FAR_HOSTS = 3;
/** Hosts of a larger zone that are asked to ask the others; each asks all, so that one may be lost. */
const ASKING_HOSTS = 2;
/** Time for which answers of a zone are gathered before they are passed on together, milliseconds. */
const GATHER_MS = 20;

type Take = (answer: RoundReply) => void;

/** A round whose answers come by way of other hosts. */
interface OpenRound {
  readonly take: Take;
  readonly end: () => void;
}

/** Rounds of one host, and its part in those of others. */
export class HostRound implements PeerHandler {
  private readonly open = new Map<number, OpenRound>();
  private nextRound = 1;

  constructor(private readonly options: HostRoundOptions) {}

  /** The listed hosts without this one. */
  get others(): readonly HostEntry[] {
    const { board } = this.options;
    return [...board.hosts.values()].filter((entry) => entry.host !== board.host);
  }

  /** Other hosts on the list that can't be asked, since their entries can't be read; they may hold proofs. */
  get unknown(): readonly HostId[] {
    const { board } = this.options;
    return [...board.unreadableHosts].filter((host) => host !== board.host);
  }

  /**
   * Asks every other host and reports each one's first answer. Nothing but an answer shows that a host
   * is done: a cut can look like a process that is gone.
   *
   * @returns once all have answered or `timeoutMs` is over, the hosts that answered
   */
  async requestAll(
    question: RoundRequest,
    timeoutMs: number,
    onAnswer: Take = () => undefined,
  ): Promise<ReadonlySet<HostId>> {
    const answered = new Set<HostId>();
    // A zone's first hosts may know of hosts that are not on this list; those are part of no majority of it.
    const listed = new Set(this.others.map((entry) => entry.host));
    const take = (answer: RoundReply): void => {
      if (!listed.has(answer.host) || answered.has(answer.host)) return;
      answered.add(answer.host);
      onAnswer(answer);
    };
    const zones = [...new Set(this.others.map((entry) => entry.az))];
    await Promise.all(zones.map((az) => this.askZone(az, question, timeoutMs, take)));
    return answered;
  }

  /**
   * Tells the other hosts of news: each one of a small zone, the first ones of a larger zone, on which the
   * questions of the others wait for it.
   */
  notifyAll(frame: FrameOf<FrameKind.StoreUpdate>): void {
    const zones = [...new Set(this.others.map((entry) => entry.az))];
    for (const entry of zones.flatMap((az) => this.toldFirst(az))) {
      void this.options.calls.notify(entry, frame);
    }
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.RoundRequest) void this.answer(link, frame);
    if (frame.kind === FrameKind.RoundReplies) this.takeAnswers(frame);
  }

  onLost(): void {
    // Answers that were lost with a link are missed by whoever waits for them.
  }

  private async askZone(
    az: AzId,
    question: RoundRequest,
    timeoutMs: number,
    take: Take,
  ): Promise<void> {
    const hosts = this.othersOf(az);
    if (az === this.options.board.az || this.areAskedDirectly(az, hosts)) {
      await Promise.all(hosts.map((entry) => this.askHost(entry, question, timeoutMs, take)));
      return;
    }
    const asking = this.reachableFirst(hosts).slice(0, ASKING_HOSTS);
    const direct = asking.map((entry) => this.askHost(entry, question, timeoutMs, take));
    const passedOn = asking.map((entry) => this.askByWayOf(entry, question, timeoutMs, take));
    // All of the zone have answered once both is over on one of those that asked.
    await Promise.all([...direct, Promise.race(passedOn)]);
  }

  private othersOf(az: AzId): readonly HostEntry[] {
    const { board, order } = this.options;
    return order.hostsOf(az).filter((entry) => entry.host !== board.host);
  }

  /** Whether the hosts of a zone are so few that each is asked directly. */
  private areAskedDirectly(az: AzId, hosts: readonly HostEntry[]): boolean {
    const { board } = this.options;
    const isFar = board.topology.distance(board.az, az) === Distance.OtherRegion;
    return hosts.length <= (isFar ? DIRECT_FAR_HOSTS : DIRECT_HOSTS);
  }

  private toldFirst(az: AzId): readonly HostEntry[] {
    const hosts = this.othersOf(az);
    if (this.areAskedDirectly(az, hosts)) return hosts;
    return this.reachableFirst(hosts).slice(0, ASKING_HOSTS);
  }

  /** The hosts in order, those last that are known not to answer. */
  private reachableFirst(hosts: readonly HostEntry[]): readonly HostEntry[] {
    const now = performance.now();
    const isReachable = (entry: HostEntry): boolean => this.options.calls.isReachable(entry, now);
    const reachable = hosts.filter(isReachable);
    return [...reachable, ...hosts.filter((entry) => !reachable.includes(entry))];
  }

  private async askHost(
    entry: HostEntry,
    question: RoundRequest,
    timeoutMs: number,
    take: Take,
  ): Promise<void> {
    const result = await this.options.calls.request(
      entry,
      (id) => ({ ...question, id }),
      timeoutMs,
    );
    if (result.isErr()) return;
    const { host, incarnation } = entry;
    const reply = result.value;
    if (reply.kind !== FrameKind.RenewReply) take({ host, incarnation, items: [] });
    else take({ host, incarnation: reply.incarnation, items: reply.items });
  }

  /** Resolves once the host has asked all of its zone, or `timeoutMs` is over. */
  private askByWayOf(
    entry: HostEntry,
    question: RoundRequest,
    timeoutMs: number,
    take: Take,
  ): Promise<void> {
    const round = this.nextRound;
    this.nextRound += 1;
    return new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        this.open.delete(round);
        resolve();
      };
      const timer = setTimeout(end, timeoutMs);
      this.open.set(round, { take, end });
      const ask = { kind: FrameKind.RoundRequest, round, waitMs: timeoutMs, question } as const;
      void this.options.calls.notify(entry, ask);
    });
  }

  private takeAnswers({ round, answers, items, done }: FrameOf<FrameKind.RoundReplies>): void {
    const held = this.open.get(round);
    if (held === undefined) return;
    for (const { host, incarnation } of answers) {
      held.take({ host: hostId(host), incarnation, items });
    }
    if (done) held.end();
  }

  /** Asks the other hosts of this host's zone for another host, and passes their answers on. */
  private async answer(link: PeerLink, ask: FrameOf<FrameKind.RoundRequest>): Promise<void> {
    const { board, order } = this.options;
    const { round, question, waitMs } = ask;
    const hosts = order.hosts.filter((entry) => entry.host !== board.host);
    let gathered: RoundReply[] = [];
    const passOn = (done: boolean): void => {
      link.send(answersFrame(round, gathered, done));
      gathered = [];
    };
    const timer = setInterval(() => {
      if (gathered.length > 0) passOn(false);
    }, GATHER_MS);
    const take = (answer: RoundReply): void => {
      gathered.push(answer);
    };
    await Promise.all(hosts.map((entry) => this.askHost(entry, question, waitMs, take)));
    clearInterval(timer);
    passOn(true);
  }
}

function answersFrame(
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

/** Each version of each key once; which one is newer is not told by their positions alone. */
function distinct(items: readonly StoreItem[]): Iterable<StoreItem> {
  const versions = new Map<string, StoreItem>();
  for (const item of items) {
    versions.set(`${item.key} ${formatStorePosition(item.position)}`, item);
  }
  return versions.values();
}
