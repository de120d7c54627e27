/**
 * Holds a statement for a short time while the proof of the primary is being renewed or another
 * primary takes over.
 */
import { BoardSection } from '../board.js';
import type { GroupHome } from './group-home.js';
import type { Job } from './job.js';

/**
 * Part of the statement's time for which it is held, counted from its arrival. A promotion takes
 * most of a second; a caller that asks again later is served as well as one that is held longer.
 */
const HOLD_SHARE = 0.3;
/** Longest wait before the authority is looked at again, milliseconds. */
const REVIEW_MS = 25;

/**
 * Waits until the primary may be used and answers.
 *
 * @returns false when the time for which the statement may be held is over, or when another host can
 *   run it meanwhile.
 */
export async function awaitAuthority(home: GroupHome, job: Job, now: number): Promise<boolean> {
  const until = job.arrivedAt + job.route.timeoutMs * HOLD_SHARE;
  for (let time = now; time < until; time = performance.now()) {
    if (mayUsePrimary(home, time)) return true;
    if (home.missesPrimary(time) && home.hasDetour(time)) return false;
    await recordChange(home, Math.min(REVIEW_MS, until - time));
  }
  return false;
}

function mayUsePrimary(home: GroupHome, now: number): boolean {
  const { record, context } = home;
  if (record === undefined || !context.board.upstreams.has(record.primary)) return false;
  if (home.missesPrimary(now)) return false;
  return home.hasAuthority(now) && !context.holds.isHeld(home.group, now);
}

function recordChange(home: GroupHome, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      clearTimeout(timer);
      stop();
      resolve();
    };
    const stop = home.context.board.onChange(BoardSection.Records, done);
    const timer = setTimeout(done, timeoutMs);
  });
}
