/**
 * Proofs that a host may pass on to others. A proof covers only hosts that were listed when the read or
 * the round behind it was made: whoever changes a primary asks just those that are listed.
 */
import { hostId } from '@gladespool/coordination';
import type { HostId } from '@gladespool/coordination';
import type { StoreView } from './store-view.js';

/** A proof with whom it covers. */
export interface PassableProof {
  /** Local time at which the read or the round behind it was sent. */
  readonly sentAt: number;
  /** Revision that the store's answer showed; undefined where the word of a majority is the proof. */
  readonly revision: number | undefined;
  /** Whether a process may hold this proof. */
  covers(host: string, incarnation: number): boolean;
}

/** The hosts that were listed in the store at one time. */
export interface HostList {
  /** Local time at which these surely were the listed ones. */
  readonly readAt: number;
  /** Incarnations by host. */
  readonly hosts: ReadonlyMap<HostId, number>;
}

/** A proof from an answer of the store, be it by way of other hosts. */
export class StoreProof implements PassableProof {
  constructor(
    readonly sentAt: number,
    readonly revision: number,
    private readonly view: StoreView,
  ) {}

  covers(host: string, incarnation: number): boolean {
    return this.view.wasListed(host, incarnation, this.revision);
  }
}

/** A proof from the word of more than half of the hosts of a list. */
export class MajorityProof implements PassableProof {
  readonly revision = undefined;

  constructor(
    readonly sentAt: number,
    private readonly list: HostList,
  ) {}

  covers(host: string, incarnation: number): boolean {
    return this.list.hosts.get(hostId(host)) === incarnation;
  }
}
