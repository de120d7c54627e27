/**
 * State that a relay distributes to hosts: members, group records and the head of the bundle. Each item
 * is stored with the counter value of its last change, so that a host that has received updates up to
 * some counter is sent only later ones.
 */
import type { GroupId, GroupRecord, HostId, Member } from '@gladespool/coordination';
import { compareRecords, sameMember } from '@gladespool/coordination';

interface Versioned<Item> {
  readonly item: Item;
  readonly at: number;
}

/** Updates after some counter value. */
export interface Updates {
  readonly members: readonly Member[];
  readonly records: readonly GroupRecord[];
  readonly bundle: string | undefined;
  readonly upTo: number;
}

/** Updates that one relay distributes. */
export class UpdateLog {
  private readonly members = new Map<HostId, Versioned<Member>>();
  private readonly records = new Map<GroupId, Versioned<GroupRecord>>();
  private bundle: Versioned<string> | undefined;
  private counter = 0;

  /** Counter value of the latest change. */
  get upTo(): number {
    return this.counter;
  }

  /** Stores a member; returns whether it changed. */
  putMember(member: Member): boolean {
    const held = this.members.get(member.host);
    if (held !== undefined && sameMember(held.item, member)) return false;
    if (held !== undefined && member.incarnation < held.item.incarnation) return false;
    this.members.set(member.host, this.stamp(member));
    return true;
  }

  /** Stores a record; returns whether it is newer than the stored one. */
  putRecord(record: GroupRecord): boolean {
    const held = this.records.get(record.group);
    if (held !== undefined && compareRecords(record, held.item) <= 0) return false;
    this.records.set(record.group, this.stamp(record));
    return true;
  }

  /** Stores the head of a newly installed bundle. */
  putBundle(head: string): void {
    this.bundle = this.stamp(head);
  }

  /** Returns all items that changed after the counter value `heard`. */
  after(heard: number): Updates {
    if (heard >= this.counter) return { ...NO_UPDATES, upTo: this.counter };
    return {
      members: changedAfter(this.members.values(), heard),
      records: changedAfter(this.records.values(), heard),
      bundle: this.bundle !== undefined && this.bundle.at > heard ? this.bundle.item : undefined,
      upTo: this.counter,
    };
  }

  private stamp<Item>(item: Item): Versioned<Item> {
    this.counter += 1;
    return { item, at: this.counter };
  }
}

const NO_UPDATES: Omit<Updates, 'upTo'> = { members: [], records: [], bundle: undefined };

function changedAfter<Item>(counted: Iterable<Versioned<Item>>, heard: number): readonly Item[] {
  return [...counted].filter((entry) => entry.at > heard).map((entry) => entry.item);
}
