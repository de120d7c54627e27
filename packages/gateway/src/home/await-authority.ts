/**
 * Holds a statement while the proof of authority is being renewed or a new primary is being promoted, provided
 * that this is expected to finish before the statement's deadline.
 */
import { shouldHoldStatement } from '@gladespool/coordination';
import { BoardSection } from '../knowledge/board.js';
import type { GroupHome } from './group-home.js';
import type { Job } from './job.js';
import { primaryExclusion } from './upstream-exclusion.js';

/** Longest wait before the authority is checked again, milliseconds. */
const RECHECK_MS = 25;

/**
 * Waits until the primary may be used and is reachable, for as long as that is expected to happen before the
 * statement's deadline.
 *
 * @returns false as soon as waiting is no longer expected to succeed, or when another host can run the statement.
 */
export async function awaitAuthority(home: GroupHome, job: Job, now: number): Promise<boolean> {
  const { timeoutMs } = job.route;
  for (let time = now; ; time = performance.now()) {
    if (primaryExclusion(home, job, time) !== undefined) return false;
    if (mayUsePrimary(home, time)) return true;
    if (home.isPrimaryUnreachable(time) && home.canForwardToPrimary(time)) return false;
    const expectedAt = home.expectedPrimaryAt(time);
    if (!shouldHoldStatement(expectedAt, job.arrivedAt, timeoutMs)) return false;
    await waitForRecordChange(home, RECHECK_MS);
  }
}

function mayUsePrimary(home: GroupHome, now: number): boolean {
  const { record, context } = home;
  if (record === undefined || !context.board.upstreams.has(record.primary)) return false;
  if (home.isPrimaryUnreachable(now)) return false;
  return home.hasAuthority(now) && !context.holds.isHeld(home.group, now);
}

function waitForRecordChange(home: GroupHome, timeoutMs: number): Promise<void> {
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
