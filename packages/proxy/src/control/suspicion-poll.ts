/**
 * Requests from homes in other zones whether they also suspect a primary, and replies to their requests.
 */
import type { AzId, GroupId, Member, ZoneVote } from '@gladespool/coordination';
import type { Frame } from '@gladespool/protocol';
import { FrameKind, TimeLimit } from '@gladespool/protocol';
import type { PeerHandler, PeerLink, PeerNetwork } from '@gladespool/peers';

/** Returns whether this host, as a home of the group, suspects the primary of a term. */
export type LocalSuspicion = (group: string, term: number) => boolean;

const REPLY_TIMEOUT_MS = 400;

/** Collects the votes of other zones on a suspected primary. */
export class SuspicionPoll implements PeerHandler {
  private readonly pending = new Map<number, (suspects: boolean) => void>();
  private lastId = 0;

  constructor(
    private readonly network: PeerNetwork,
    private readonly localSuspicion: LocalSuspicion,
  ) {
    network.addHandler(this);
  }

  /** Requests the vote of each home; homes that do not reply in time are omitted. */
  async collectVotes(
    group: GroupId,
    term: number,
    homes: readonly Member[],
  ): Promise<readonly ZoneVote[]> {
    const requests = homes.map((home) => this.requestVote(group, term, home));
    const votes = await Promise.all(requests);
    return votes.filter((vote) => vote !== undefined);
  }

  onFrame(link: PeerLink, frame: Frame): void {
    if (frame.kind === FrameKind.SuspicionRequest) {
      const suspects = this.localSuspicion(frame.group, frame.term);
      link.send({ kind: FrameKind.SuspicionReply, id: frame.id, suspects });
    }
    if (frame.kind === FrameKind.SuspicionReply) this.pending.get(frame.id)?.(frame.suspects);
  }

  onLost(): void {
    // Requests whose reply was lost with the link time out like any other.
  }

  private requestVote(group: GroupId, term: number, home: Member): Promise<ZoneVote | undefined> {
    this.lastId += 1;
    const id = this.lastId;
    const az: AzId = home.az;
    return new Promise((resolve) => {
      const done = (vote: ZoneVote | undefined): void => {
        limit.clear();
        this.pending.delete(id);
        resolve(vote);
      };
      const limit = new TimeLimit(REPLY_TIMEOUT_MS, () => {
        done(undefined);
      });
      this.pending.set(id, (suspects) => {
        done({ az, suspects });
      });
      const request = { kind: FrameKind.SuspicionRequest, id, group, term } as const;
      void this.network.sendTo(home, request).then((sent) => {
        if (!sent) done(undefined);
      });
    });
  }
}
