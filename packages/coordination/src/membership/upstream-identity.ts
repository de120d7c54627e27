/**
 * Which entries tell of the same upstream. An upstream that starts again under its id holds nothing of
 * before, so its id alone does not name it: id and birth do.
 */
import type { UpstreamId } from '../model/ids.js';

/** Start of an upstream's process, Unix milliseconds by its own clock; undefined where it is not told. */
export type StartTime = number | undefined;

/** What tells one upstream from another. */
export interface UpstreamIdentity {
  readonly id: UpstreamId;
  readonly born?: StartTime;
}

/**
 * Whether two births may be those of one process. They are compared for equality only: clocks may be wrong,
 * so a later process may tell an earlier birth. A birth that is not told contradicts none.
 */
export function mayBeSameStartTime(known: StartTime, told: StartTime): boolean {
  return known === undefined || told === undefined || known === told;
}

/** Whether two entries tell of the same upstream. */
export function mayBeSameUpstream(known: UpstreamIdentity, told: UpstreamIdentity): boolean {
  return known.id === told.id && mayBeSameStartTime(known.born, told.born);
}

/**
 * An entry with the birth that was known of its upstream if it tells none, so that one entry without a
 * birth does not hide the difference between those before and after it.
 */
export function withKnownStartTime<E extends UpstreamIdentity>(known: E | undefined, told: E): E {
  if (told.born !== undefined || known?.born === undefined) return told;
  return { ...told, born: known.born };
}
