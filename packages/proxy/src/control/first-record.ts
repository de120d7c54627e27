/**
 * The first record of a group: the platform's groups come with a primary, which is found by asking.
 */
import type { GroupRecord, GroupSpec, HostId, UpstreamReport } from '@gladespool/coordination';
import { comparePositions, GroupPhase, majorityOf, UpstreamRole } from '@gladespool/coordination';

/**
 * Record for a group that has none.
 *
 * @returns undefined while no majority of the upstreams answered or none of them is a primary.
 */
export function firstRecord(
  spec: GroupSpec,
  reports: readonly UpstreamReport[],
  host: HostId,
): GroupRecord | undefined {
  if (reports.length < majorityOf(spec.upstreams.length)) return undefined;
  const primaries = reports.filter((report) => report.role === UpstreamRole.Primary);
  const [primary] = primaries.sort((a, b) => comparePositions(b.received, a.received));
  if (primary === undefined) return undefined;
  const { term } = primary.received;
  return {
    group: spec.id,
    term,
    phase: GroupPhase.Serving,
    primary: primary.upstream,
    lineage: primary.lineage,
    attempt: `first/${host}`,
    promoter: host,
  };
}
