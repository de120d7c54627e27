/**
 * Other hosts that reported that they reach a group's primary while this host does not.
 */
import type { GroupId, HostId } from '@gladespool/coordination';

/** Time for which a report is valid, milliseconds: as long as a usual network partition. */
const REPORT_TTL_MS = 6000;

interface ReachabilityReport {
  readonly epoch: number;
  readonly at: number;
  readonly hosts: readonly HostId[];
}

/** Reports received by one host, by group. */
export class ReachabilityReports {
  private readonly reports = new Map<GroupId, ReachabilityReport>();

  /** Stores the hosts that reach the primary of `epoch`. */
  put(group: GroupId, epoch: number, hosts: readonly HostId[], now: number): void {
    this.reports.set(group, { epoch, hosts, at: now });
  }

  /** Hosts that reach the primary of `epoch`, in the order in which they are to be tried. */
  hostsReaching(group: GroupId, epoch: number | undefined, now: number): readonly HostId[] {
    const report = this.reports.get(group);
    if (report === undefined || report.epoch !== epoch || now - report.at > REPORT_TTL_MS)
      return [];
    return report.hosts;
  }

  /** Removes a host whose report turned out to be of no use. */
  remove(group: GroupId, host: HostId): void {
    const report = this.reports.get(group);
    if (report === undefined) return;
    this.reports.set(group, { ...report, hosts: report.hosts.filter((other) => other !== host) });
  }
}
