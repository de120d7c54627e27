/**
 * Collects the acknowledgements of one claim, and notes when they became enough.
 */
import type { ClaimAcknowledgements, HostId } from '@gladespool/coordination';
import { isClaimQuorum } from '@gladespool/coordination';
import type { HostListTracker } from '../hosts/host-list-tracker.js';

/** Acknowledgements of one claim by the hosts that were listed after it. */
export class AcknowledgementTracker {
  /** Local time at which the acknowledgements became enough; undefined before. */
  quorumAt: number | undefined;
  private readonly acknowledged = new Set<HostId>();

  constructor(
    private readonly lists: Pick<HostListTracker, 'countAcknowledgements'>,
    private readonly listed: readonly HostId[],
  ) {}

  /** Notes the acknowledgement of a listed host at `now`. */
  add(host: HostId, now: number): void {
    this.acknowledged.add(host);
    this.update(now);
  }

  /** Counts the acknowledgements at `now`, since hosts may have become established without a further one. */
  update(now: number): ClaimAcknowledgements {
    const acks = this.lists.countAcknowledgements(this.acknowledged, this.listed, now);
    if (this.quorumAt === undefined && isClaimQuorum(acks)) this.quorumAt = now;
    return acks;
  }
}
