/**
 * Placeholders for a primary record or a promotion lease that a host can't read. Their number is
 * higher than that of any version that may have been overwritten unread: each version of either
 * document is one change of the store and usually increases its number by one.
 */
import type { GroupId } from '../model/ids.js';
import { hostId, upstreamId } from '../model/ids.js';
import type { StorePosition } from '../model/store-position.js';
import type { SeenPromotionLease } from './failover.js';
import type { PrimaryRecord } from './primary-record.js';
import { RecordPhase } from './primary-record.js';

/** Holder of an unreadable document. No host has this name, so none takes itself for the holder. */
export const UNKNOWN_HOST = hostId('');
/** Primary of a group whose record was never read. */
const UNKNOWN_UPSTREAM = upstreamId('');
/**
 * Upper bound of the changes that a store can lose when it is restored from a copy: some seconds at
 * its highest write rate of a few thousand changes per second.
 */
export const MAX_LOST_CHANGES = 100_000;
/**
 * Multiple of `MAX_LOST_CHANGES` per era: an era can lose that many changes, and its opening raises
 * fences by as many if it is unknown which ones were used before.
 */
const INCREASES_PER_ERA = 2;

/**
 * Upper bound of the number of any record or promotion lease written up to `position`: one for each
 * change that the store contains, plus those that it has lost.
 */
function maxNumberAt({ era, revision }: StorePosition): number {
  return revision + era * INCREASES_PER_ERA * MAX_LOST_CHANGES;
}

/**
 * An unreadable record counts as claimed by an unknown host: no host uses the primary, and hosts
 * take over the claim like any other stalled one. The record that it replaces may have named
 * another primary than `former`.
 */
export function placeholderRecord(
  group: GroupId,
  former: PrimaryRecord | undefined,
  position: StorePosition,
): PrimaryRecord {
  return {
    group,
    epoch: Math.max(maxNumberAt(position), (former?.epoch ?? 0) + 1),
    phase: RecordPhase.Claimed,
    primary: former?.primary ?? UNKNOWN_UPSTREAM,
    holder: UNKNOWN_HOST,
    ...(former?.successor && { successor: former.successor }),
  };
}

/**
 * An unreadable promotion lease counts as just acquired by an unknown host, so that hosts wait
 * until its window has ended.
 */
export function placeholderPromotionLease(
  former: SeenPromotionLease | undefined,
  position: StorePosition,
  seenAt: number,
): SeenPromotionLease {
  const fence = Math.max(maxNumberAt(position), (former?.fence ?? 0) + 1);
  return { holder: UNKNOWN_HOST, incarnation: 0, fence, seenAt };
}
