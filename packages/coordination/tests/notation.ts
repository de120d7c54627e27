/**
 * Parsers of the short notation of reports, lineages and records in feature tables.
 */
import type { GroupRecord, Lineage, TimedReport, UpstreamReport } from '../src/index.js';
import { groupId, GroupPhase, hostId, upstreamId, UpstreamRole } from '../src/index.js';

/** Parses a lineage such as `1:0, 2:10`. */
export function parseLineage(text: string): Lineage {
  return text.split(', ').map((pair) => {
    const [term, start] = pair.split(':').map(Number);
    return { term: term ?? 0, start: start ?? 0 };
  });
}

/**
 * Parses reports such as `a:1/10!2, b:1/9`; `!2` sets the fenced term, `~8` the applied offset, `*`
 * the primary role.
 */
export function parseReports(text: string): readonly UpstreamReport[] {
  if (text === '') return [];
  return text.split(', ').map(parseReport);
}

function parseReport(text: string): UpstreamReport {
  const match = /^(\w+)(\*?):(\d+)\/(\d+)(?:~(\d+))?(?:!(\d+))?$/.exec(text);
  if (match === null) throw new Error(`not a report: ${text}`);
  const [, id = '', star, term, offset, applied, fenced] = match;
  return {
    upstream: upstreamId(id),
    role: star === '*' ? UpstreamRole.Primary : UpstreamRole.Replica,
    received: { term: Number(term), offset: Number(offset) },
    applied: { term: Number(term), offset: Number(applied ?? offset) },
    fencedTerm: Number(fenced ?? term),
    lineage: [{ term: 1, start: 0 }],
    openTransactions: 0,
  };
}

/** Parses reports with the time at which their query was sent, such as `a:1/10@50!2`. */
export function parseTimedReports(text: string): readonly TimedReport[] {
  if (text === '') return [];
  return text.split(', ').map((part) => {
    const match = /^([^@]+)@(\d+)(!\d+)?$/.exec(part);
    if (match === null) throw new Error(`not a timed report: ${part}`);
    const [, report = '', at, fence = ''] = match;
    return { report: parseReport(report + fence), sentAt: Number(at), at: Number(at) };
  });
}

/** A serving record of the last term of the lineage. */
export function recordWith(lineage: Lineage): GroupRecord {
  return {
    group: groupId('g'),
    term: lineage.at(-1)?.term ?? 0,
    phase: GroupPhase.Serving,
    primary: upstreamId('a'),
    lineage,
    attempt: 'test',
    promoter: hostId('h'),
  };
}
