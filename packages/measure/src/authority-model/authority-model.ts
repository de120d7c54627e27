/**
 * Steps of the authority model, which call the library's own decision functions. Only the last host writes and
 * renews its proof: all hosts behave alike, and one host that does something wrong is enough to find the fault.
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

/** The protocol as designed, or with one rule broken deliberately. */
export enum Variant {
  Designed = 'designed',
  /** The proof is not checked again when the reply to a write arrives. */
  NoProofAfterAnswer = 'no proof after the answer',
  /** The proofs of unresponsive hosts are not waited out. */
  NoWait = 'claim without waiting',
  /**
   * The wait for the proofs of unresponsive hosts to expire is counted from the claim, although hosts may still renew
   * one another's proofs after that.
   */
  WaitFromClaim = 'wait counted from the claim',
  /** A host whose entry is gone from the store is taken to have revoked its use of the primary. */
  AbsenceIsProof = "a key's absence taken as proof",
  /** The start time in the primary's entry is not compared with the one in the record. */
  StartTimeIgnored = 'birth ignored',
  /** A reply counts even if the primary has regressed behind a position that it had reported. */
  PositionIgnored = 'position ignored',
  /** A host acknowledges a claim without adopting its record. */
  AcknowledgeOnly = 'acknowledged without being taken over',
}

/** Bounds of one exploration. */
export interface AuthorityBounds {
  readonly hosts: number;
  /** Time at which the clock stops, in ticks. */
  readonly ticks: number;
  /** Whether the store answers no reads, so that hosts renew one another's proofs instead. */
  readonly storeUnavailable: boolean;
  /** Whether the primary may restart with an empty log under the same id. */
  readonly primaryRestarts: boolean;
}

/** Creates the model of one variant. */
export function authorityModel(variant: Variant, bounds: AuthorityBounds): Model<AuthorityState> {
  return {
    initial: initialAuthority(bounds.hosts, !bounds.primaryRestarts),
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
  steps.push(...(bounds.storeUnavailable ? roundSteps(state, writer) : readSteps(state, writer)));
  if (variant === Variant.AbsenceIsProof) steps.push(...entryLossSteps(state, writer));
  if (bounds.primaryRestarts) steps.push(...restartSteps(state, writer));
  steps.push(...changeSteps(state, variant));
  return steps;
}

/** Sends a write if the host has authority, or handles the reply to the one in flight. */
function writeSteps(state: AuthorityState, index: number, variant: Variant): readonly Step[] {
  const host = hostAt(state, index);
  const { record, floor, writing } = host;
  const view = viewOf(host, variant);
  if (writing === undefined) {
    if (!hasAuthority(view, state.now, MODEL_RULES)) return [];
    const sent = { record, floor };
    return [{ name: `${index} writes`, next: withHost(state, index, { writing: sent }) }];
  }
  const reported = positionOf(state.primary);
  const regressed = variant !== Variant.PositionIgnored && hasRegressed(writing.floor, reported);
  const holds =
    variant === Variant.NoProofAfterAnswer ||
    isAnswerValid(writing.record, FORMER.primary, view, state.now, MODEL_RULES);
  const counts = holds && !regressed;
  const late = counts && writing.record.epoch === FORMER.epoch && state.change?.called === true;
  const lost = counts && hadLostLog(state.primary, writing, host);
  const change = counts ? { writing: undefined, floor: reported } : { writing: undefined };
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
  if (variant === Variant.StartTimeIgnored) return { record, provedAt };
  return { record, provedAt, primaryStartTime };
}

function positionOf({ offset }: ModelUpstream): Position {
  return { term: FORMER.epoch, offset };
}

/** Whether the primary has restarted, and the host has read the new start time or had seen a later position. */
function hadLostLog(primary: ModelUpstream, writing: ModelWrite, host: ModelHost): boolean {
  if (primary.born === FORMER.born) return false;
  const floor = writing.floor?.offset ?? 0;
  return host.primaryStartTime === primary.born || floor > primary.offset;
}

/** Restarts the primary, lets it write its entry with the new start time, or lets a host read that entry. */
function restartSteps(state: AuthorityState, index: number): readonly Step[] {
  const { primary } = state;
  if (primary.born === FORMER.born) {
    const restarted = { ...primary, born: primary.born + 1, offset: 0 };
    return [{ name: 'upstream restarts', next: { ...state, primary: restarted } }];
  }
  if (primary.told !== primary.born) {
    const told = { ...primary, told: primary.born };
    return [{ name: 'upstream writes its entry', next: { ...state, primary: told } }];
  }
  if (hostAt(state, index).primaryStartTime === primary.told) return [];
  const read = withHost(state, index, { primaryStartTime: primary.told });
  return [{ name: `${index} reads the entry`, next: read }];
}

/** Sends a read to the store, lets the store answer it, or lets the reply arrive. */
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
  const taken = adoptRecord(hostAt(state, index), read.answer);
  const proved = { ...taken, provedAt: Math.max(taken.provedAt, read.sentAt), read: undefined };
  return [{ name: `${index} has read`, next: withHost(state, index, proved) }];
}

/** Begins a renewal round, lets another host reply to it, lets a reply arrive, or abandons the round. */
function roundSteps(state: AuthorityState, index: number): readonly Step[] {
  const { round } = hostAt(state, index);
  if (round === undefined) {
    const begun = { sentAt: state.now, answered: [index], inFlight: [] };
    return [{ name: `${index} requests renewal`, next: withHost(state, index, { round: begun }) }];
  }
  const replied = new Set([...round.answered, ...round.inFlight.map(({ from }) => from)]);
  const asked = [...state.hosts.keys()].filter((other) => !replied.has(other));
  const answers = asked.map((from) => {
    const answer = { from, record: hostAt(state, from).record };
    const next = { ...round, inFlight: [...round.inFlight, answer] };
    return { name: `${from} answers ${index}`, next: withHost(state, index, { round: next }) };
  });
  const arrivals = round.inFlight.map((answer) => ({
    name: `${index} receives the reply of ${answer.from}`,
    next: withHost(state, index, withReply(state, index, answer.from)),
  }));
  const over = {
    name: `${index} abandons the round`,
    next: withHost(state, index, { round: undefined }),
  };
  return [...answers, ...arrivals, over];
}

/** Changes to a host when a reply to its renewal round arrives. */
function withReply(state: AuthorityState, index: number, from: number): Partial<ModelHost> {
  const host = hostAt(state, index);
  const { round } = host;
  const answer = round?.inFlight.find((late) => late.from === from);
  if (round === undefined || answer === undefined) return {};
  const taken = adoptRecord(host, answer.record);
  const answered = [...round.answered, from].sort();
  const renewal = { listed: state.hosts.length, answered: answered.length, listReadAt: 0 };
  if (isRenewalValid(renewal, state.now, MODEL_RULES)) {
    return { ...taken, provedAt: Math.max(host.provedAt, round.sentAt), round: undefined };
  }
  const inFlight = round.inFlight.filter((late) => late.from !== from);
  return { ...taken, round: { ...round, answered, inFlight } };
}

function entryLossSteps(state: AuthorityState, index: number): readonly Step[] {
  if (index === 0 || !hostAt(state, index).listed) return [];
  return [
    { name: `entry of ${index} disappears`, next: withHost(state, index, { listed: false }) },
  ];
}

/** Claims the record, has hosts revoke the former primary, and calls for the promotion of another one. */
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
  const name = `${index} revokes the former primary`;
  const { change } = state;
  const host = hostAt(state, index);
  const { record } = adoptRecord(host, CLAIM);
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
  const unacknowledged = [...state.hosts.keys()].filter(
    (index) => !change.acknowledged.includes(index),
  );
  const listed = unacknowledged.filter((index) => hostAt(state, index).listed);
  if (unacknowledged.length === 0) return true;
  if (variant === Variant.AbsenceIsProof && listed.length === 0) return true;
  if (variant === Variant.WaitFromClaim)
    return now >= proofsExpiredAt(change.claimedAt, MODEL_RULES);
  if (change.majorityAt === undefined) return false;
  if (variant === Variant.NoWait) return true;
  return now >= proofsExpiredAt(change.majorityAt, MODEL_RULES);
}

function adoptRecord(host: ModelHost, record: PrimaryRecord): ModelHost {
  return isNewerRecord(host.record, record) ? { ...host, record } : host;
}

function hostAt(state: AuthorityState, index: number): ModelHost {
  const host = state.hosts[index];
  if (host === undefined) throw new RangeError(`unknown host ${index}`);
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
