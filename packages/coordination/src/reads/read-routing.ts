/**
 * Chooses the upstream that serves a read: one that contains the session's position and is as fresh
 * as the read requires. Replicas are preferred over the primary and near upstreams over far ones,
 * and load is spread to avoid herding.
 */
import type { GroupRecord, GroupSpec, UpstreamSpec } from '../model/group.js';
import { UpstreamState } from '../model/group.js';
import type { AzId, UpstreamId } from '../model/ids.js';
import type { Position } from './position.js';
import { coverage, Coverage, isDiscarded } from './position.js';
import type { RandomSource } from '../model/random.js';
import { RefusalReason } from '../model/refusal.js';
import type { UpstreamHealth } from '../model/upstream-report.js';

/** Health of an upstream together with the measurements of the home. */
export interface UpstreamView {
  readonly spec: UpstreamSpec;
  readonly health: UpstreamHealth;
  /** Number of requests that this home has in flight on it. */
  readonly inFlight: number;
  /** Apply rate in log offsets per millisecond; 0 while unknown. */
  readonly applyRate: number;
  /**
   * Upper bound of the age of its data, proved without synchronized clocks, milliseconds; Infinity
   * while unproved.
   */
  readonly ageMs: number;
}

/** Requirements of a read. */
export interface ReadRequirements {
  /** Position of the group that the session has seen. */
  readonly floor: Position;
  /** Whether the session is resumed without a token; then only the primary is certainly fresh enough. */
  readonly barrier: boolean;
  /** Maximum age of data, milliseconds; undefined if the read states none. */
  readonly maxAgeMs: number | undefined;
  /** Longest wait for a replica that is about to reach the required position, milliseconds. */
  readonly maxWaitMs: number;
}

/** Input of the choice. */
export interface ReadInput {
  readonly spec: GroupSpec;
  readonly record: GroupRecord;
  readonly az: AzId;
  readonly views: readonly UpstreamView[];
  readonly requirements: ReadRequirements;
  /** Upstreams already tried for this read. */
  readonly tried: ReadonlySet<UpstreamId>;
}

/** Outcome of the choice. */
export type ReadChoice =
  | { readonly kind: 'use'; readonly upstream: UpstreamId; readonly isPrimary: boolean }
  | { readonly kind: 'wait'; readonly forMs: number }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason };

/** Policy that routes reads. */
export interface ReadRouting {
  choose(input: ReadInput, random: RandomSource): ReadChoice;
}

/** Number of consecutive failed status queries after which an upstream is not chosen. */
export const FAILURE_THRESHOLD = 2;
/** Shortest useful wait for a replica, milliseconds. */
const MIN_WAIT_MS = 1;

/**
 * Prefers a near replica that contains the required position, then a far one, then a short wait,
 * then the primary.
 */
export class CoveringReplicaRouting implements ReadRouting {
  choose(input: ReadInput, random: RandomSource): ReadChoice {
    const { requirements, record } = input;
    if (isDiscarded(requirements.floor, record.lineage)) {
      return { kind: 'refuse', reason: RefusalReason.TokenDiscarded };
    }
    const usable = input.views.filter((view) => isUsable(view, input.tried));
    const replicas = usable.filter((view) => view.spec.id !== record.primary);
    const ready = requirements.barrier ? [] : replicas.filter((view) => serves(view, input));
    const pick = pickLeastBusy(preferNear(ready, input.az), random);
    if (pick !== undefined) return { kind: 'use', upstream: pick.spec.id, isPrimary: false };
    const waitMs = requirements.barrier ? undefined : shortestWait(replicas, input);
    if (waitMs !== undefined) return { kind: 'wait', forMs: waitMs };
    return primaryOrRefuse(usable, input);
  }
}

/** Sends every read to the primary; serves as a baseline. */
export class PrimaryRouting implements ReadRouting {
  choose(input: ReadInput): ReadChoice {
    const usable = input.views.filter((view) => isUsable(view, input.tried));
    return primaryOrRefuse(usable, input);
  }
}

function isUsable(view: UpstreamView, tried: ReadonlySet<UpstreamId>): boolean {
  if (view.spec.state === UpstreamState.Leaving) return false;
  if (view.health.failures >= FAILURE_THRESHOLD) return false;
  return !tried.has(view.spec.id);
}

function serves(view: UpstreamView, input: ReadInput): boolean {
  const applied = view.health.last?.report.applied;
  if (applied === undefined) return false;
  const { requirements, record } = input;
  if (coverage(applied, requirements.floor, record.lineage) !== Coverage.Covered) return false;
  return requirements.maxAgeMs === undefined || view.ageMs <= requirements.maxAgeMs;
}

function preferNear(views: readonly UpstreamView[], az: AzId): readonly UpstreamView[] {
  const near = views.filter((view) => view.spec.az === az);
  return near.length > 0 ? near : views;
}

/** Compares two random candidates, so that many homes do not all choose the same replica. */
function pickLeastBusy(
  views: readonly UpstreamView[],
  random: RandomSource,
): UpstreamView | undefined {
  if (views.length === 0) return undefined;
  const first = views[random.integer(0, views.length - 1)];
  const second = views[random.integer(0, views.length - 1)];
  if (first === undefined || second === undefined) return undefined;
  return first.inFlight <= second.inFlight ? first : second;
}

/** Expected wait until the first replica reaches the floor; undefined if it exceeds the bound. */
function shortestWait(replicas: readonly UpstreamView[], input: ReadInput): number | undefined {
  const { requirements, record } = input;
  let best: number | undefined;
  for (const view of replicas) {
    const applied = view.health.last?.report.applied;
    if (applied === undefined || view.applyRate <= 0) continue;
    if (requirements.maxAgeMs !== undefined && view.ageMs > requirements.maxAgeMs) continue;
    if (applied.term !== requirements.floor.term || applied.term !== record.term) continue;
    const missing = requirements.floor.offset - applied.offset;
    const waitMs = Math.max(MIN_WAIT_MS, Math.ceil(missing / view.applyRate));
    if (waitMs <= requirements.maxWaitMs && (best === undefined || waitMs < best)) best = waitMs;
  }
  return best;
}

function primaryOrRefuse(usable: readonly UpstreamView[], input: ReadInput): ReadChoice {
  const primary = usable.find((view) => view.spec.id === input.record.primary);
  if (primary !== undefined) return { kind: 'use', upstream: primary.spec.id, isPrimary: true };
  const isBounded = input.requirements.maxAgeMs !== undefined;
  const reason = isBounded ? RefusalReason.TooStale : RefusalReason.NoCoveringUpstream;
  return { kind: 'refuse', reason };
}
