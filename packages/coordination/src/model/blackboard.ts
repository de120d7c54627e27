/**
 * In-memory state of a host, in typed sections. Controllers read sections and write their decisions
 * and observations to them; input and output adapters carry them out. Nothing here outlives the
 * process.
 */
import type { PrimaryWatermarks } from '../reads/watermarks.js';
import type { GroupRecord, GroupSpec } from './group.js';
import { compareRecords } from './group.js';
import type { AzId, GroupId, HostId, UpstreamId } from './ids.js';
import type { Member } from '../membership/membership.js';
import type { UpstreamHealth } from './upstream-report.js';
import { UNKNOWN_HEALTH } from './upstream-report.js';

/** Sections whose changes controllers can subscribe to. */
export enum Section {
  Bundle = 'bundle',
  Records = 'records',
  Members = 'members',
  Health = 'health',
}

/** The bundle in force. */
export interface KnownBundle {
  readonly version: number;
  readonly groups: ReadonlyMap<GroupId, GroupSpec>;
  /** When it took effect, local milliseconds. */
  readonly since: number;
}

/** A group's record and when it was received. */
export interface KnownRecord {
  readonly record: GroupRecord;
  readonly since: number;
}

/** Observations of a home about a group. */
export interface GroupObservation {
  readonly marks: PrimaryWatermarks;
  /** Time up to which the primaries' authority is proved, local milliseconds; never decreases. */
  readonly authority: number;
  /** When the home began to monitor the current term, local milliseconds. */
  readonly watchingSince: number;
  /** Apply rate by upstream, log offsets per millisecond. */
  readonly applyRates: ReadonlyMap<UpstreamId, number>;
  /** When the latest promotion was observed, local milliseconds. */
  readonly lastPromotionAt: number | undefined;
}

type Listener = () => void;

/** State of one host. */
export class Blackboard {
  private bundleKnowledge: KnownBundle | undefined;
  private readonly records = new Map<GroupId, KnownRecord>();
  private readonly health = new Map<string, UpstreamHealth>();
  private readonly observations = new Map<GroupId, GroupObservation>();
  private memberList: readonly Member[] = [];
  private readonly listeners = new Map<Section, Set<Listener>>();
  /** Whether this host is draining. */
  draining = false;
  private areMembersKnown = false;

  constructor(
    readonly host: HostId,
    readonly az: AzId,
  ) {}

  get bundle(): KnownBundle | undefined {
    return this.bundleKnowledge;
  }

  /** Puts a bundle in force; a version at or below the current one changes nothing. */
  putBundle(version: number, groups: readonly GroupSpec[], now: number): boolean {
    if (this.bundleKnowledge !== undefined && version <= this.bundleKnowledge.version) return false;
    const byId = new Map(groups.map((group) => [group.id, group]));
    this.bundleKnowledge = { version, groups: byId, since: now };
    this.notify(Section.Bundle);
    return true;
  }

  spec(group: GroupId): GroupSpec | undefined {
    return this.bundleKnowledge?.groups.get(group);
  }

  record(group: GroupId): KnownRecord | undefined {
    return this.records.get(group);
  }

  /** Stores a record; an older one changes nothing. */
  putRecord(record: GroupRecord, now: number): boolean {
    const held = this.records.get(record.group)?.record;
    if (held !== undefined && compareRecords(record, held) <= 0) return false;
    this.records.set(record.group, { record, since: now });
    this.observeTerm(record, held, now);
    this.notify(Section.Records);
    return true;
  }

  /** Whether the members of this zone are known well enough to assign homes and to use a stored bundle. */
  get membersKnown(): boolean {
    return this.areMembersKnown;
  }

  /** Marks the members of this zone as known, permanently. */
  markMembersKnown(): void {
    if (this.areMembersKnown) return;
    this.areMembersKnown = true;
    this.notify(Section.Members);
  }

  get members(): readonly Member[] {
    return this.memberList;
  }

  putMembers(members: readonly Member[]): void {
    this.memberList = members;
    this.notify(Section.Members);
  }

  healthOf(group: GroupId, upstream: UpstreamId): UpstreamHealth {
    return this.health.get(`${group}/${upstream}`) ?? UNKNOWN_HEALTH;
  }

  putHealth(group: GroupId, upstream: UpstreamId, health: UpstreamHealth): void {
    this.health.set(`${group}/${upstream}`, health);
    this.notify(Section.Health);
  }

  observation(group: GroupId, now: number): GroupObservation {
    const held = this.observations.get(group);
    if (held !== undefined) return held;
    const fresh = {
      marks: [],
      authority: Number.NEGATIVE_INFINITY,
      watchingSince: now,
      applyRates: new Map(),
      lastPromotionAt: undefined,
    };
    this.observations.set(group, fresh);
    return fresh;
  }

  putObservation(group: GroupId, observation: GroupObservation): void {
    this.observations.set(group, observation);
  }

  /** Removes the observations of a group that this host no longer monitors. */
  removeObservation(group: GroupId): void {
    this.observations.delete(group);
  }

  /**
   * Calls `listener` after each change of a section.
   *
   * @returns a function that removes the listener
   */
  onChange(section: Section, listener: Listener): () => void {
    const listeners = this.listeners.get(section) ?? new Set<Listener>();
    this.listeners.set(section, listeners);
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
    };
  }

  private observeTerm(record: GroupRecord, held: GroupRecord | undefined, now: number): void {
    const observation = this.observations.get(record.group);
    if (observation === undefined || held === undefined || record.term === held.term) return;
    const next = { ...observation, watchingSince: now, lastPromotionAt: now };
    this.observations.set(record.group, next);
  }

  private notify(section: Section): void {
    for (const listener of [...(this.listeners.get(section) ?? [])]) listener();
  }
}
