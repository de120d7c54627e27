/**
 * The homes of one host: opens and retires them as membership and bundle change, and runs the requests
 * of this host's own entry and of other hosts' entries.
 */
import type { GroupId } from '@gladespool/coordination';
import {
  groupId,
  homeShare,
  homesOf,
  RefusalReason,
  refuse,
  requestId,
  Section,
  activeHosts,
  zoneShare,
} from '@gladespool/coordination';
import type { Frame, FrameOf } from '@gladespool/protocol';
import { FrameKind, TransactionStatus } from '@gladespool/protocol';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { HomeContext } from './group-home.js';
import { GroupHome } from './group-home.js';
import { RequestFlow } from './request-flow.js';
import type { RequestRunner, RunOutcome, RunRequest } from './run-request.js';

/** Limits of the homes of a host. */
export interface HomeServiceRules {
  readonly homesPerGroup: number;
  /**
   * Time within which a host that is no longer a home of a group closes its connections, milliseconds.
   * Until it has passed, the next home of the group must not use the full share of connections.
   */
  readonly releaseTimeoutMs: number;
}

interface HeldHome {
  readonly home: GroupHome;
  readonly flow: RequestFlow;
  readonly since: number;
  /** Whether no other host held the home's share of connections when this host opened it. */
  readonly handedOver: boolean;
}

interface RemoteRequest {
  readonly link: PeerLink;
  readonly abort: AbortController;
}

const RESIZE_INTERVAL_MS = 500;

/** Homes of one host. */
export class HomeService implements RequestRunner, PeerHandler {
  private readonly homes = new Map<GroupId, HeldHome>();
  private readonly remoteRequests = new Map<string, RemoteRequest>();
  private readonly transactionsByLink = new Map<PeerLink, Set<string>>();
  private readonly timer: NodeJS.Timeout;
  private stopped = false;

  constructor(
    readonly context: HomeContext,
    private readonly rules: HomeServiceRules,
  ) {
    const reconcile = (): void => {
      this.review(performance.now());
    };
    context.board.onChange(Section.Bundle, reconcile);
    context.board.onChange(Section.Members, reconcile);
    this.timer = setInterval(reconcile, RESIZE_INTERVAL_MS);
  }

  /** Homes that this host holds now. */
  get held(): readonly GroupHome[] {
    return [...this.homes.values()].map((entry) => entry.home);
  }

  /** Returns the home of a group if this host holds it. */
  home(group: GroupId): GroupHome | undefined {
    return this.homes.get(group)?.home;
  }

  async run(req: RunRequest): Promise<RunOutcome> {
    const entry = this.homes.get(req.group);
    if (entry === undefined) {
      return { kind: 'refusal', refusal: refuse(RefusalReason.NoHome, req.group) };
    }
    return entry.flow.run(req);
  }

  /** Rolls back a transaction whose caller has disconnected. */
  abandon(group: GroupId, transaction: number): void {
    this.homes.get(group)?.flow.abandon(transaction);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.Run) void this.runRemote(link, frame);
    if (frame.kind === FrameKind.Cancel)
      this.remoteRequests.get(keyOf(link, frame.id))?.abort.abort();
    if (frame.kind === FrameKind.Abandon) this.abandon(groupId(frame.group), frame.transaction);
  }

  onLost(link: PeerLink): void {
    for (const request of this.remoteRequests.values())
      if (request.link === link) request.abort.abort();
    for (const key of this.transactionsByLink.get(link) ?? []) {
      const [group, handle] = key.split('/');
      this.abandon(groupId(group ?? ''), Number(handle));
    }
    this.transactionsByLink.delete(link);
  }

  /** Waits at most `timeoutMs` for requests in progress, then closes every connection. */
  async drain(timeoutMs: number): Promise<void> {
    clearInterval(this.timer);
    this.stopped = true;
    await Promise.all(this.held.map((home) => home.retire(timeoutMs)));
  }

  /** Closes every connection at once. */
  close(): void {
    clearInterval(this.timer);
    this.stopped = true;
    for (const home of this.held) home.close();
  }

  private review(now: number): void {
    const { board } = this.context;
    const { bundle } = board;
    if (this.stopped || bundle === undefined || !board.membersKnown) return;
    const hosts = activeHosts(board.members, board.az);
    const ownGroups = new Set<GroupId>();
    for (const spec of bundle.groups.values()) {
      if (zoneShare(spec, board.az) === 0) continue;
      const homes = homesOf(spec.id, hosts, this.rules.homesPerGroup);
      if (homes.includes(board.host)) ownGroups.add(spec.id);
    }
    for (const group of ownGroups) this.ensureHome(group, now);
    for (const [group, entry] of this.homes)
      if (!ownGroups.has(group)) this.retireHome(group, entry);
  }

  private ensureHome(group: GroupId, now: number): void {
    const entry = this.homes.get(group) ?? this.open(group, now);
    const spec = this.context.board.spec(group);
    if (spec === undefined) return;
    const zoneConnections = zoneShare(spec, this.context.board.az);
    const tenure = { since: entry.since, handedOver: entry.handedOver };
    entry.home.setMaxConnections(homeShare(zoneConnections, tenure, this.rules, now));
  }

  private open(group: GroupId, now: number): HeldHome {
    const home = new GroupHome(group, this.context);
    const entry: HeldHome = { home, flow: new RequestFlow(home), since: now, handedOver: false };
    this.homes.set(group, entry);
    this.context.log.info('home-opened', { group });
    return entry;
  }

  private retireHome(group: GroupId, entry: HeldHome): void {
    this.homes.delete(group);
    this.context.log.info('home-given-up', { group, busy: entry.home.busy });
    void entry.home.retire(this.rules.releaseTimeoutMs).then(() => {
      if (!this.homes.has(group)) this.context.board.removeObservation(group);
    });
  }

  private async runRemote(link: PeerLink, frame: FrameOf<FrameKind.Run>): Promise<void> {
    const key = keyOf(link, frame.id);
    const abort = new AbortController();
    this.remoteRequests.set(key, { link, abort });
    const outcome = await this.run(requestOf(frame, abort.signal));
    this.remoteRequests.delete(key);
    this.trackTransaction(link, frame, outcome);
    link.send(answerFrame(frame, outcome));
  }

  /** Tracks open transactions by link, so that they are rolled back when the link is lost. */
  private trackTransaction(
    link: PeerLink,
    frame: FrameOf<FrameKind.Run>,
    outcome: RunOutcome,
  ): void {
    const handles = this.transactionsByLink.get(link) ?? new Set<string>();
    this.transactionsByLink.set(link, handles);
    if (frame.transaction !== 0) handles.delete(`${frame.group}/${frame.transaction}`);
    if (outcome.kind !== 'answer' || outcome.transaction === 0) return;
    if (link.ready) handles.add(`${frame.group}/${outcome.transaction}`);
    else this.abandon(groupId(frame.group), outcome.transaction);
  }
}

let linkNumber = 0;
const linkNumbers = new WeakMap<PeerLink, number>();

function keyOf(link: PeerLink, id: number): string {
  let number = linkNumbers.get(link);
  if (number === undefined) {
    linkNumber += 1;
    number = linkNumber;
    linkNumbers.set(link, number);
  }
  return `${number}/${id}`;
}

function requestOf(frame: FrameOf<FrameKind.Run>, cancel: AbortSignal): RunRequest {
  const { marks } = frame;
  const now = performance.now();
  return {
    group: groupId(frame.group),
    intent: frame.intent,
    transaction: frame.transaction,
    messages: Buffer.from(frame.messages),
    floor: frame.floor,
    barrier: frame.barrier,
    marks: {
      requestId: marks.requestId === undefined ? undefined : requestId(marks.requestId),
      repeatable: marks.repeatable,
      maxAgeMs: marks.maxAgeMs,
      deadlineMs: undefined,
      priority: marks.priority,
    },
    arrivedAt: now,
    deadlineAt: now + frame.deadlineMs,
    cancel,
  };
}

function answerFrame(
  frame: FrameOf<FrameKind.Run>,
  outcome: RunOutcome,
): FrameOf<FrameKind.Answer> {
  const common = { kind: FrameKind.Answer, id: frame.id, epoch: frame.epoch } as const;
  if (outcome.kind === 'refusal') {
    const { reason, detail } = outcome.refusal;
    const bytes = Buffer.alloc(0);
    const status = TransactionStatus.Idle;
    return { ...common, bytes, status, transaction: 0, replica: false, reason, detail };
  }
  const { bytes, status, transaction, position, replica } = outcome;
  const answer = { ...common, bytes, status, transaction, replica };
  return position === undefined ? answer : { ...answer, position };
}
