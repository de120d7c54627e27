/**
 * State of a small model of which hosts may use a primary while it is being replaced: hosts with proofs of various
 * ages, a store that may reply late or not at all, and one host that replaces the primary. Messages may arrive at
 * any time or never; time runs in whole ticks.
 */
import type { AuthorityRules, StartTime, Position, PrimaryRecord } from '@gladespool/coordination';
import { groupId, hostId, RecordPhase, upstreamId } from '@gladespool/coordination';

/** A reply in flight, with the record that the other host had when it sent the reply. */
export interface PendingReply {
  readonly from: number;
  readonly record: PrimaryRecord;
}

/** A read of the store by one host. */
export interface ModelRead {
  readonly sentAt: number;
  /** Record that the store returned; undefined until it has replied. */
  readonly answer: PrimaryRecord | undefined;
}

/** A round in which a host requests that the others renew its proof. */
export interface ModelRound {
  readonly sentAt: number;
  /** Hosts whose replies have arrived, this one included. */
  readonly answered: readonly number[];
  readonly inFlight: readonly PendingReply[];
}

/** A write in flight, with the record and the furthest known position of the host when it was sent. */
export interface ModelWrite {
  readonly record: PrimaryRecord;
  readonly floor: Position | undefined;
}

/** The upstream that the former record names as primary. */
export interface ModelUpstream {
  readonly born: number;
  /** Start time in its entry in the store. */
  readonly told: number;
  readonly offset: number;
}

/** State of one host. */
export interface ModelHost {
  readonly record: PrimaryRecord;
  readonly provedAt: number;
  readonly read: ModelRead | undefined;
  readonly round: ModelRound | undefined;
  /** The write that awaits its reply. */
  readonly writing: ModelWrite | undefined;
  /** Start time in the primary's entry, as this host last read it. */
  readonly primaryStartTime: StartTime;
  /** Furthest position that a reply of the primary has reported. */
  readonly floor: Position | undefined;
  /** Whether the host's entry is still in the store. */
  readonly listed: boolean;
}

/** The replacement of the primary by host 0. */
export interface ModelChange {
  readonly claimedAt: number;
  /** Hosts that have acknowledged that they no longer use the former primary, host 0 included. */
  readonly acknowledged: readonly number[];
  /** Time at which a majority had acknowledged; undefined before. */
  readonly majorityAt: number | undefined;
  readonly called: boolean;
}

/** One state of the model. */
export interface AuthorityState {
  readonly now: number;
  readonly store: PrimaryRecord;
  readonly hosts: readonly ModelHost[];
  readonly primary: ModelUpstream;
  readonly change: ModelChange | undefined;
  /** Whether a write was confirmed under the former primary after the call for another one. */
  readonly lateConfirmation: boolean;
  /** Whether a write was confirmed that ran on an upstream known to have lost earlier writes. */
  readonly lostConfirmation: boolean;
}

/** Times of the model, in ticks: a proof is valid for two. */
export const MODEL_RULES: AuthorityRules = { proofTtlMs: 2, marginMs: 0, hostListTtlMs: 100 };

/** Start time of the primary that the first record names. */
const FIRST_START_TIME = 1;

/** The record before the replacement. */
export const FORMER: PrimaryRecord = {
  group: groupId('g'),
  epoch: 1,
  phase: RecordPhase.Serving,
  primary: upstreamId('u0'),
  born: FIRST_START_TIME,
  holder: hostId('0'),
};

/** The record that host 0 claims. */
export const CLAIM: PrimaryRecord = { ...FORMER, epoch: 2, phase: RecordPhase.Claimed };

/** Initial end of the primary's log. */
const FIRST_OFFSET = 1;

/** Returns the initial state: `count` hosts with fresh proofs, which know the end of the primary's log or do not. */
export function initialAuthority(count: number, knowsPosition: boolean): AuthorityState {
  const host: ModelHost = {
    record: FORMER,
    provedAt: 0,
    read: undefined,
    round: undefined,
    writing: undefined,
    primaryStartTime: FIRST_START_TIME,
    floor: knowsPosition ? { term: FORMER.epoch, offset: FIRST_OFFSET } : undefined,
    listed: true,
  };
  return {
    now: 0,
    store: FORMER,
    hosts: Array.from({ length: count }, () => host),
    primary: { born: FIRST_START_TIME, told: FIRST_START_TIME, offset: FIRST_OFFSET },
    change: undefined,
    lostConfirmation: false,
    lateConfirmation: false,
  };
}
