/**
 * Which other hosts said that they reach a group's primary, while this host does not.
 */
import type { GroupId, HostId } from '@gladespool/coordination';

/** Time for which such a statement counts, milliseconds: as long as a usual cut. */
const COUNTS_MS = 6000;

interface ReachNote {
  readonly epoch: number;
  readonly at: number;
  readonly hosts: readonly HostId[];
}

/** Notes of one host. */
export class ReachabilityReports {
  private readonly notes = new Map<GroupId, ReachNote>();

  /** Notes who reaches the primary of `epoch`. */
  put(group: GroupId, epoch: number, hosts: readonly HostId[], now: number): void {
    this.notes.set(group, { epoch, hosts, at: now });
  }

  /** Hosts that reach the primary of `epoch`, in the order in which they are to be asked. */
  hostsReaching(group: GroupId, epoch: number | undefined, now: number): readonly HostId[] {
    const note = this.notes.get(group);
    if (note === undefined || note.epoch !== epoch || now - note.at > COUNTS_MS) return [];
    return note.hosts;
  }

  /** Takes a host out that did not help. */
  remove(group: GroupId, host: HostId): void {
    const note = this.notes.get(group);
    if (note === undefined) return;
    this.notes.set(group, { ...note, hosts: note.hosts.filter((other) => other !== host) });
  }
}
