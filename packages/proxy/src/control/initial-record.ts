/**
 * Initial record of a group. The platform creates groups with a primary, which is found by querying
 * the status of the upstreams.
 */
import type { GroupRecord, GroupSpec, HostId, UpstreamReport } from '@gladespool/coordination';
import { comparePositions, GroupPhase, majorityOf, UpstreamRole } from '@gladespool/coordination';

/**
 * Returns the initial record for a group that has none yet.
 *
 * @returns undefined while fewer than a majority of the upstreams have reported, or none of them is a
 * primary.
 */
export function initialRecord(
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
