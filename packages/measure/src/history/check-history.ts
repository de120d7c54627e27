/**
 * Checks a history of requests against the rows in the final logs.
 */
import type { FinalRows, HistoryEvent, ReadEvent, WriteEvent } from './history.js';
import { Told } from './history.js';

/** Violations by guarantee; every list is empty in a correct history. */
export interface Violations {
  /** Confirmed writes that are missing from the log. */
  readonly lost: readonly WriteEvent[];
  /** Ids of requests that took effect more than once: the log holds rows of several attempts. */
  readonly doubled: readonly string[];
  /** Writes that were reported as not run but are in the log. */
  readonly ranAfterAll: readonly WriteEvent[];
  /** Session reads that did not see a confirmed write of their own session. */
  readonly missed: readonly ReadEvent[];
  /** Reads that returned a row of another session. */
  readonly wrongAnswers: readonly ReadEvent[];
}

/** Numbers of events and violations. */
export interface HistorySummary {
  readonly requests: number;
  readonly confirmed: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly reads: number;
  readonly violations: number;
}

/** Finds every violation. */
export function checkHistory(events: readonly HistoryEvent[], rows: FinalRows): Violations {
  const writes = events.filter((event) => event.kind === 'write');
  const reads = events.filter((event) => event.kind === 'read');
  return {
    lost: lostWrites(writes, rows),
    doubled: doubledRequests(writes, rows),
    ranAfterAll: writes.filter((write) => write.told === Told.NotRun && rows.has(write.row)),
    missed: reads.filter((read) => read.foundOwner === undefined),
    wrongAnswers: reads.filter(
      (read) => read.foundOwner !== undefined && read.foundOwner !== read.session,
    ),
  };
}

/** A retried request is lost only if the log holds the row of none of its attempts. */
function lostWrites(writes: readonly WriteEvent[], rows: FinalRows): readonly WriteEvent[] {
  const retained = new Set<string>();
  for (const write of writes) {
    if (write.request !== undefined && rows.has(write.row)) retained.add(write.request);
  }
  return writes.filter((write) => {
    if (write.told !== Told.Confirmed || rows.has(write.row)) return false;
    return write.request === undefined || !retained.has(write.request);
  });
}

function doubledRequests(writes: readonly WriteEvent[], rows: FinalRows): readonly string[] {
  const rowsByRequest = new Map<string, Set<string>>();
  for (const write of writes) {
    if (write.request === undefined || !rows.has(write.row)) continue;
    const held = rowsByRequest.get(write.request) ?? new Set<string>();
    rowsByRequest.set(write.request, held.add(write.row));
  }
  return [...rowsByRequest].filter(([, held]) => held.size > 1).map(([request]) => request);
}

/** Counts the events and violations of a history. */
export function summarize(events: readonly HistoryEvent[], violations: Violations): HistorySummary {
  const told = (wanted: Told): number =>
    events.filter((event) => event.kind === 'write' && event.told === wanted).length;
  const { lost, doubled, ranAfterAll, missed, wrongAnswers } = violations;
  const found = [lost, doubled, ranAfterAll, missed, wrongAnswers];
  return {
    requests: events.length,
    confirmed: told(Told.Confirmed),
    notRun: told(Told.NotRun),
    unknown: told(Told.Unknown),
    reads: events.filter((event) => event.kind === 'read').length,
    violations: found.reduce((sum, list) => sum + list.length, 0),
  };
}
