/**
 * Membership as determined by relays. Hosts send heartbeats to the relays of their availability
 * zone; relays distribute only changes. A host counts another as live while any of its relays does,
 * so that one bad link between a relay and a member removes no host.
 */
import type { AzId, HostId } from '../model/ids.js';

/** State of a member. */
export enum MemberState {
  Live = 'live',
  /** Accepts no new sessions and becomes no home; finishes its current work. */
  Leaving = 'leaving',
  Gone = 'gone',
}

/** One host as known to the members. */
export interface Member {
  readonly host: HostId;
  readonly az: AzId;
  readonly address: string;
  /** Port for links between hosts. */
  readonly port: number;
  /** Start time of the process, milliseconds since the epoch of its own clock. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A member whose heartbeats a relay receives. */
export interface TrackedMember {
  readonly member: Member;
  /** When its latest heartbeat arrived, local milliseconds. */
  readonly lastHeartbeatAt: number;
}

/** Effect of a heartbeat on a relay's list. */
export interface HeartbeatEffect {
  readonly heard: TrackedMember;
  /** Whether the other hosts have to be notified. */
  readonly changed: boolean;
}

/** Applies a heartbeat to a relay's list; an older incarnation changes nothing. */
export function applyHeartbeat(
  held: TrackedMember | undefined,
  member: Member,
  now: number,
): HeartbeatEffect {
  if (held === undefined) return { heard: { member, lastHeartbeatAt: now }, changed: true };
  if (member.incarnation < held.member.incarnation) return { heard: held, changed: false };
  const changed = !sameMember(held.member, member);
  return { heard: { member, lastHeartbeatAt: now }, changed };
}

/** Members of a relay's list that expire at `now`, in state gone. */
export function expiredMembers(
  list: readonly TrackedMember[],
  now: number,
  expireMs: number,
): readonly Member[] {
  return list
    .filter(
      ({ member, lastHeartbeatAt }) =>
        member.state !== MemberState.Gone && now - lastHeartbeatAt > expireMs,
    )
    .map(({ member }) => ({ ...member, state: MemberState.Gone }));
}

/** Whether two records of a member are equal. */
export function sameMember(a: Member, b: Member): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.state === b.state &&
    a.address === b.address &&
    a.port === b.port &&
    a.az === b.az
  );
}

/**
 * The record that takes precedence among two of one host: the newer incarnation, then the state of
 * higher precedence.
 */
export function preferMember(a: Member, b: Member): Member {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation ? a : b;
  return statePrecedence(a.state) >= statePrecedence(b.state) ? a : b;
}

/** A host that has announced that it is leaving is leaving, even if another record still has it as live. */
function statePrecedence(state: MemberState): number {
  if (state === MemberState.Leaving) return 2;
  return state === MemberState.Live ? 1 : 0;
}

/** Merges the views of several relays: a member is live while any of them reports it as live. */
export function mergeViews(views: readonly (readonly Member[])[]): readonly Member[] {
  const joined = new Map<HostId, Member>();
  for (const view of views) {
    for (const member of view) {
      const held = joined.get(member.host);
      joined.set(member.host, held === undefined ? member : preferMember(held, member));
    }
  }
  return [...joined.values()];
}

/** Live hosts of a zone that accept new work, sorted by name. */
export function activeHosts(members: readonly Member[], az: AzId): readonly HostId[] {
  return members
    .filter((member) => member.az === az && member.state === MemberState.Live)
    .map((member) => member.host)
    .sort();
}

/** Maximum number of heartbeats per second at one relay; each takes about 70 us (docs/CAPACITY.md). */
const MAX_HEARTBEATS_PER_SECOND = 130;
/** Minimum number of heartbeats per expiry time, so that one lost heartbeat removes no host. */
const MIN_HEARTBEATS_PER_EXPIRY = 2.3;
const MS_PER_SECOND = 1000;

/** Heartbeat interval in a zone of `members` hosts, milliseconds; longer in large zones. */
export function heartbeatIntervalMs(baseMs: number, members: number, expireMs: number): number {
  const byLoad = (members * MS_PER_SECOND) / MAX_HEARTBEATS_PER_SECOND;
  return Math.min(expireMs / MIN_HEARTBEATS_PER_EXPIRY, Math.max(baseMs, byLoad));
}
