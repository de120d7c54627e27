/**
 * When a home starts the planned handover of a primary that leaves. The first home in rank starts at
 * once; the others take over if it has not finished in time, for example because it cannot reach the
 * store.
 */
import { GroupPhase, UpstreamState } from '../model/group.js';
import type { GroupRecord, GroupSpec } from '../model/group.js';

/** Time limits of planned handovers. */
export interface HandoverRules {
  /** Time after which another home counts as stalled, milliseconds. */
  readonly stalledAfterMs: number;
  /** Maximum wait for open transactions and replication, milliseconds. */
  readonly handoverWaitMs: number;
  /** Delay per rank, milliseconds. */
  readonly rankDelayMs: number;
}

/** What a home knows about a primary that leaves. */
export interface HandoverView {
  /** Rank of this host among the homes of the group. */
  readonly rank: number;
  readonly phase: GroupPhase;
  /** Local time since which this host knows that the primary leaves, milliseconds. */
  readonly leavingSince: number;
  /** Local time since which this host knows the record, milliseconds. */
  readonly recordSince: number;
}

/** Whether the primary of the record leaves or is no longer a member of the group. */
export function isPrimaryLeaving(spec: GroupSpec, record: GroupRecord): boolean {
  const primary = spec.upstreams.find((upstream) => upstream.id === record.primary);
  return primary === undefined || primary.state === UpstreamState.Leaving;
}

/** Whether this home is to start the handover at `now`, local milliseconds. */
export function isHandoverDue(view: HandoverView, rules: HandoverRules, now: number): boolean {
  if (view.rank === 0) return true;
  const isBegun = view.phase === GroupPhase.Draining;
  const allowedMs = rules.stalledAfterMs + (isBegun ? rules.handoverWaitMs : 0);
  const since = Math.max(view.leavingSince, view.recordSince);
  return now - since > allowedMs + view.rank * rules.rankDelayMs;
}
