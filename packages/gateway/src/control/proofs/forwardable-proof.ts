/**
 * Proofs that a host may pass on to others, and the list of hosts whose majority can renew them.
 */
import type { HostId, StorePosition } from '@gladespool/coordination';

/** A proof that the records of primaries held are those of the store. */
export interface ForwardableProof {
  /** Local time at which the read of the store, or the round of questions, was sent. */
  readonly sentAt: number;
  /** Position of the store up to which the gateway's own documents have to be held for it to count. */
  readonly position: StorePosition;
  /** Whether it is from an answer of the store; else from the word of more than half of the hosts. */
  readonly isFromStore: boolean;
}

/** The hosts that were listed in the store at one time. */
export interface HostList {
  /** Local time at which these surely were the listed ones. */
  readonly readAt: number;
  /** Position of the store up to which the list is complete. */
  readonly position: StorePosition;
  /** Incarnations by host. */
  readonly hosts: ReadonlyMap<HostId, number>;
  /** Hosts of which more than half are a majority; those whose entries can't be read are among them. */
  readonly listed: number;
}
