/**
 * Finds upstreams whose state differs from the group's record: replicas that follow no primary or
 * an older one, and former primaries that returned with an unconfirmed tail of their log.
 */
import type { GroupRecord, GroupSpec } from '../model/group.js';
import { GroupPhase } from '../model/group.js';
import type { UpstreamId } from '../model/ids.js';
import type { UpstreamReport } from '../model/upstream-report.js';
import { UpstreamRole } from '../model/upstream-report.js';

/** Upstreams that have to be repointed to the record's primary. */
export function upstreamsToRepoint(
  spec: GroupSpec,
  record: GroupRecord,
  reports: readonly UpstreamReport[],
): readonly UpstreamId[] {
  if (record.phase === GroupPhase.Fencing) return [];
  const members = new Set(spec.upstreams.map((upstream) => upstream.id));
  return reports
    .filter((report) => members.has(report.upstream) && report.upstream !== record.primary)
    .filter((report) => report.fencedTerm <= record.term && !follows(report, record))
    .map((report) => report.upstream);
}

function follows(report: UpstreamReport, record: GroupRecord): boolean {
  if (report.role !== UpstreamRole.Replica) return false;
  return report.received.term === record.term;
}
