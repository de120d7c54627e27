/**
 * Conversion of updates to and from frames.
 */
import type { Member } from '@gladespool/coordination';
import { azId, hostId } from '@gladespool/coordination';
import type { FrameOf } from '@gladespool/protocol';
import { FrameKind } from '@gladespool/protocol';
import type { Updates } from './update-log.js';

type UpdatesFrame = FrameOf<FrameKind.Updates>;

/** Returns a frame with updates of the relay with this incarnation. */
export function updatesFrame(updates: Updates, incarnation: number): UpdatesFrame {
  const { members, records, bundle, upTo } = updates;
  const frame: UpdatesFrame = {
    kind: FrameKind.Updates,
    incarnation,
    upTo,
    members: [...members],
    records: [...records],
  };
  return bundle === undefined ? frame : { ...frame, bundle };
}

/** Returns the members of a frame. */
export function membersOf(frame: UpdatesFrame): readonly Member[] {
  return frame.members.map((member) => ({
    ...member,
    host: hostId(member.host),
    az: azId(member.az),
  }));
}
