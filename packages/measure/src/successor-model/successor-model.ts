/**
 * A small model of who leads a group after one loss of its primary: attempts that follow one another, and calls for
 * promotions that take effect at any time, also long after they were given up. Steps are taken by the library's own
 * decisions about records.
 */
import type { NamedSuccessor, PrimaryRecord, UpstreamId } from '@gladespool/coordination';
import {
  claimedRecord,
  groupId,
  hostId,
  retainedSuccessor,
  namedRecord,
  RecordPhase,
  servingRecord,
  upstreamId,
} from '@gladespool/coordination';
import type { Model, ModelStep } from '../model/breadth-first.js';

/** What is done as designed, or wrongly on purpose. */
export enum SuccessorVariant {
  Designed = 'designed',
  /** Each attempt chooses anew, whatever the one before has called for. */
  ChoosesAnew = 'each attempt chooses anew',
  /** The successor is called for before the record names it. */
  CallsFirst = 'called before it is named',
}

/** One state of the model. */
export interface SuccessorState {
  readonly record: PrimaryRecord;
  /** The upstream that the attempt under way has chosen; undefined between attempts. */
  readonly chosen: UpstreamId | undefined;
  /** Whether the attempt under way has called for it. */
  readonly called: boolean;
  /** Calls that have not taken effect, in no order. */
  readonly pending: readonly UpstreamId[];
  readonly leader: UpstreamId | undefined;
}

type Step = ModelStep<SuccessorState>;

/** Epochs after which no attempt begins; the loss is that of epoch 1. */
const LAST_EPOCH = 4;
/** Calls under way at most. */
const MAX_PENDING = 3;
const REPLICAS = [upstreamId('u1'), upstreamId('u2')];
const HOLDER = hostId('h');
const LOST: PrimaryRecord = {
  group: groupId('g'),
  epoch: 1,
  phase: RecordPhase.Serving,
  primary: upstreamId('u0'),
  holder: HOLDER,
};
const REACHED = { isThere: true, isEvacuated: false, isRefused: false };

/** The model of one variant. */
export function successorModel(variant: SuccessorVariant): Model<SuccessorState> {
  return {
    initial: { record: LOST, chosen: undefined, called: false, pending: [], leader: undefined },
    stepsFrom: (state) => [...attemptSteps(state, variant), ...effects(state)],
    faultOf,
    keyOf: (state) => JSON.stringify(state),
  };
}

function faultOf({ record, leader }: SuccessorState): string | undefined {
  const serves = record.phase === RecordPhase.Serving && record.epoch > LOST.epoch;
  return serves && leader !== record.primary ? 'another one leads than serves' : undefined;
}

function attemptSteps(state: SuccessorState, variant: SuccessorVariant): readonly Step[] {
  const { record, chosen, called, leader } = state;
  if (chosen === undefined) return claims(state, variant);
  const steps: Step[] = [
    { name: 'gives up', next: { ...state, chosen: undefined, called: false } },
  ];
  const isNamed = record.successor?.id === chosen;
  if (!isNamed) {
    const named = namedRecord(record, reportOf(chosen));
    steps.push({ name: `names ${chosen}`, next: { ...state, record: named } });
  }
  const mayCall = isNamed || variant === SuccessorVariant.CallsFirst;
  if (mayCall && state.pending.length < MAX_PENDING) {
    const pending = [...state.pending, chosen].sort();
    steps.push({ name: `calls for ${chosen}`, next: { ...state, pending, called: true } });
  }
  if (isNamed && called && leader === chosen) {
    const serving = servingRecord(record, { id: chosen });
    const next = { ...state, record: serving, chosen: undefined, called: false };
    steps.push({ name: `${chosen} serves`, next });
  }
  return steps;
}

/** Attempts after the loss, or in the place of a claim that has stalled. */
function claims(state: SuccessorState, variant: SuccessorVariant): readonly Step[] {
  const { record } = state;
  const isOver = record.phase === RecordPhase.Serving && record.epoch > LOST.epoch;
  if (isOver || record.epoch >= LAST_EPOCH) return [];
  const isFree = variant === SuccessorVariant.ChoosesAnew;
  const kept = isFree ? undefined : retainedSuccessor(record, REACHED);
  const claim = claimedRecord(record, HOLDER, kept);
  const choices = kept === undefined ? REPLICAS : [kept.id];
  return choices.map((chosen) => ({
    name: `claims and chooses ${chosen}`,
    next: { ...state, record: claim, chosen },
  }));
}

/** One of the calls under way takes effect. */
function effects(state: SuccessorState): readonly Step[] {
  return [...new Set(state.pending)].map((leader) => {
    const at = state.pending.indexOf(leader);
    const pending = state.pending.filter((_, index) => index !== at);
    return { name: `${leader} takes the lead`, next: { ...state, pending, leader } };
  });
}

function reportOf(id: UpstreamId): NamedSuccessor {
  return { id, isPrimary: false, term: 1, received: { term: 1, offset: 1 } };
}
