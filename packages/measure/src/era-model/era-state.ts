/**
 * A small model of a store that loses its last changes while a primary is being changed: host 0 changes the primary,
 * host 1 opens the new era and changes the primary once more, host 2 uses whatever primary it may.
 */
import type { AuthorityRules, PrimaryRecord } from '@gladespool/coordination';
import { groupId, hostId, RecordPhase, upstreamId } from '@gladespool/coordination';

/** What the store holds. */
export interface ModelStore {
  readonly era: number;
  readonly record: PrimaryRecord;
  /** Fence of the latest claim of the duty. */
  readonly fence: number;
  /** Whether the era is marked as one that holds all that was acted on before. */
  readonly isOpened: boolean;
}

/** What a host knows. */
export interface EraHost {
  readonly record: PrimaryRecord;
  readonly fence: number;
  readonly provedAt: number;
  /** Era of the store that it last read. */
  readonly era: number;
  readonly eraSince: number;
}

/** The change of the primary by host 0. */
export interface EraChange {
  /** Era in which the claim was confirmed; undefined while the call is under way. */
  readonly era: number | undefined;
  /** Hosts that have given the former primary up, host 0 included. */
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
  /** What the store held before its latest changes in this era, the oldest first. */
  readonly history: readonly ModelStore[];
  readonly hosts: readonly EraHost[];
  readonly change: EraChange | undefined;
  /** Fence under which host 1 has called; undefined before. */
  readonly secondFence: number | undefined;
}

/** Hosts of the model. */
export const HOSTS = 3;

/** Times of the model, in ticks: a proof lives two, a list of hosts longer than the model runs. */
export const ERA_RULES: AuthorityRules = { proofTtlMs: 2, marginMs: 0, hostListTtlMs: 100 };

/** Fence of the claim by host 0. */
export const FIRST_FENCE = 1;

/** The record before the change. */
export const FORMER: PrimaryRecord = {
  group: groupId('g'),
  epoch: 1,
  phase: RecordPhase.Serving,
  primary: upstreamId('u0'),
  holder: hostId('0'),
};

/** The state in which every host has just been proved. */
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
