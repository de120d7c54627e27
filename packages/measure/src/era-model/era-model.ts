/**
 * Steps of the model of a store that loses its last changes, which call the library's own decision functions.
 */
import type { PreviousEraHosts, PrimaryRecord } from '@gladespool/coordination';
import {
  claimedRecord,
  hasAuthority,
  hostId,
  acknowledgesClaim,
  isMajority,
  isNewerRecord,
  mayOpenEra,
  namedRecord,
  initialFence,
  recordRank,
  proofsExpiredAt,
  upstreamId,
} from '@gladespool/coordination';
import type { Model, ModelStep } from '../model/breadth-first.js';
import type { EraHost, EraState, ModelStore } from './era-state.js';
import { ERA_RULES, FIRST_FENCE, FORMER, HOSTS, initialEra } from './era-state.js';

/** The protocol as designed, or with one rule broken deliberately. */
export enum EraVariant {
  Designed = 'designed',
  /** A read of the store proves a record before the era is opened. */
  ProofBeforeOpening = 'proof before the era is opened',
  /** The era is opened without writing the newest known records back to the store. */
  NothingWrittenBack = 'opened with the records of the copy',
  /** The era is opened by any host that sees it, without the replies of a majority. */
  OpenedWithoutMajority = 'opened without a majority',
  /** The fence continues from the one in the copy, whichever hosts have replied. */
  FenceNotRaised = 'fence not raised',
  /** A host proceeds with a claim that the store has lost meanwhile. */
  LostClaimUsed = 'claim lost while its call is under way',
}

type Step = ModelStep<EraState>;

/** Host that replaces the primary first. */
const CHANGER = 0;
/** Host that opens eras, and calls for a promotion afterwards. */
const OPENER = 1;
/** Hosts that read the store; the changer learns its content from its own changes. */
const READERS: readonly number[] = [OPENER, 2];
/** Age beyond which no decision depends on the exact age, in ticks. */
const AGE_LIMIT = ERA_RULES.proofTtlMs + 1;
/** Maximum number of changes that the store loses at once. */
const MAX_LOST = 3;
const SUCCESSOR = {
  id: upstreamId('u1'),
  isPrimary: false,
  term: 1,
  received: { term: 1, offset: 1 },
};

/** Creates the model of one variant, in which the store may be restored from a copy up to `returns` times. */
export function eraModel(variant: EraVariant, returns: number): Model<EraState> {
  return {
    initial: initialEra(),
    stepsFrom: (state) => stepsOf(state, variant, returns),
    faultOf,
    keyOf,
  };
}

/** Caps ages at `AGE_LIMIT`, so that states that differ only in larger ages count as equal. */
function keyOf({ now, hosts, change, history, ...rest }: EraState): string {
  const ageOf = (at: number | undefined): number | undefined => at && Math.min(AGE_LIMIT, now - at);
  const aged = hosts.map((host) => ({
    ...host,
    provedAt: Math.min(AGE_LIMIT, now - host.provedAt),
    eraSince: Math.min(AGE_LIMIT, now - host.eraSince),
  }));
  const kept = change && { ...change, majorityAt: ageOf(change.majorityAt) };
  return JSON.stringify([aged, kept, history.slice(-MAX_LOST), rest]);
}

function faultOf({ hosts, change, now, secondFence }: EraState): string | undefined {
  const usesFormer = hosts.some(
    ({ record, provedAt }) =>
      record.epoch === FORMER.epoch && hasAuthority({ record, provedAt }, now, ERA_RULES),
  );
  if (change?.isCalled === true && usesFormer) return 'former primary in use after the call';
  if (change?.isCalled === true && secondFence === FIRST_FENCE) return 'fence used twice';
  return undefined;
}

function stepsOf(state: EraState, variant: EraVariant, returns: number): readonly Step[] {
  const steps: Step[] = [{ name: 'tick', next: { ...state, now: state.now + 1 } }];
  if (state.store.era < returns) steps.push(...restoreSteps(state));
  for (const index of READERS) steps.push(readStep(state, index, variant));
  steps.push(...renewalSteps(state));
  steps.push(...changeSteps(state, variant));
  steps.push(...openingSteps(state, variant));
  steps.push(...secondCallSteps(state));
  return steps;
}

/** The store is restored from a copy without its last changes, which begins a new era. */
function restoreSteps(state: EraState): readonly Step[] {
  const { store, history } = state;
  const copies = [...history, store].slice(-1 - MAX_LOST);
  return copies.map((copy, index) => {
    const restored = { ...copy, era: store.era + 1, isOpened: false };
    const name = `store is restored without ${copies.length - 1 - index} changes`;
    return { name, next: { ...state, store: restored, history: [] } };
  });
}

/** A host reads the store; the read proves its record if the era is open and the store's record is not older. */
function readStep(state: EraState, index: number, variant: EraVariant): Step {
  const { store, now } = state;
  const host = hostAt(state, index);
  const isSettled = store.isOpened && recordRank(store.record) >= recordRank(host.record);
  const proves = isSettled || variant === EraVariant.ProofBeforeOpening;
  const taken = adoptRecord(host, store.record, store.fence);
  const read = {
    ...taken,
    era: store.era,
    eraSince: store.era === host.era ? host.eraSince : now,
    provedAt: proves ? now : taken.provedAt,
  };
  return { name: `${index} reads`, next: withHost(state, index, read) };
}

/** Another host renews the proof of host 2: two of three hosts are a majority. */
function renewalSteps(state: EraState): readonly Step[] {
  return [CHANGER, OPENER].map((other) => {
    const source = hostAt(state, other);
    const renewed = adoptRecord(hostAt(state, 2), source.record, source.fence);
    const next = withHost(state, 2, { ...renewed, provedAt: state.now });
    return { name: `${other} renews the proof of 2`, next };
  });
}

/** Claims the record, has hosts revoke the former primary, names a successor and calls for its promotion. */
function changeSteps(state: EraState, variant: EraVariant): readonly Step[] {
  const { change, store } = state;
  if (change === undefined) return beginSteps(state);
  if (change.isCalled) return [];
  if (change.era === undefined) return [claimArrives(state)];
  const isPresent = store.era === change.era || variant === EraVariant.LostClaimUsed;
  const steps = [...state.hosts.keys()]
    .filter((index) => !change.acknowledged.includes(index))
    .map((index) => revoke(state, index));
  if (!isRevoked(state)) return steps;
  if (!change.isNamed && isPresent) steps.push(nameStep(state, variant));
  if (change.isNamed) {
    steps.push({ name: 'call', next: { ...state, change: { ...change, isCalled: true } } });
  }
  return steps;
}

/** Sends a claim, which the changer does only in an era that it can rely on: here, the first one. */
function beginSteps(state: EraState): readonly Step[] {
  const host = hostAt(state, CHANGER);
  if (host.era !== 0 || recordRank(host.record) !== recordRank(FORMER)) return [];
  const change = {
    era: undefined,
    acknowledged: [CHANGER],
    majorityAt: undefined,
    isNamed: false,
    isCalled: false,
  };
  return [{ name: 'claim is sent', next: { ...state, change } }];
}

/** The claim arrives, perhaps late: it is stored if the record is unchanged and no later era has been opened. */
function claimArrives(state: EraState): Step {
  const { change, store } = state;
  const holds = recordRank(store.record) === recordRank(FORMER) && isFirstEra(store);
  if (change === undefined || !holds) {
    return { name: 'claim is refused', next: { ...state, change: undefined } };
  }
  const claim = claimedRecord(FORMER, hostId('0'), undefined);
  const changed = changeStore(state, { record: claim, fence: FIRST_FENCE });
  // A write that took effect in another era than the one of its conditions counts as not done.
  if (store.era !== 0)
    return { name: 'claim is made late', next: { ...changed, change: undefined } };
  const claimed = { ...changed, change: { ...change, era: store.era } };
  const host = adoptRecord(hostAt(state, CHANGER), claim, FIRST_FENCE);
  return { name: 'claim is made', next: withHost(claimed, CHANGER, host) };
}

function isFirstEra({ era, isOpened }: ModelStore): boolean {
  return era === 0 || !isOpened;
}

function revoke(state: EraState, index: number): Step {
  const name = `${index} revokes the former primary`;
  const { change } = state;
  const claim = claimedRecord(FORMER, hostId('0'), undefined);
  const host = adoptRecord(hostAt(state, index), claim, 0);
  if (change === undefined || !acknowledgesClaim(host.record, claim)) return { name, next: state };
  const acknowledged = [...change.acknowledged, index].sort();
  const majorityAt =
    change.majorityAt ?? (isMajority(acknowledged.length, HOSTS) ? state.now : undefined);
  const next = { ...state, change: { ...change, acknowledged, majorityAt } };
  return { name, next: withHost(next, index, host) };
}

/** Whether the changer knows that no host uses the former primary: all have revoked it, or all proofs have expired. */
function isRevoked({ change, now }: EraState): boolean {
  if (change?.majorityAt === undefined) return false;
  if (change.acknowledged.length === HOSTS) return true;
  return now >= proofsExpiredAt(change.majorityAt, ERA_RULES);
}

/** Names the successor, on condition that the store still holds the claim. */
function nameStep(state: EraState, variant: EraVariant): Step {
  const { change, store } = state;
  const claim = claimedRecord(FORMER, hostId('0'), undefined);
  const named = namedRecord(claim, SUCCESSOR);
  const isClaimed = recordRank(store.record) === recordRank(claim);
  if (change === undefined) return { name: 'naming fails', next: state };
  if (variant === EraVariant.LostClaimUsed) {
    return { name: 'named', next: { ...state, change: { ...change, isNamed: true } } };
  }
  if (!isClaimed) return { name: 'naming fails', next: state };
  const changed = changeStore(state, { record: named });
  return { name: 'named', next: { ...changed, change: { ...change, isNamed: true } } };
}

/** The opener opens the era that it has read, with replies from any subset of the other hosts. */
function openingSteps(state: EraState, variant: EraVariant): readonly Step[] {
  const { store, now } = state;
  const opener = hostAt(state, OPENER);
  if (store.isOpened || opener.era !== store.era) return [];
  const subsets = [[], [CHANGER], [2], [CHANGER, 2]];
  return subsets
    .map((others) => ({ others, former: previousHosts(others.length) }))
    .filter(
      ({ former }) =>
        variant === EraVariant.OpenedWithoutMajority ||
        mayOpenEra(former, now - opener.eraSince, ERA_RULES),
    )
    .map(({ others, former }) => openStep(state, others, former, variant));
}

function previousHosts(others: number): PreviousEraHosts {
  const replies = { listed: HOSTS, answered: 1 + others };
  return { ...replies, replaced: 0, held: replies };
}

function openStep(
  state: EraState,
  others: readonly number[],
  former: PreviousEraHosts,
  variant: EraVariant,
): Step {
  const replied = others.map((index) => hostAt(state, index));
  const merged = replied.reduce(
    (host, { record, fence }) => adoptRecord(host, record, fence),
    adoptRecord(hostAt(state, OPENER), state.store.record, state.store.fence),
  );
  const raised = initialFence(merged.fence, former);
  const isKept = variant === EraVariant.NothingWrittenBack;
  const opened = {
    record: isKept ? state.store.record : merged.record,
    fence: variant === EraVariant.FenceNotRaised ? state.store.fence : raised,
    isOpened: true,
  };
  const name = `opened with ${others.join(' and ') || 'nobody'}`;
  return { name, next: withHost(changeStore(state, opened), OPENER, merged) };
}

/** The opener takes over the promotion lease once any previous one has expired, and calls for a promotion. */
function secondCallSteps(state: EraState): readonly Step[] {
  const { store, now, secondFence } = state;
  const { era, eraSince } = hostAt(state, OPENER);
  const isDue = store.era > 0 && store.isOpened && era === store.era;
  if (!isDue || secondFence !== undefined || now < eraSince + ERA_RULES.proofTtlMs) return [];
  return [{ name: 'second call', next: { ...state, secondFence: store.fence + 1 } }];
}

function changeStore(state: EraState, change: Partial<ModelStore>): EraState {
  const { store, history } = state;
  return { ...state, store: { ...store, ...change }, history: [...history, store] };
}

function adoptRecord(host: EraHost, record: PrimaryRecord, fence: number): EraHost {
  const newest = isNewerRecord(host.record, record) ? record : host.record;
  return { ...host, record: newest, fence: Math.max(host.fence, fence) };
}

function hostAt(state: EraState, index: number): EraHost {
  const host = state.hosts[index];
  if (host === undefined) throw new RangeError(`unknown host ${index}`);
  return host;
}

function withHost(state: EraState, index: number, change: Partial<EraHost>): EraState {
  const hosts = state.hosts.map((host, at) => (at === index ? { ...host, ...change } : host));
  return { ...state, hosts };
}
