/**
 * Asks some hosts of each zone whether they reach a group's primary.
 */
import type { GroupId, HostId, PrimaryRecord, ReachEvidence } from '@gladespool/coordination';
import { hostId, reachSample } from '@gladespool/coordination';
import { FrameKind } from '@gladespool/protocol';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { HomeDirectory } from '../../knowledge/home-directory.js';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { PrimaryMonitor } from './primary-monitor.js';

/** What a poll works with. */
export interface ReachabilityPollOptions {
  readonly board: GatewayBoard;
  readonly directory: HomeDirectory;
  readonly calls: PeerCalls;
  readonly monitor: PrimaryMonitor;
}

/** What a poll found. */
export interface ReachabilityResult {
  readonly evidence: ReachEvidence;
  /** Hosts that reach the primary, in the order of their answers. */
  readonly reaching: readonly HostId[];
}

/** Longest time for other hosts to say whether they reach a primary, milliseconds. */
const REACH_TIMEOUT_MS = 400;

/** One host's answer to the question whether it reaches a primary. */
interface ReachAnswer {
  readonly host: HostId;
  /** Undefined when the host did not answer. */
  readonly reaches: boolean | undefined;
}

/** Polls of one host. */
export class ReachabilityPoll {
  constructor(private readonly options: ReachabilityPollOptions) {}

  /** Asks this host and others, `maxOthers` of them at most. */
  async run(record: PrimaryRecord, maxOthers: number | undefined): Promise<ReachabilityResult> {
    const asked = this.hostsToAsk(record.group, maxOthers).map((host) =>
      this.askOther(host, record),
    );
    asked.push(this.askSelf(record.group));
    const answers = await collect(asked);
    const reaching = answers.filter((answer) => answer.reaches === true);
    return { evidence: gatherEvidence(answers), reaching: reaching.map((answer) => answer.host) };
  }

  private hostsToAsk(group: GroupId, maxOthers: number | undefined): readonly HostEntry[] {
    const { board, directory } = this.options;
    return reachSample(board.host, directory.zones, directory.plan(group).homes)
      .slice(0, maxOthers)
      .map((host) => board.hosts.get(host))
      .filter((entry) => entry !== undefined);
  }

  private async askOther(host: HostEntry, record: PrimaryRecord): Promise<ReachAnswer> {
    const { group, epoch } = record;
    const ask = (id: number) =>
      ({ kind: FrameKind.ReachabilityRequest, id, group, epoch }) as const;
    const answer = await this.options.calls.request(host, ask, REACH_TIMEOUT_MS);
    const told = answer.isOk() && answer.value.kind === FrameKind.ReachabilityReply;
    return { host: host.host, reaches: told ? answer.value.reaches : undefined };
  }

  private async askSelf(group: GroupId): Promise<ReachAnswer> {
    const { monitor, board } = this.options;
    return { host: board.host, reaches: await monitor.reaches(group) };
  }
}

/** Collects answers until more than half of those asked miss the primary, or all have answered. */
function collect(asked: readonly Promise<ReachAnswer>[]): Promise<readonly ReachAnswer[]> {
  return new Promise((resolve) => {
    const answers: ReachAnswer[] = [];
    const missing = (): number => answers.filter((answer) => answer.reaches === false).length;
    for (const pending of asked) {
      void pending.then((answer) => {
        answers.push(answer);
        const decided = missing() * 2 > asked.length;
        if (decided || answers.length === asked.length) resolve(padded(answers, asked.length));
      });
    }
  });
}

/** Answers with those that did not come in time counted as silence. */
function padded(answers: readonly ReachAnswer[], count: number): readonly ReachAnswer[] {
  const late = Array.from({ length: count - answers.length }, () => ({
    host: hostId(''),
    reaches: undefined,
  }));
  return [...answers, ...late];
}

function gatherEvidence(answers: readonly ReachAnswer[]): ReachEvidence {
  return {
    reaching: answers.filter((answer) => answer.reaches === true).length,
    failing: answers.filter((answer) => answer.reaches === false).length,
    silent: answers.filter((answer) => answer.reaches === undefined).length,
  };
}
