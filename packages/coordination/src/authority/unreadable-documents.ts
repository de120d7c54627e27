/**
 * What a host takes for a record or a duty that it can't read: one whose number is above any that was overwritten
 * unseen. Each version of either is a change of the store and mostly raises its number by one.
 */
import type { GroupId } from '../model/ids.js';
import { hostId, upstreamId } from '../model/ids.js';
import type { StorePosition } from '../model/store-position.js';
import type { SeenPromotionLease } from './failover.js';
import type { PrimaryRecord } from './primary-record.js';
import { RecordPhase } from './primary-record.js';

/** Holder of what can't be read: no host has this name, so nobody takes itself for it. */
export const UNKNOWN_HOST = hostId('');
/** Primary of a group of which no record was ever read. */
const UNKNOWN_UPSTREAM = upstreamId('');
/**
 * More changes than a store can lose when it comes back from a copy: some seconds of its highest rate of writing,
 * a few thousand a second.
 */
export const MAX_LOST_CHANGES = 100_000;
/** Fences are raised by that much as well where it is not known which ones were used before an era. */
const RAISES_OF_ERA = 2;

/**
 * A number that no version of a record or a duty written up to `position` exceeds: one for each change that the store
 * remembers, and for those that it has lost.
 */
function numberBound({ era, revision }: StorePosition): number {
  return revision + era * RAISES_OF_ERA * MAX_LOST_CHANGES;
}

/**
 * A record that can't be read counts as claimed by an unknown host: nobody uses the primary, and hosts take the
 * claim over as any other that stalls. The record it stands in for may have named another primary than `former`.
 */
export function placeholderRecord(
  group: GroupId,
  former: PrimaryRecord | undefined,
  position: StorePosition,
): PrimaryRecord {
  return {
    group,
    epoch: Math.max(numberBound(position), (former?.epoch ?? 0) + 1),
    phase: RecordPhase.Claimed,
    primary: former?.primary ?? UNKNOWN_UPSTREAM,
    holder: UNKNOWN_HOST,
    ...(former?.successor && { successor: former.successor }),
  };
}

/** A duty that can't be read counts as just taken by an unknown host: its window is waited out. */
export function placeholderPromotionLease(
  former: SeenPromotionLease | undefined,
  position: StorePosition,
  seenAt: number,
): SeenPromotionLease {
  const fence = Math.max(numberBound(position), (former?.fence ?? 0) + 1);
  return { holder: UNKNOWN_HOST, incarnation: 0, fence, seenAt };
}
