/**
 * Other hosts that reported that they reach a group's primary while this host does not.
 */
import type { GroupId, HostId } from '@gladespool/coordination';

/** Time for which a report is valid, milliseconds: as long as a usual network partition. */
const COUNTS_MS = 6000;

interface ReachNote {
  readonly epoch: number;
  readonly at: number;
  readonly hosts: readonly HostId[];
}

/** Reports received by one host, by group. */
export class ReachabilityReports {
  private readonly notes = new Map<GroupId, ReachNote>();

  /** Stores the hosts that reach the primary of `epoch`. */
  put(group: GroupId, epoch: number, hosts: readonly HostId[], now: number): void {
    this.notes.set(group, { epoch, hosts, at: now });
  }

  /** Hosts that reach the primary of `epoch`, in the order in which they are to be tried. */
  hostsReaching(group: GroupId, epoch: number | undefined, now: number): readonly HostId[] {
    const note = this.notes.get(group);
    if (note === undefined || note.epoch !== epoch || now - note.at > COUNTS_MS) return [];
    return note.hosts;
  }

  /** Removes a host whose report turned out to be of no use. */
  remove(group: GroupId, host: HostId): void {
    const note = this.notes.get(group);
    if (note === undefined) return;
    this.notes.set(group, { ...note, hosts: note.hosts.filter((other) => other !== host) });
  }
}
