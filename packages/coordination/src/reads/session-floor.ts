/**
 * The latest positions that a session has seen, by group; stored in the caller's token.
 */
import type { GroupId } from '../model/ids.js';
import type { Position } from './position.js';
import { comparePositions, maxPosition, ORIGIN } from './position.js';

/** Latest position of one group that a session has seen. */
export interface FloorEntry {
  readonly group: GroupId;
  readonly position: Position;
}

/** Floors of a session, least recently raised first. */
export type SessionFloor = readonly FloorEntry[];

/**
 * Maximum number of groups in a token; the least recently raised one is dropped, and its next read
 * uses a barrier.
 */
export const MAX_FLOOR_GROUPS = 64;

/** The session's position in `group`; the origin if it has seen none. */
export function floorOf(floor: SessionFloor, group: GroupId): Position {
  return floor.find((entry) => entry.group === group)?.position ?? ORIGIN;
}

/** Floor after an answer at `position`; never decreases. */
export function raiseFloor(floor: SessionFloor, group: GroupId, position: Position): SessionFloor {
  const held = floorOf(floor, group);
  if (comparePositions(position, held) <= 0) return floor;
  const others = floor.filter((entry) => entry.group !== group);
  return [...others, { group, position: maxPosition(held, position) }].slice(-MAX_FLOOR_GROUPS);
}
