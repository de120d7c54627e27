/**
 * A small model of which upstream becomes primary after a group has lost its primary once: successive promotion
 * attempts, and calls for promotions that take effect at any time, even long after the attempt was abandoned. The steps
 * call the library's own functions on records.
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

/** The protocol as designed, or with one rule broken deliberately. */
export enum SuccessorVariant {
  Designed = 'designed',
  /** Each attempt chooses a successor independently of the one that the previous attempt called for. */
  IndependentChoices = 'each attempt chooses anew',
  /** The promotion of the successor is called for before the record names it. */
  CalledBeforeNamed = 'called before it is named',
}

/** One state of the model. */
export interface SuccessorState {
  readonly record: PrimaryRecord;
  /** The upstream that the current attempt has chosen; undefined between attempts. */
  readonly chosen: UpstreamId | undefined;
  /** Whether the current attempt has called for its promotion. */
  readonly called: boolean;
  /** Upstreams of the calls that have not taken effect yet; these may do so in any order. */
  readonly pending: readonly UpstreamId[];
  readonly leader: UpstreamId | undefined;
}

type Step = ModelStep<SuccessorState>;

/** Epoch from which on no further attempt begins; the lost primary is that of epoch 1. */
const LAST_EPOCH = 4;
/** Maximum number of pending calls. */
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

/** Creates the model of one variant. */
export function successorModel(variant: SuccessorVariant): Model<SuccessorState> {
  return {
    initial: { record: LOST, chosen: undefined, called: false, pending: [], leader: undefined },
    stepsFrom: (state) => [...attemptSteps(state, variant), ...callEffects(state)],
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
    { name: 'abandons the attempt', next: { ...state, chosen: undefined, called: false } },
  ];
  const isNamed = record.successor?.id === chosen;
  if (!isNamed) {
    const named = namedRecord(record, reportOf(chosen));
    steps.push({ name: `names ${chosen}`, next: { ...state, record: named } });
  }
  const mayCall = isNamed || variant === SuccessorVariant.CalledBeforeNamed;
  if (mayCall && state.pending.length < MAX_PENDING) {
    const pending = [...state.pending, chosen].sort();
    steps.push({ name: `calls for ${chosen}`, next: { ...state, pending, called: true } });
  }
  if (isNamed && called && leader === chosen) {
    const serving = servingRecord(record, { id: chosen }, undefined);
    const next = { ...state, record: serving, chosen: undefined, called: false };
    steps.push({ name: `${chosen} serves`, next });
  }
  return steps;
}

/** Starts an attempt after the loss, or one that replaces a stalled claim. */
function claims(state: SuccessorState, variant: SuccessorVariant): readonly Step[] {
  const { record } = state;
  const isOver = record.phase === RecordPhase.Serving && record.epoch > LOST.epoch;
  if (isOver || record.epoch >= LAST_EPOCH) return [];
  const isFree = variant === SuccessorVariant.IndependentChoices;
  const kept = isFree ? undefined : retainedSuccessor(record, REACHED);
  const claim = claimedRecord(record, HOLDER, kept);
  const choices = kept === undefined ? REPLICAS : [kept.id];
  return choices.map((chosen) => ({
    name: `claims and chooses ${chosen}`,
    next: { ...state, record: claim, chosen },
  }));
}

/** One of the pending calls takes effect. */
function callEffects(state: SuccessorState): readonly Step[] {
  return [...new Set(state.pending)].map((leader) => {
    const at = state.pending.indexOf(leader);
    const pending = state.pending.filter((_, index) => index !== at);
    return { name: `${leader} becomes primary`, next: { ...state, pending, leader } };
  });
}

function reportOf(id: UpstreamId): NamedSuccessor {
  return { id, isPrimary: false, term: 1, received: { term: 1, offset: 1 } };
}
