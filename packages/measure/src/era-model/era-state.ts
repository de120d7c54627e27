/**
 * State of a small model of a store that loses its last changes while a primary is being replaced: host 0 replaces the
 * primary, host 1 opens the new era and replaces the primary once more, host 2 uses any primary for which it has
 * authority.
 */
import type { AuthorityRules, PrimaryRecord } from '@gladespool/coordination';
import { groupId, hostId, RecordPhase, upstreamId } from '@gladespool/coordination';

/** Content of the store. */
export interface ModelStore {
  readonly era: number;
  readonly record: PrimaryRecord;
  /** Fence of the latest promotion lease. */
  readonly fence: number;
  /** Whether the era is marked as open: the store holds every change that hosts have acted on before. */
  readonly isOpened: boolean;
}

/** What a host knows; `eraSince` is when it first read the era. */
export interface EraHost {
  readonly record: PrimaryRecord;
  readonly fence: number;
  readonly provedAt: number;
  /** Era of the store at the host's last read. */
  readonly era: number;
  readonly eraSince: number;
}

/** The replacement of the primary by host 0. */
export interface EraChange {
  /** Era in which the claim was stored; undefined while the request is in flight. */
  readonly era: number | undefined;
  /** Hosts that have revoked the former primary, host 0 included. */
  readonly acknowledged: readonly number[];
  readonly majorityAt: number | undefined;
  /** Whether the successor is named in the store. */
  readonly isNamed: boolean;
  readonly isCalled: boolean;
}

/** One state of the model. */
export interface EraState {
  readonly now: number;
  readonly store: ModelStore;
  /** Earlier contents of the store in this era, oldest first. */
  readonly history: readonly ModelStore[];
  readonly hosts: readonly EraHost[];
  readonly change: EraChange | undefined;
  /** Fence of the call for a promotion by host 1; undefined before that call. */
  readonly secondFence: number | undefined;
}

/** Number of hosts. */
export const HOSTS = 3;

/** Times of the model, in ticks: a proof is valid for two, a list of hosts for longer than the model runs. */
export const ERA_RULES: AuthorityRules = { proofTtlMs: 2, marginMs: 0, hostListTtlMs: 100 };

/** Fence under which host 0 claims the record. */
export const FIRST_FENCE = 1;

/** The record before the replacement. */
export const FORMER: PrimaryRecord = {
  group: groupId('g'),
  epoch: 1,
  phase: RecordPhase.Serving,
  primary: upstreamId('u0'),
  holder: hostId('0'),
};

/** Returns the initial state, in which every host has a fresh proof. */
export function initialEra(): EraState {
  const host: EraHost = { record: FORMER, fence: 0, provedAt: 0, era: 0, eraSince: 0 };
  return {
    now: 0,
    store: { era: 0, record: FORMER, fence: 0, isOpened: true },
    history: [],
    hosts: Array.from({ length: HOSTS }, () => host),
    change: undefined,
    secondFence: undefined,
  };
}
