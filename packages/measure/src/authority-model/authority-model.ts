/**
 * The steps of the authority model, taken by the library's own decisions. Only the last host writes and
 * renews its proof: hosts don't differ, and what one of them does wrong needs no second one.
 */
import type { AuthorityView, Position, PrimaryRecord } from '@gladespool/coordination';
import {
  isAnswerValid,
  hasAuthority,
  hasRegressed,
  acknowledgesClaim,
  isMajority,
  isNewerRecord,
  isRenewalValid,
  proofsExpiredAt,
} from '@gladespool/coordination';
import type { Model, ModelStep } from '../model/breadth-first.js';
import type { AuthorityState, ModelHost, ModelUpstream, ModelWrite } from './authority-state.js';
import { CLAIM, FORMER, initialAuthority, MODEL_RULES } from './authority-state.js';

/** What is done as designed, or wrongly on purpose. */
export enum Variant {
  Designed = 'designed',
  /** The proof is not looked at again when a write's answer comes. */
  NoProofAfterAnswer = 'no proof after the answer',
  /** Silent hosts are not waited for. */
  NoWait = 'claim without waiting',
  /** Silent hosts are waited for from the claim on, though hosts may renew one another's proofs. */
  WaitFromClaim = 'wait counted from the claim',
  /** A host whose entry is gone from the store counts as one that has given the primary up. */
  AbsenceIsProof = "a key's absence taken as proof",
  /** The birth that the primary's entry tells is not compared with the record's. */
  BirthIgnored = 'birth ignored',
  /** An answer counts although the primary has gone back behind what it had told. */
  PositionIgnored = 'position ignored',
  /** A host acknowledges a claim without taking it over. */
  AcknowledgeOnly = 'acknowledged without being taken over',
}

/** Bounds of one exploration. */
export interface AuthorityBounds {
  readonly hosts: number;
  /** Ticks after which time stands still. */
  readonly ticks: number;
  /** Whether hosts also renew one another's proofs; with this, the store answers nobody's reads. */
  readonly storeAway: boolean;
  /** Whether the primary may start anew under its id. */
  readonly bornAnew: boolean;
}

/** The model of one variant. */
export function authorityModel(variant: Variant, bounds: AuthorityBounds): Model<AuthorityState> {
  return {
    initial: initialAuthority(bounds.hosts, !bounds.bornAnew),
    stepsFrom: (state) => stepsOf(state, variant, bounds),
    faultOf,
    keyOf: (state) => JSON.stringify(state),
  };
}

type Step = ModelStep<AuthorityState>;

function faultOf(state: AuthorityState): string | undefined {
  if (state.lateConfirmation) return 'confirmed under the former primary after the call';
  if (state.lostConfirmation) return 'confirmed by a primary that had lost its log';
  return undefined;
}

function stepsOf(
  state: AuthorityState,
  variant: Variant,
  bounds: AuthorityBounds,
): readonly Step[] {
  const steps: Step[] = [];
  if (state.now < bounds.ticks)
    steps.push({ name: 'tick', next: { ...state, now: state.now + 1 } });
  const writer = state.hosts.length - 1;
  steps.push(...writeSteps(state, writer, variant));
  steps.push(...(bounds.storeAway ? roundSteps(state, writer) : readSteps(state, writer)));
  if (variant === Variant.AbsenceIsProof) steps.push(...vanishSteps(state, writer));
  if (bounds.bornAnew) steps.push(...birthSteps(state, writer));
  steps.push(...changeSteps(state, variant));
  return steps;
}

/** Sends a write under authority, or takes its answer. */
function writeSteps(state: AuthorityState, index: number, variant: Variant): readonly Step[] {
  const host = hostAt(state, index);
  const { record, floor, writing } = host;
  const view = viewOf(host, variant);
  if (writing === undefined) {
    if (!hasAuthority(view, state.now, MODEL_RULES)) return [];
    const sent = { record, floor };
    return [{ name: `${index} writes`, next: withHost(state, index, { writing: sent }) }];
  }
  const told = positionOf(state.primary);
  const wentBack = variant !== Variant.PositionIgnored && hasRegressed(writing.floor, told);
  const holds =
    variant === Variant.NoProofAfterAnswer ||
    isAnswerValid(writing.record, FORMER.primary, view, state.now, MODEL_RULES);
  const counts = holds && !wentBack;
  const late = counts && writing.record.epoch === FORMER.epoch && state.change?.called === true;
  const lost = counts && hadLostLog(state.primary, writing, host);
  const change = counts ? { writing: undefined, floor: told } : { writing: undefined };
  const next = {
    ...withHost(state, index, change),
    lateConfirmation: late,
    lostConfirmation: lost,
  };
  return [{ name: `${index} is answered`, next }];
}

function viewOf(
  { record, provedAt, primaryStartTime }: ModelHost,
  variant: Variant,
): AuthorityView {
  if (variant === Variant.BirthIgnored) return { record, provedAt };
  return { record, provedAt, primaryStartTime };
}

function positionOf({ offset }: ModelUpstream): Position {
  return { term: FORMER.epoch, offset };
}

/** Whether the primary has started anew and the host had read so, or had seen more of its log before. */
function hadLostLog(primary: ModelUpstream, writing: ModelWrite, host: ModelHost): boolean {
  if (primary.born === FORMER.born) return false;
  const floor = writing.floor?.offset ?? 0;
  return host.primaryStartTime === primary.born || floor > primary.offset;
}

/** Starts the primary anew, lets it write its entry, or lets a host read that. */
function birthSteps(state: AuthorityState, index: number): readonly Step[] {
  const { primary } = state;
  if (primary.born === FORMER.born) {
    const anew = { ...primary, born: primary.born + 1, offset: 0 };
    return [{ name: 'upstream born anew', next: { ...state, primary: anew } }];
  }
  if (primary.told !== primary.born) {
    const told = { ...primary, told: primary.born };
    return [{ name: 'upstream writes its entry', next: { ...state, primary: told } }];
  }
  if (hostAt(state, index).primaryStartTime === primary.told) return [];
  const read = withHost(state, index, { primaryStartTime: primary.told });
  return [{ name: `${index} reads the entry`, next: read }];
}

/** Sends a read of the store, lets the store answer, or lets the answer arrive. */
function readSteps(state: AuthorityState, index: number): readonly Step[] {
  const { read } = hostAt(state, index);
  if (read === undefined) {
    const sent = { sentAt: state.now, answer: undefined };
    return [{ name: `${index} reads`, next: withHost(state, index, { read: sent }) }];
  }
  if (read.answer === undefined) {
    const answered = { ...read, answer: state.store };
    return [{ name: `store answers ${index}`, next: withHost(state, index, { read: answered }) }];
  }
  const taken = take(hostAt(state, index), read.answer);
  const proved = { ...taken, provedAt: Math.max(taken.provedAt, read.sentAt), read: undefined };
  return [{ name: `${index} has read`, next: withHost(state, index, proved) }];
}

/** Begins a round of renewals, lets another host answer, or lets an answer arrive. */
function roundSteps(state: AuthorityState, index: number): readonly Step[] {
  const { round } = hostAt(state, index);
  if (round === undefined) {
    const begun = { sentAt: state.now, answered: [index], underWay: [] };
    return [{ name: `${index} asks`, next: withHost(state, index, { round: begun }) }];
  }
  const told = new Set([...round.answered, ...round.underWay.map(({ from }) => from)]);
  const asked = [...state.hosts.keys()].filter((other) => !told.has(other));
  const answers = asked.map((from) => {
    const answer = { from, record: hostAt(state, from).record };
    const next = { ...round, underWay: [...round.underWay, answer] };
    return { name: `${from} answers ${index}`, next: withHost(state, index, { round: next }) };
  });
  const arrivals = round.underWay.map((answer) => ({
    name: `${index} hears ${answer.from}`,
    next: withHost(state, index, heard(state, index, answer.from)),
  }));
  const over = { name: `${index} gives up`, next: withHost(state, index, { round: undefined }) };
  return [...answers, ...arrivals, over];
}

/** The host after another one's answer to its round. */
function heard(state: AuthorityState, index: number, from: number): Partial<ModelHost> {
  const host = hostAt(state, index);
  const { round } = host;
  const answer = round?.underWay.find((late) => late.from === from);
  if (round === undefined || answer === undefined) return {};
  const taken = take(host, answer.record);
  const answered = [...round.answered, from].sort();
  const renewal = { listed: state.hosts.length, answered: answered.length, listReadAt: 0 };
  if (isRenewalValid(renewal, state.now, MODEL_RULES)) {
    return { ...taken, provedAt: Math.max(host.provedAt, round.sentAt), round: undefined };
  }
  const underWay = round.underWay.filter((late) => late.from !== from);
  return { ...taken, round: { ...round, answered, underWay } };
}

function vanishSteps(state: AuthorityState, index: number): readonly Step[] {
  if (index === 0 || !hostAt(state, index).listed) return [];
  return [{ name: `entry of ${index} goes`, next: withHost(state, index, { listed: false }) }];
}

/** Claims the record, revokes the former primary, and calls for another one. */
function changeSteps(state: AuthorityState, variant: Variant): readonly Step[] {
  const { change, now } = state;
  if (change === undefined) {
    const claimed = { claimedAt: now, acknowledged: [0], majorityAt: undefined, called: false };
    const next = withHost({ ...state, store: CLAIM, change: claimed }, 0, { record: CLAIM });
    return [{ name: 'claim', next }];
  }
  if (change.called) return [];
  const steps = [...state.hosts.keys()]
    .filter((index) => !change.acknowledged.includes(index))
    .map((index) => revoke(state, index, variant));
  if (mayCall(state, variant)) {
    steps.push({ name: 'call', next: { ...state, change: { ...change, called: true } } });
  }
  return steps;
}

function revoke(state: AuthorityState, index: number, variant: Variant): Step {
  const name = `${index} gives up`;
  const { change } = state;
  const host = hostAt(state, index);
  const { record } = take(host, CLAIM);
  if (change === undefined || !acknowledgesClaim(record, CLAIM)) return { name, next: state };
  const acknowledged = [...change.acknowledged, index].sort();
  const majority = isMajority(acknowledged.length, state.hosts.length);
  const majorityAt = change.majorityAt ?? (majority ? state.now : undefined);
  const kept = variant === Variant.AcknowledgeOnly ? host.record : record;
  const next = { ...state, change: { ...change, acknowledged, majorityAt } };
  return { name, next: withHost(next, index, { record: kept }) };
}

function mayCall(state: AuthorityState, variant: Variant): boolean {
  const { change, now } = state;
  if (change === undefined) return false;
  const silent = [...state.hosts.keys()].filter((index) => !change.acknowledged.includes(index));
  const counted = silent.filter((index) => hostAt(state, index).listed);
  if (silent.length === 0) return true;
  if (variant === Variant.AbsenceIsProof && counted.length === 0) return true;
  if (variant === Variant.WaitFromClaim)
    return now >= proofsExpiredAt(change.claimedAt, MODEL_RULES);
  if (change.majorityAt === undefined) return false;
  if (variant === Variant.NoWait) return true;
  return now >= proofsExpiredAt(change.majorityAt, MODEL_RULES);
}

function take(host: ModelHost, record: PrimaryRecord): ModelHost {
  return isNewerRecord(host.record, record) ? { ...host, record } : host;
}

function hostAt(state: AuthorityState, index: number): ModelHost {
  const host = state.hosts[index];
  if (host === undefined) throw new RangeError(`no host ${index}`);
  return host;
}

function withHost(
  state: AuthorityState,
  index: number,
  change: Partial<ModelHost>,
): AuthorityState {
  const hosts = state.hosts.map((host, at) => (at === index ? { ...host, ...change } : host));
  return { ...state, hosts };
}
