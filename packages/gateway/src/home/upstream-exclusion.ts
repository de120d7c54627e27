/**
 * Which upstreams of a group a job must not be sent to: those outside the regions that its data may be
 * in, and those of zones that are evacuated.
 */
import type { Refusal } from '@gladespool/coordination';
import {
  EvacuationStage,
  evacuationStage,
  isPermitted,
  RecordPhase,
  refuse,
  RefusalReason,
  retryAfterMsOf,
  acceptsNewWork,
} from '@gladespool/coordination';
import type { UpstreamEntry } from '../model/catalog.js';
import type { GroupHome } from './group-home.js';
import type { Job } from './job.js';

/** Why an upstream gets no work. */
export type Exclusion = RefusalReason.ZoneEvacuated | RefusalReason.NoPermittedRegion;

/** Why an upstream must not get new work of a job at `now`; undefined when it may. */
export function exclusionOf(
  home: GroupHome,
  entry: UpstreamEntry,
  job: Pick<Job, 'regions'>,
  now: number,
): Exclusion | undefined {
  const { topology } = home.context.board;
  if (!isPermitted(entry.az, job.regions, topology)) return RefusalReason.NoPermittedRegion;
  const stage = stageOf(home, entry, now);
  if (stage === EvacuationStage.None) return undefined;
  const isPrimary = home.record?.primary === entry.id;
  return acceptsNewWork(stage, isPrimary && home.context.board.hasUpstreamInUse(home.group))
    ? undefined
    : RefusalReason.ZoneEvacuated;
}

/** Whether open transactions on an upstream may go on at `now`. */
export function mayContinue(home: GroupHome, entry: UpstreamEntry, now: number): boolean {
  return stageOf(home, entry, now) !== EvacuationStage.Evacuated;
}

/** Why no upstream of the group may get a job at `now`; undefined when one may, or there is none. */
export function groupExclusion(
  home: GroupHome,
  job: Pick<Job, 'regions'>,
  now: number,
): Exclusion | undefined {
  const { board } = home.context;
  if (job.regions === undefined && board.evacuations.size === 0) return undefined;
  const reasons = board.upstreamsOf(home.group).map((entry) => exclusionOf(home, entry, job, now));
  if (reasons.includes(undefined)) return undefined;
  return reasons.find((reason) => reason === RefusalReason.ZoneEvacuated) ?? reasons[0];
}

/**
 * Why work that needs the primary is of no use to wait for at `now`: no upstream may run it, or the one that
 * serves as the primary may not. While another one is about to follow it may be worth the wait.
 */
export function primaryExclusion(
  home: GroupHome,
  job: Pick<Job, 'regions'>,
  now: number,
): Exclusion | undefined {
  const whole = groupExclusion(home, job, now);
  const { record, context } = home;
  if (whole !== undefined || record?.phase !== RecordPhase.Serving) return whole;
  const entry = context.board.upstreams.get(record.primary);
  return entry && exclusionOf(home, entry, job, now);
}

/** Refusal for an exclusion; an evacuation passes, so callers are told when to come back. */
export function refuseExcluded(home: GroupHome, reason: Exclusion): Refusal {
  const refusal = refuse(reason, home.group);
  if (reason === RefusalReason.NoPermittedRegion) return refusal;
  return { ...refusal, retryAfterMs: home.retryAfterWithJitter(retryAfterMsOf(refusal)) };
}

/** Whether a reason is an exclusion, which every host finds alike, so that no other could do better. */
export function isExclusion(reason: RefusalReason): reason is Exclusion {
  return reason === RefusalReason.ZoneEvacuated || reason === RefusalReason.NoPermittedRegion;
}

function stageOf(home: GroupHome, { az }: UpstreamEntry, now: number): EvacuationStage {
  const { board, evacuationMs } = home.context;
  return evacuationStage(board.evacuations.get(az), now, evacuationMs);
}
