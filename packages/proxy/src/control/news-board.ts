/**
 * What a relay tells hosts: members, group records and the bundle's head, each under the counter at
 * which it last changed, so that a host that heard up to some counter gets only what came later.
 */
import type { GroupId, GroupRecord, HostId, Member } from '@gladespool/coordination';
import { compareRecords, sameMember } from '@gladespool/coordination';

interface Counted<Item> {
  readonly item: Item;
  readonly at: number;
}

/** News after some counter. */
export interface News {
  readonly members: readonly Member[];
  readonly records: readonly GroupRecord[];
  readonly bundle: string | undefined;
  readonly upTo: number;
}

/** News of one relay. */
export class NewsBoard {
  private readonly members = new Map<HostId, Counted<Member>>();
  private readonly records = new Map<GroupId, Counted<GroupRecord>>();
  private bundle: Counted<string> | undefined;
  private counter = 0;

  /** Counter of the latest change. */
  get upTo(): number {
    return this.counter;
  }

  /** Notes a member; true when it is news. */
  putMember(member: Member): boolean {
    const held = this.members.get(member.host);
    if (held !== undefined && sameMember(held.item, member)) return false;
    if (held !== undefined && member.incarnation < held.item.incarnation) return false;
    this.members.set(member.host, this.count(member));
    return true;
  }

  /** Notes a record; true when it is newer than the one held. */
  putRecord(record: GroupRecord): boolean {
    const held = this.records.get(record.group);
    if (held !== undefined && compareRecords(record, held.item) <= 0) return false;
    this.records.set(record.group, this.count(record));
    return true;
  }

  /** Notes the head of a bundle that came into force. */
  putBundle(head: string): void {
    this.bundle = this.count(head);
  }

  /** Everything that changed after `heard`. */
  after(heard: number): News {
    if (heard >= this.counter) return { ...NOTHING, upTo: this.counter };
    return {
      members: newer(this.members.values(), heard),
      records: newer(this.records.values(), heard),
      bundle: this.bundle !== undefined && this.bundle.at > heard ? this.bundle.item : undefined,
      upTo: this.counter,
    };
  }

  private count<Item>(item: Item): Counted<Item> {
    this.counter += 1;
    return { item, at: this.counter };
  }
}

const NOTHING: Omit<News, 'upTo'> = { members: [], records: [], bundle: undefined };

function newer<Item>(counted: Iterable<Counted<Item>>, heard: number): readonly Item[] {
  return [...counted].filter((entry) => entry.at > heard).map((entry) => entry.item);
}
