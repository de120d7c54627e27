/**
 * Polls some hosts of each zone whether they reach a group's primary.
 */
import type { GroupId, HostId, PrimaryRecord, ReachEvidence } from '@gladespool/coordination';
import { hostId, reachSample } from '@gladespool/coordination';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { HomeDirectory } from '../../knowledge/home-directory.js';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { PrimaryMonitor } from './primary-monitor.js';

/** Dependencies of a poll. */
export interface ReachabilityPollOptions {
  readonly board: GatewayBoard;
  readonly directory: HomeDirectory;
  readonly calls: PeerCalls;
  readonly monitor: PrimaryMonitor;
}

/** Result of a poll. */
export interface ReachabilityResult {
  readonly evidence: ReachEvidence;
  /** Hosts that reach the primary, in the order of their replies. */
  readonly reaching: readonly HostId[];
}

/** Timeout of a reachability request to another host, milliseconds. */
const REACH_TIMEOUT_MS = 400;

/** One host's reply to a reachability request. */
interface ReachabilityReply {
  readonly host: HostId;
  /** Undefined when the host did not reply, or replied without a finding. */
  readonly reaches: boolean | undefined;
}

/** Polls of one host. */
export class ReachabilityPoll {
  constructor(private readonly options: ReachabilityPollOptions) {}

  /** Polls this host and at most `maxOthers` others. */
  async run(record: PrimaryRecord, maxOthers: number | undefined): Promise<ReachabilityResult> {
    const polled = this.hostsToPoll(record.group, maxOthers).map((host) =>
      this.pollOther(host, record),
    );
    polled.push(this.pollSelf(record.group));
    const replies = await collect(polled);
    const reaching = replies.filter((reply) => reply.reaches === true);
    return { evidence: gatherEvidence(replies), reaching: reaching.map((reply) => reply.host) };
  }

  private hostsToPoll(group: GroupId, maxOthers: number | undefined): readonly HostEntry[] {
    const { board, directory } = this.options;
    return reachSample(board.host, directory.zones, directory.plan(group).homes)
      .slice(0, maxOthers)
      .map((host) => board.hosts.get(host))
      .filter((entry) => entry !== undefined);
  }

  private async pollOther(host: HostEntry, record: PrimaryRecord): Promise<ReachabilityReply> {
    const { group, epoch } = record;
    const request = (id: number) =>
      ({ kind: FrameKind.ReachabilityRequest, id, group, epoch }) as const;
    const reply = await this.options.calls.request(host, request, REACH_TIMEOUT_MS);
    const isReply = reply.isOk() && reply.value.kind === FrameKind.ReachabilityReply;
    return { host: host.host, reaches: isReply ? reply.value.reaches : undefined };
  }

  private async pollSelf(group: GroupId): Promise<ReachabilityReply> {
    const { monitor, board } = this.options;
    return { host: board.host, reaches: await monitor.reaches(group) };
  }
}

/** Collects replies until more than half of the polled hosts do not reach the primary, or all have replied. */
function collect(
  polled: readonly Promise<ReachabilityReply>[],
): Promise<readonly ReachabilityReply[]> {
  return new Promise((resolve) => {
    const replies: ReachabilityReply[] = [];
    const missing = (): number => replies.filter((reply) => reply.reaches === false).length;
    for (const pending of polled) {
      void pending.then((reply) => {
        replies.push(reply);
        const decided = missing() * 2 > polled.length;
        if (decided || replies.length === polled.length)
          resolve(padToCount(replies, polled.length));
      });
    }
  });
}

/** Replies, padded to `count` with entries of unknown reachability for those that have not arrived. */
function padToCount(
  replies: readonly ReachabilityReply[],
  count: number,
): readonly ReachabilityReply[] {
  const late = Array.from({ length: count - replies.length }, () => ({
    host: hostId(''),
    reaches: undefined,
  }));
  return [...replies, ...late];
}

function gatherEvidence(replies: readonly ReachabilityReply[]): ReachEvidence {
  return {
    reaching: replies.filter((reply) => reply.reaches === true).length,
    failing: replies.filter((reply) => reply.reaches === false).length,
    silent: replies.filter((reply) => reply.reaches === undefined).length,
  };
}
