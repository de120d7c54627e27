/**
 * Fetches marks of a primary from homes that work for it. Where callers' work on the primary is done by
 * homes near it, the homes of other zones see none of its answers, and their reads would have to ask it.
 */
import type { GroupId } from '@gladespool/coordination';
import { Consistency, groupId, isNearUpstreams } from '@gladespool/coordination';
import type { PeerHandler, PeerLink } from '@gladespool/peers';
import type { Frame } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import type { GroupHome } from '../home/group-home.js';
import type { BeginJob, Executor, Job, OpenTransaction, StatementJob } from '../home/job.js';
import type { GatewayBoard } from '../knowledge/board.js';
import type { HomeDirectory } from '../knowledge/home-directory.js';
import type { Outcome } from '../model/outcome.js';
import type { PeerCalls } from '../peering/peer-calls.js';

/** What the exchange works with. */
export interface WatermarkExchangeOptions {
  readonly board: GatewayBoard;
  readonly directory: HomeDirectory;
  readonly calls: PeerCalls;
  readonly home: (group: GroupId) => GroupHome;
}

/**
 * Part of the age that a read may show after which a newer mark is fetched: reads then find a mark as old as
 * two thirds of it, which replicas hold that lag by less.
 */
const FETCH_SHARE = 0.3;
/** Least time between two questions, milliseconds: the primary may have had nothing to answer meanwhile. */
const FETCH_PAUSE_MS = 100;
/** Longest wait for a mark, milliseconds: two round trips between regions. */
const FETCH_TIMEOUT_MS = 200;

/** Both sides of the exchange on one host. */
export class WatermarkExchange implements PeerHandler {
  private readonly fetching = new Set<GroupId>();
  private readonly askedAt = new Map<GroupId, number>();

  constructor(private readonly options: WatermarkExchangeOptions) {}

  /** Fetches a mark for reads like `job` where the newest one held is too old at `now`. */
  refreshIfStale({ route }: Job, now: number): void {
    const { directory, home } = this.options;
    const { group, consistency, maxStalenessMs } = route;
    if (consistency === Consistency.Primary || this.fetching.has(group)) return;
    if (!isNearUpstreams(directory.plan(group))) return;
    const newestAt = home(group).marks.newest?.sentAt ?? Number.NEGATIVE_INFINITY;
    const askedAt = this.askedAt.get(group) ?? Number.NEGATIVE_INFINITY;
    const isDue = now - newestAt > maxStalenessMs * FETCH_SHARE && now - askedAt > FETCH_PAUSE_MS;
    if (isDue) void this.fetchMark(group);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.WatermarkRequest) return;
    const { marks } = this.options.home(groupId(frame.group));
    const { newest } = marks;
    const known = marks.currentEpoch === frame.epoch ? newest : undefined;
    const mark = known && { position: known.position, ageMs: performance.now() - known.sentAt };
    link.send({ kind: FrameKind.WatermarkReply, id: frame.id, ...(mark && { mark }) });
  }

  onLost(): void {
    // A question that was lost with the link ends without an answer; the next read asks again.
  }

  private async fetchMark(group: GroupId): Promise<void> {
    const { board, directory, calls, home } = this.options;
    const record = board.record(group);
    const [nearest] = directory.homesOfPrimary(group);
    const peer = nearest && board.hosts.get(nearest);
    if (record === undefined || peer === undefined) return;
    this.fetching.add(group);
    const sentAt = performance.now();
    this.askedAt.set(group, sentAt);
    const { epoch } = record;
    const answer = await calls.request(
      peer,
      (id) => ({ kind: FrameKind.WatermarkRequest, id, group, epoch }),
      FETCH_TIMEOUT_MS,
    );
    this.fetching.delete(group);
    // Who does not answer is noted by the calls themselves; reads ask the primary meanwhile.
    if (answer.isErr() || answer.value.kind !== FrameKind.WatermarkReply) return;
    const { mark } = answer.value;
    if (mark === undefined) return;
    // The question was sent no later than it arrived, so the age counted from then is never too small.
    home(group).addWatermark(record, sentAt - mark.ageMs, mark.position, performance.now());
  }
}

/** Runs work on this host's homes, and keeps the marks that its reads need. */
export class WatermarkRefreshingExecutor implements Executor {
  constructor(
    private readonly local: Executor,
    private readonly marks: WatermarkExchange,
  ) {}

  run(job: StatementJob): Promise<Outcome> {
    this.marks.refreshIfStale(job, performance.now());
    return this.local.run(job);
  }

  begin(job: BeginJob): Promise<Result<OpenTransaction, Outcome>> {
    if (job.readOnly) this.marks.refreshIfStale(job, performance.now());
    return this.local.begin(job);
  }
}
