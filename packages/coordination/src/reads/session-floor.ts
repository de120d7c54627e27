/**
 * What a session has seen of each group; it travels in the caller's token.
 */
import type { GroupId } from '../model/ids.js';
import type { Position } from './position.js';
import { comparePositions, maxPosition, ORIGIN } from './position.js';

/** Position that a session has seen of one group. */
export interface FloorEntry {
  readonly group: GroupId;
  readonly position: Position;
}

/** Floors of a session, least recently moved first. */
export type SessionFloor = readonly FloorEntry[];

/** Groups that a token holds at most; the least recently moved is dropped and read with a barrier. */
export const MAX_FLOOR_GROUPS = 64;

/** The session's position in `group`; the origin when it has seen nothing. */
export function floorOf(floor: SessionFloor, group: GroupId): Position {
  return floor.find((entry) => entry.group === group)?.position ?? ORIGIN;
}

/** Floor after an answer at `position`; never moves back. */
export function raiseFloor(floor: SessionFloor, group: GroupId, position: Position): SessionFloor {
  const held = floorOf(floor, group);
  if (comparePositions(position, held) <= 0) return floor;
  const others = floor.filter((entry) => entry.group !== group);
  return [...others, { group, position: maxPosition(held, position) }].slice(-MAX_FLOOR_GROUPS);
}
