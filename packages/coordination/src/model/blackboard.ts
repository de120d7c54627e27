/**
 * What a host knows, in typed sections. Controllers read sections and write their decisions and
 * observations to them; input and output adapters carry them out. Nothing here lasts longer than
 * the process.
 */
import type { PrimaryWatermarks } from '../reads/watermarks.js';
import type { GroupRecord, GroupSpec } from './group.js';
import { compareRecords } from './group.js';
import type { AzId, GroupId, HostId, UpstreamId } from './ids.js';
import type { Member } from '../membership/membership.js';
import type { UpstreamHealth } from './upstream-report.js';
import { UNKNOWN_HEALTH } from './upstream-report.js';

/** Sections whose changes controllers can wait for. */
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
  /** When it came into force, local milliseconds. */
  readonly since: number;
}

/** A group's record and when it was learned. */
export interface KnownRecord {
  readonly record: GroupRecord;
  readonly since: number;
}

/** What a home observed of a group. */
export interface GroupObservation {
  readonly marks: PrimaryWatermarks;
  /** Time up to which the primaries' authority is proved, local milliseconds; never moves back. */
  readonly authority: number;
  /** When the home began to watch the present term, local milliseconds. */
  readonly watchingSince: number;
  /** Apply rate of each upstream, log offsets per millisecond. */
  readonly applyRates: ReadonlyMap<UpstreamId, number>;
  /** When the last promotion was seen, local milliseconds. */
  readonly lastPromotionAt: number | undefined;
}

type Listener = () => void;

/** Knowledge of one host. */
export class Blackboard {
  private bundleKnowledge: KnownBundle | undefined;
  private readonly records = new Map<GroupId, KnownRecord>();
  private readonly health = new Map<string, UpstreamHealth>();
  private readonly observations = new Map<GroupId, GroupObservation>();
  private memberList: readonly Member[] = [];
  private readonly listeners = new Map<Section, Set<Listener>>();
  /** Whether this host is leaving. */
  draining = false;
  private areMembersKnown = false;

  constructor(
    readonly host: HostId,
    readonly az: AzId,
  ) {}

  get bundle(): KnownBundle | undefined {
    return this.bundleKnowledge;
  }

  /** Puts a bundle in force; a version at or below the present one changes nothing. */
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

  /** Takes a record; an older one changes nothing. */
  putRecord(record: GroupRecord, now: number): boolean {
    const held = this.records.get(record.group)?.record;
    if (held !== undefined && compareRecords(record, held) <= 0) return false;
    this.records.set(record.group, { record, since: now });
    this.noteTerm(record, held, now);
    this.notify(Section.Records);
    return true;
  }

  /** Whether the members of this zone are known well enough to take homes and a stored bundle. */
  get membersKnown(): boolean {
    return this.areMembersKnown;
  }

  /** Notes that the members of this zone are known; stays so. */
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

  /** Forgets what was observed of a group that this host no longer watches. */
  removeObservation(group: GroupId): void {
    this.observations.delete(group);
  }

  /** Calls back after each change of a section; the result stops it. */
  onChange(section: Section, listener: Listener): () => void {
    const listeners = this.listeners.get(section) ?? new Set<Listener>();
    this.listeners.set(section, listeners);
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
    };
  }

  private noteTerm(record: GroupRecord, held: GroupRecord | undefined, now: number): void {
    const observation = this.observations.get(record.group);
    if (observation === undefined || held === undefined || record.term === held.term) return;
    const next = { ...observation, watchingSince: now, lastPromotionAt: now };
    this.observations.set(record.group, next);
  }

  private notify(section: Section): void {
    for (const listener of [...(this.listeners.get(section) ?? [])]) listener();
  }
}
