/**
 * What a host takes for a record or a duty that it can't read. Each version of either raises its number by one
 * and is a change of the store, so no number ever exceeds the revision at which it was written. The revision of
 * the version that can't be read is therefore higher than any number that was overwritten unseen.
 */
import type { GroupId } from '../model/ids.js';
import { hostId, upstreamId } from '../model/ids.js';
import type { SeenDuty } from './failover.js';
import type { PrimaryRecord } from './primary-record.js';
import { RecordPhase } from './primary-record.js';

/** Holder of what can't be read: no host has this name, so nobody takes itself for it. */
const UNKNOWN_HOST = hostId('');
/** Primary of a group of which no record was ever read. */
const UNKNOWN_UPSTREAM = upstreamId('');

/**
 * A record that can't be read counts as claimed by an unknown host: nobody uses the primary, and hosts take the
 * claim over as any other that stalls. The record it stands in for may have named another primary than `former`.
 */
export function recordInDoubt(
  group: GroupId,
  former: PrimaryRecord | undefined,
  revision: number,
): PrimaryRecord {
  return {
    group,
    epoch: Math.max(revision, (former?.epoch ?? 0) + 1),
    phase: RecordPhase.Claimed,
    primary: former?.primary ?? UNKNOWN_UPSTREAM,
    holder: UNKNOWN_HOST,
    ...(former?.successor && { successor: former.successor }),
  };
}

/** A duty that can't be read counts as just taken by an unknown host: its window is waited out. */
export function dutyInDoubt(
  former: SeenDuty | undefined,
  revision: number,
  seenAt: number,
): SeenDuty {
  const fence = Math.max(revision, (former?.fence ?? 0) + 1);
  return { holder: UNKNOWN_HOST, incarnation: 0, fence, seenAt };
}
