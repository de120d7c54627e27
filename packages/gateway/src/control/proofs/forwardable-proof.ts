/**
 * Proofs that a host may forward to others, and the list of hosts whose majority can renew them.
 */
import type { HostId, StorePosition } from '@gladespool/coordination';

/** A proof that the records of primaries that a host holds are those of the store. */
export interface ForwardableProof {
  /** Local time at which the read of the store, or the round of requests, was sent. */
  readonly sentAt: number;
  /** Position of the store up to which a host must hold the gateway's own documents for the proof to be valid. */
  readonly position: StorePosition;
  /** Whether it stems from a reply of the store; otherwise from replies of more than half of the hosts. */
  readonly isFromStore: boolean;
}

/** The hosts that were listed in the store at a point in time. */
export interface HostList {
  /** Latest local time at which these are known to have been the listed hosts. */
  readonly readAt: number;
  /** Position of the store up to which the list is complete. */
  readonly position: StorePosition;
  /** Incarnations by host. */
  readonly hosts: ReadonlyMap<HostId, number>;
  /** Number of hosts of which more than half are a majority, including those whose entries cannot be read. */
  readonly listed: number;
}
