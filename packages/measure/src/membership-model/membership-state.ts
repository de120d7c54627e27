/**
 * State of a small model of the host list while it changes: hosts that hold lists of various ages, some of which are
 * partitioned from the store and the others, hosts that join and are retired, and one host that replaces the primary.
 * Time runs in whole ticks.
 */
import type { AuthorityRules, HostListing, StorePosition } from '@gladespool/coordination';

/** Times of the model, in ticks. */
export const MEMBERSHIP_RULES: AuthorityRules = { proofTtlMs: 1, marginMs: 0, hostListTtlMs: 3 };

/** One version of the host list; its index in the history is the revision of the store. */
export type HostListVersion = readonly number[];

/** State of one host. */
export interface MemberHost {
  /** Whether its process runs. */
  readonly running: boolean;
  /** Index of the latest version of the list that it holds. */
  readonly version: number;
  /** Time at which that was known to be the newest. */
  readonly listReadAt: number;
  /** Time at which its proof was requested; -1 without one. */
  readonly provedAt: number;
  /** Whether it holds the claim. */
  readonly knowsClaim: boolean;
}

/** The replacement of the primary by host 0. */
export interface MemberClaim {
  /** Hosts that have acknowledged it, host 0 included. */
  readonly acknowledged: readonly number[];
  /** Time from which the acknowledgements are enough; undefined before. */
  readonly quorumAt: number | undefined;
  readonly called: boolean;
}

/** A host that was retired, with the time at which host 0 learnt of it. */
export interface MemberRetirement {
  readonly host: number;
  readonly knownSince: number;
}

/** One state of the model. */
export interface MembershipState {
  readonly now: number;
  readonly versions: readonly HostListVersion[];
  readonly hosts: readonly MemberHost[];
  /** Whether the partition has begun. */
  readonly isCut: boolean;
  /** Index of the version that every listed host holds. */
  readonly settled: number;
  /** For each listed host, since when host 0 knows it to be listed. */
  readonly listings: Readonly<Record<number, HostListing>>;
  readonly retirements: readonly MemberRetirement[];
  readonly claim: MemberClaim | undefined;
}

/** Position of the store at which a version was written. */
export function positionOf(version: number): StorePosition {
  return { era: 0, revision: version };
}

/** Returns the initial state: the first `count` of `total` hosts are listed, and have fresh proofs. */
export function initialMembership(count: number, total: number): MembershipState {
  const first = Array.from({ length: count }, (_, index) => index);
  const hosts = Array.from({ length: total }, (_, index) => ({
    running: index < count,
    version: 0,
    listReadAt: 0,
    provedAt: index < count ? 0 : -1,
    knowsClaim: false,
  }));
  const listing: HostListing = { since: positionOf(0), knownSince: Number.NEGATIVE_INFINITY };
  return {
    now: 0,
    versions: [first],
    hosts,
    isCut: false,
    settled: 0,
    listings: Object.fromEntries(first.map((host) => [host, listing])),
    retirements: [],
    claim: undefined,
  };
}
