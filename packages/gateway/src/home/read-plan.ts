/**
 * Selects an upstream for a read that shows every commit that the read has to see.
 */
import type { Position, PrimaryWatermark, Refusal, UpstreamId } from '@gladespool/coordination';
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

/** Lower bound of a read that any upstream may serve. */
export interface ReadBound {
  /** Log position that the upstream must hold. */
  readonly after: Position;
  /** Watermark from which it follows; a later commit of the session itself raises it. */
  readonly watermark: PrimaryWatermark;
  /** Epoch under which the watermark was taken. */
  readonly epoch: number;
}

/** The upstream that a read or transaction runs on, and the conditions under which its answer is valid. */
export interface ReadTarget {
  readonly entry: UpstreamEntry;
  /** Lower bound that the upstream must hold; undefined if only the primary may serve. */
  readonly bound: ReadBound | undefined;
  /** Whether the answer is valid only while the upstream is proven to be the primary. */
  readonly needsAuthority: boolean;
}

/** Safety margin added to the age of watermarks, milliseconds, for timer and clock errors of a slowed host. */
const WATERMARK_MARGIN_MS = 20;

/** Selects the upstream for a read at `now`; those already `tried` are selected last. */
export function planRead(
  home: GroupHome,
  job: Job,
  tried: ReadonlySet<UpstreamId>,
  now: number,
): Result<ReadTarget, Refusal> {
  const bound = boundOf(home, job);
  if (bound === undefined) return planAtPrimary(home, job, now);
  const primary = home.record?.primary;
  const authority = home.hasAuthority(now);
  const isAllowed = (entry: UpstreamEntry): boolean =>
    (entry.id !== primary || authority) && !entry.draining;
  const isUntried = (entry: UpstreamEntry): boolean => !tried.has(entry.id);
  // A draining primary still has every commit, and remains primary until it is replaced.
  const isPrimary = (entry: UpstreamEntry): boolean => entry.id === primary && authority;
  const isUsable = (entry: UpstreamEntry): boolean =>
    exclusionOf(home, entry, job, now) === undefined;
  const choose = (passes: (entry: UpstreamEntry) => boolean): UpstreamEntry | undefined =>
    home.choose((candidate) => isUsable(candidate) && passes(candidate), job, now);
  const entry =
    choose((candidate) => isAllowed(candidate) && isUntried(candidate)) ??
    choose((candidate) => isPrimary(candidate) && isUntried(candidate)) ??
    choose(isAllowed) ??
    choose((candidate) => candidate.id !== primary);
  if (entry === undefined) return err(refuseRead(home, job, now));
  return ok({ entry, bound, needsAuthority: false });
}

function refuseRead(home: GroupHome, job: Job, now: number): Refusal {
  const excluded = groupExclusion(home, job, now);
  if (excluded !== undefined) return refuseExcluded(home, excluded);
  return refuse(RefusalReason.NoCoveringUpstream, home.group);
}

/** Lower bound with which any upstream may serve the read; undefined if only the primary may. */
function boundOf(home: GroupHome, job: Job): ReadBound | undefined {
  const { consistency, maxStalenessMs } = job.route;
  if (consistency === Consistency.Primary) return undefined;
  const { marks } = home;
  const watermark = marks.oldestSince(job.beganAt - maxStalenessMs + WATERMARK_MARGIN_MS);
  if (watermark === undefined) return undefined;
  if (job.own !== undefined && job.own.epoch > marks.currentEpoch) return undefined;
  const epoch = marks.currentEpoch;
  return { after: readFloor(watermark, epoch, job.own), watermark, epoch };
}

/** Targets the primary, if this host has authority to use it; for primary reads and transactions that may write. */
export function planAtPrimary(home: GroupHome, job: Job, now: number): Result<ReadTarget, Refusal> {
  const excluded = primaryExclusion(home, job, now);
  if (excluded !== undefined) return err(refuseExcluded(home, excluded));
  const { record } = home;
  if (record === undefined || !home.hasAuthority(now)) {
    return err(home.refuseWithoutPrimary(RefusalReason.NoAuthority, now));
  }
  const entry = home.context.board.upstreams.get(record.primary);
  if (entry === undefined) return err(home.refuseWithoutPrimary(RefusalReason.NoPrimary, now));
  return ok({ entry, bound: undefined, needsAuthority: true });
}
