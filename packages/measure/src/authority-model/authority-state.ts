/**
 * A small model of who may use a primary while it is being changed: hosts with proofs of various
 * ages, a store that may answer late or not at all, and one host that replaces the primary. Whether a
 * message arrives, and when, is left open; time runs in whole ticks.
 */
import type { AuthorityRules, StartTime, Position, PrimaryRecord } from '@gladespool/coordination';
import { groupId, hostId, RecordPhase, upstreamId } from '@gladespool/coordination';

/** An answer under way, as it was when the other side gave it. */
export interface LateAnswer {
  readonly from: number;
  readonly record: PrimaryRecord;
}

/** A read of the store by one host. */
export interface ModelRead {
  readonly sentAt: number;
  /** What the store answered; undefined until it did. */
  readonly answer: PrimaryRecord | undefined;
}

/** A round in which a host asks the others to renew its proof. */
export interface ModelRound {
  readonly sentAt: number;
  /** Hosts whose answers have arrived, this one included. */
  readonly answered: readonly number[];
  readonly underWay: readonly LateAnswer[];
}

/** A write under way, as it was when it was sent. */
export interface ModelWrite {
  readonly record: PrimaryRecord;
  readonly floor: Position | undefined;
}

/** The upstream that the former record names. */
export interface ModelUpstream {
  readonly born: number;
  /** Birth that its entry tells. */
  readonly told: number;
  readonly offset: number;
}

/** A host of the model. */
export interface ModelHost {
  readonly record: PrimaryRecord;
  readonly provedAt: number;
  readonly read: ModelRead | undefined;
  readonly round: ModelRound | undefined;
  /** The write that has not been answered yet. */
  readonly writing: ModelWrite | undefined;
  /** Birth that the primary's entry tells, as this host has read it. */
  readonly primaryStartTime: StartTime;
  /** Furthest position that an answer of the primary has told. */
  readonly floor: Position | undefined;
  /** Whether the host's entry is still in the store. */
  readonly listed: boolean;
}

/** The change of the primary by host 0. */
export interface ModelChange {
  readonly claimedAt: number;
  /** Hosts that said that they have given the former primary up, this one included. */
  readonly acknowledged: readonly number[];
  /** When more than half had said so; undefined before. */
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
  /** Whether a write was confirmed that ran at an upstream known to have lost those before. */
  readonly lostConfirmation: boolean;
}

/** Times of the model, in ticks: a proof lives two. */
export const MODEL_RULES: AuthorityRules = { proofTtlMs: 2, marginMs: 0, hostListTtlMs: 100 };

/** Birth of the primary that the first record names. */
const FIRST_BIRTH = 1;

/** The record before the change. */
export const FORMER: PrimaryRecord = {
  group: groupId('g'),
  epoch: 1,
  phase: RecordPhase.Serving,
  primary: upstreamId('u0'),
  born: FIRST_BIRTH,
  holder: hostId('0'),
};

/** The record that host 0 claims. */
export const CLAIM: PrimaryRecord = { ...FORMER, epoch: 2, phase: RecordPhase.Claimed };

/** Where the primary's log ends at first. */
const FIRST_OFFSET = 1;

/** `count` hosts, each just proved, that know where the primary's log ends, or don't. */
export function initialAuthority(count: number, knowsPosition: boolean): AuthorityState {
  const host: ModelHost = {
    record: FORMER,
    provedAt: 0,
    read: undefined,
    round: undefined,
    writing: undefined,
    primaryStartTime: FIRST_BIRTH,
    floor: knowsPosition ? { term: FORMER.epoch, offset: FIRST_OFFSET } : undefined,
    listed: true,
  };
  return {
    now: 0,
    store: FORMER,
    hosts: Array.from({ length: count }, () => host),
    primary: { born: FIRST_BIRTH, told: FIRST_BIRTH, offset: FIRST_OFFSET },
    change: undefined,
    lostConfirmation: false,
    lateConfirmation: false,
  };
}
