/**
 * Decides which entries describe the same upstream. An upstream that restarts under its id has lost
 * all its data, so the id alone does not identify it: the id and the start time do.
 */
import type { UpstreamId } from '../model/ids.js';

/** Start time of an upstream's process, Unix milliseconds by its own clock; undefined if not reported. */
export type StartTime = number | undefined;

/** Identity of one upstream process. */
export interface UpstreamIdentity {
  readonly id: UpstreamId;
  readonly born?: StartTime;
}

/**
 * Whether two start times may be those of one process. They are compared for equality only: clocks
 * may be wrong, so a later process may report an earlier time. A missing start time is compatible
 * with any other.
 */
export function mayBeSameStartTime(known: StartTime, reported: StartTime): boolean {
  return known === undefined || reported === undefined || known === reported;
}

/** Whether two entries may describe the same upstream. */
export function mayBeSameUpstream(known: UpstreamIdentity, reported: UpstreamIdentity): boolean {
  return known.id === reported.id && mayBeSameStartTime(known.born, reported.born);
}

/**
 * The entry, with the known start time of its upstream if it has none itself, so that one entry
 * without a start time does not hide a difference between the entries before and after it.
 */
export function withKnownStartTime<E extends UpstreamIdentity>(
  known: E | undefined,
  reported: E,
): E {
  if (reported.born !== undefined || known?.born === undefined) return reported;
  return { ...reported, born: known.born };
}
