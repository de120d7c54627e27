/**
 * Where a read may run, so that it shows every commit that it has to.
 */
import type { Position, Refusal, UpstreamId } from '@gladespool/coordination';
import { Consistency, readFloor, RefusalReason, refuse } from '@gladespool/coordination';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { UpstreamEntry } from '../model/catalog.js';
import type { GroupHome } from './group-home.js';
import type { Job } from './job.js';
import {
  exclusionOf,
  groupExclusion,
  primaryExclusion,
  refuseExcluded,
} from './upstream-exclusion.js';

/** One place to run a read. */
export interface ReadTarget {
  readonly entry: UpstreamEntry;
  /** Position that the upstream's log must hold. */
  readonly after: Position | undefined;
  /** Whether the answer counts only while the upstream is proved to be the primary. */
  readonly needsAuthority: boolean;
}

/** Added to the age of marks, milliseconds: timers and steady clocks of a slowed host. */
const MARK_MARGIN_MS = 20;

/** Chooses where to run a read at `now`; `tried` upstreams come last. */
export function planRead(
  home: GroupHome,
  job: Job,
  tried: ReadonlySet<UpstreamId>,
  now: number,
): Result<ReadTarget, Refusal> {
  const after = floorOf(home, job);
  if (after === undefined) return planAtPrimary(home, job, now);
  const primary = home.record?.primary;
  const authority = home.hasAuthority(now);
  const isAllowed = (entry: UpstreamEntry): boolean =>
    (entry.id !== primary || authority) && !entry.draining;
  const isFresh = (entry: UpstreamEntry): boolean => !tried.has(entry.id);
  // A primary that is leaving still has every commit, and leads until it is replaced.
  const isPrimary = (entry: UpstreamEntry): boolean => entry.id === primary && authority;
  const isUsable = (entry: UpstreamEntry): boolean =>
    exclusionOf(home, entry, job, now) === undefined;
  const choose = (passes: (entry: UpstreamEntry) => boolean): UpstreamEntry | undefined =>
    home.choose((candidate) => isUsable(candidate) && passes(candidate), job, now);
  const entry =
    choose((candidate) => isAllowed(candidate) && isFresh(candidate)) ??
    choose((candidate) => isPrimary(candidate) && isFresh(candidate)) ??
    choose(isAllowed) ??
    choose((candidate) => candidate.id !== primary);
  if (entry === undefined) return err(refuseRead(home, job, now));
  return ok({ entry, after, needsAuthority: false });
}

function refuseRead(home: GroupHome, job: Job, now: number): Refusal {
  const excluded = groupExclusion(home, job, now);
  if (excluded !== undefined) return refuseExcluded(home, excluded);
  return refuse(RefusalReason.NoCoveringUpstream, home.group);
}

/** Position behind which the read may run anywhere; undefined when only the primary will do. */
function floorOf(home: GroupHome, job: Job): Position | undefined {
  const { consistency, maxStalenessMs } = job.route;
  if (consistency === Consistency.Primary) return undefined;
  const { marks } = home;
  const mark = marks.oldestSince(job.beganAt - maxStalenessMs + MARK_MARGIN_MS);
  if (mark === undefined) return undefined;
  if (job.own !== undefined && job.own.epoch > marks.currentEpoch) return undefined;
  return readFloor(mark, marks.currentEpoch, job.own);
}

/** The primary, if it is proved; for primary reads and whatever may write. */
export function planAtPrimary(home: GroupHome, job: Job, now: number): Result<ReadTarget, Refusal> {
  const excluded = primaryExclusion(home, job, now);
  if (excluded !== undefined) return err(refuseExcluded(home, excluded));
  const { record } = home;
  if (record === undefined || !home.hasAuthority(now)) {
    return err(home.refuseWithoutPrimary(RefusalReason.NoAuthority, now));
  }
  const entry = home.context.board.upstreams.get(record.primary);
  if (entry === undefined) return err(home.refuseWithoutPrimary(RefusalReason.NoPrimary, now));
  return ok({ entry, after: undefined, needsAuthority: true });
}
