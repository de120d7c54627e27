/**
 * Excludes upstreams that a job must not be sent to: those outside the regions in which its data may be stored, those
 * that leave, once their time for new work has ended, and those in evacuated zones.
 */
import type { Refusal } from '@gladespool/coordination';
import {
  EvacuationStage,
  evacuationStage,
  isPermitted,
  receivesNewWork,
  RecordPhase,
  refuse,
  RefusalReason,
  retryAfterMsOf,
  acceptsNewWork,
} from '@gladespool/coordination';
import type { UpstreamEntry } from '../model/catalog.js';
import type { GroupHome } from './group-home.js';
import type { Job } from './job.js';

/** Reason for which an upstream is excluded. */
export type Exclusion =
  RefusalReason.ZoneEvacuated | RefusalReason.NoPermittedRegion | RefusalReason.UpstreamLeaving;

/** Exclusions that end without a change of the configuration, in the order in which they are reported. */
const TEMPORARY_EXCLUSIONS: readonly Exclusion[] = [
  RefusalReason.ZoneEvacuated,
  RefusalReason.UpstreamLeaving,
];

/** Reason for which an upstream must not receive a new job at `now`; undefined if it may. */
export function exclusionOf(
  home: GroupHome,
  entry: UpstreamEntry,
  job: Pick<Job, 'regions'>,
  now: number,
): Exclusion | undefined {
  const { topology } = home.context.board;
  if (!isPermitted(entry.az, job.regions, topology)) return RefusalReason.NoPermittedRegion;
  if (!isInUse(home, entry, now)) return RefusalReason.UpstreamLeaving;
  const stage = stageOf(home, entry, now);
  if (stage === EvacuationStage.None) return undefined;
  const isPrimary = home.record?.primary === entry.id;
  return acceptsNewWork(stage, isPrimary && home.context.board.hasUpstreamInUse(home.group))
    ? undefined
    : RefusalReason.ZoneEvacuated;
}

/** Whether open transactions on an upstream may continue at `now`. */
export function mayContinue(home: GroupHome, entry: UpstreamEntry, now: number): boolean {
  return stageOf(home, entry, now) !== EvacuationStage.Evacuated;
}

/**
 * Reason for which all upstreams of the group are excluded at `now`; undefined if one is not, or there are none.
 */
export function groupExclusion(
  home: GroupHome,
  job: Pick<Job, 'regions'>,
  now: number,
): Exclusion | undefined {
  const { board } = home.context;
  const hasNone = board.evacuations.size === 0 && board.departures.size === 0;
  if (job.regions === undefined && hasNone) return undefined;
  const reasons = board.upstreamsOf(home.group).map((entry) => exclusionOf(home, entry, job, now));
  if (reasons.includes(undefined)) return undefined;
  return TEMPORARY_EXCLUSIONS.find((reason) => reasons.includes(reason)) ?? reasons[0];
}

/**
 * Reason for which work that needs the primary is refused at `now` without waiting: all upstreams are excluded, or
 * the serving primary is. During a promotion the primary is not considered, as the next one may be permitted.
 */
export function primaryExclusion(
  home: GroupHome,
  job: Pick<Job, 'regions'>,
  now: number,
): Exclusion | undefined {
  const ofGroup = groupExclusion(home, job, now);
  const { record, context } = home;
  if (ofGroup !== undefined || record?.phase !== RecordPhase.Serving) return ofGroup;
  const entry = context.board.upstreams.get(record.primary);
  return entry && exclusionOf(home, entry, job, now);
}

/** Refusal for an exclusion; callers are told when to retry where it is temporary. */
export function refuseExcluded(home: GroupHome, reason: Exclusion): Refusal {
  const refusal = refuse(reason, home.group);
  if (!isTemporary(reason)) return refusal;
  return { ...refusal, retryAfterMs: home.retryAfterWithJitter(retryAfterMsOf(refusal)) };
}

/** Whether a reason is an exclusion; all hosts decide alike, so forwarding to another host would not help. */
export function isExclusion(reason: RefusalReason): reason is Exclusion {
  return reason === RefusalReason.NoPermittedRegion || isTemporary(reason);
}

function isTemporary(reason: RefusalReason): reason is Exclusion {
  return TEMPORARY_EXCLUSIONS.some((temporary) => temporary === reason);
}

/** Whether an upstream is listed, and receives new work if it leaves. */
function isInUse(home: GroupHome, { id }: UpstreamEntry, now: number): boolean {
  const { board } = home.context;
  return board.upstreams.has(id) && receivesNewWork(board.departures.get(id), now);
}

function stageOf(home: GroupHome, { az }: UpstreamEntry, now: number): EvacuationStage {
  const { board, evacuationMs } = home.context;
  return evacuationStage(board.evacuations.get(az), now, evacuationMs);
}
