/**
 * Fetches watermarks of a primary from the homes that send statements to it. Where work on the primary is forwarded
 * to homes near it, the homes of other zones see none of its answers and get no watermarks of their own, and would
 * have to send their reads to the primary.
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

/** Dependencies of the exchange. */
export interface WatermarkExchangeOptions {
  readonly board: GatewayBoard;
  readonly directory: HomeDirectory;
  readonly calls: PeerCalls;
  readonly home: (group: GroupId) => GroupHome;
}

/**
 * Age of the newest watermark at which another one is fetched, as a share of the maximum staleness of a read. Reads
 * then find a watermark that is two thirds of that staleness old, and replicas with a smaller lag hold its position.
 */
const FETCH_SHARE = 0.3;
/** Minimum interval between two requests, milliseconds: the primary may have answered nothing in the meantime. */
const MIN_FETCH_INTERVAL_MS = 100;
/** Timeout of a request, milliseconds: two round trips between regions. */
const FETCH_TIMEOUT_MS = 200;

/** Requests watermarks from other hosts, and answers their requests. */
export class WatermarkExchange implements PeerHandler {
  private readonly fetching = new Set<GroupId>();
  private readonly requestedAt = new Map<GroupId, number>();

  constructor(private readonly options: WatermarkExchangeOptions) {}

  /** Fetches a watermark if the newest one is too old at `now` for reads like `job`. */
  refreshIfStale({ route }: Job, now: number): void {
    const { directory, home } = this.options;
    const { group, consistency, maxStalenessMs } = route;
    if (consistency === Consistency.Primary || this.fetching.has(group)) return;
    if (!isNearUpstreams(directory.plan(group))) return;
    const newestAt = home(group).marks.newest?.sentAt ?? Number.NEGATIVE_INFINITY;
    const requestedAt = this.requestedAt.get(group) ?? Number.NEGATIVE_INFINITY;
    const isDue =
      now - newestAt > maxStalenessMs * FETCH_SHARE && now - requestedAt > MIN_FETCH_INTERVAL_MS;
    if (isDue) void this.fetchWatermark(group);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind !== FrameKind.WatermarkRequest) return;
    const { marks } = this.options.home(groupId(frame.group));
    const { newest } = marks;
    const newestOfEpoch = marks.currentEpoch === frame.epoch ? newest : undefined;
    const mark = newestOfEpoch && {
      position: newestOfEpoch.position,
      ageMs: performance.now() - newestOfEpoch.sentAt,
    };
    link.send({ kind: FrameKind.WatermarkReply, id: frame.id, ...(mark && { mark }) });
  }

  onLost(): void {
    // A request that is lost with its link ends without a reply; the next read sends another one.
  }

  private async fetchWatermark(group: GroupId): Promise<void> {
    const { board, directory, calls, home } = this.options;
    const record = board.record(group);
    const [nearest] = directory.homesOfPrimary(group);
    const peer = nearest && board.hosts.get(nearest);
    if (record === undefined || peer === undefined) return;
    this.fetching.add(group);
    const sentAt = performance.now();
    this.requestedAt.set(group, sentAt);
    const { epoch } = record;
    const answer = await calls.request(
      peer,
      (id) => ({ kind: FrameKind.WatermarkRequest, id, group, epoch }),
      FETCH_TIMEOUT_MS,
    );
    this.fetching.delete(group);
    // The calls record unresponsive hosts themselves; until a watermark arrives, reads go to the primary.
    if (answer.isErr() || answer.value.kind !== FrameKind.WatermarkReply) return;
    const { mark } = answer.value;
    if (mark === undefined) return;
    const { position, ageMs } = mark;
    // The age is counted from the time at which the request was sent, so it is never underestimated.
    const watermark = { sentAt: sentAt - ageMs, position, takenBy: peer.host };
    home(group).addWatermark(record, watermark, performance.now());
  }
}

/** Executor that refreshes the watermarks of a group before it runs a read on the local executor. */
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
