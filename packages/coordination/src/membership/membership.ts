/**
 * Who lives, as relays judge it. Hosts send heartbeats to the relays of their availability zone;
 * relays spread only changes. A host counts another as live while any of its relays does, so that
 * one bad link between a relay and a member removes nobody.
 */
import type { AzId, HostId } from '../model/ids.js';

/** State of a member. */
export enum MemberState {
  Live = 'live',
  /** Takes no new sessions and no homes; finishes what it has. */
  Leaving = 'leaving',
  Gone = 'gone',
}

/** One host as members know it. */
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

/** A member that a relay hears. */
export interface TrackedMember {
  readonly member: Member;
  /** When its last heartbeat arrived, local milliseconds. */
  readonly lastHeartbeatAt: number;
}

/** Effect of a heartbeat on a relay's list. */
export interface HeartbeatEffect {
  readonly heard: TrackedMember;
  /** Whether others have to be told. */
  readonly changed: boolean;
}

/** Takes a heartbeat into a relay's list; an older incarnation changes nothing. */
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

/** Members of a relay's list that have to be told as gone at `now`. */
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

/** Whether two records of a member say the same. */
export function sameMember(a: Member, b: Member): boolean {
  return (
    a.incarnation === b.incarnation &&
    a.state === b.state &&
    a.address === b.address &&
    a.port === b.port &&
    a.az === b.az
  );
}

/** Better of two records of one host: newer incarnation, then the more hopeful state. */
export function preferMember(a: Member, b: Member): Member {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation ? a : b;
  return hope(a.state) >= hope(b.state) ? a : b;
}

/** A host that announced its leaving is leaving, whoever still has it as live. */
function hope(state: MemberState): number {
  if (state === MemberState.Leaving) return 2;
  return state === MemberState.Live ? 1 : 0;
}

/** Joins the views of several relays: a member lives while any of them says so. */
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

/** Live hosts of a zone that take work, by name. */
export function activeHosts(members: readonly Member[], az: AzId): readonly HostId[] {
  return members
    .filter((member) => member.az === az && member.state === MemberState.Live)
    .map((member) => member.host)
    .sort();
}

/** Heartbeats a second that one relay takes at most; each costs it about 70 us (docs/CAPACITY.md). */
const BEATS_PER_SECOND = 130;
/** Heartbeats that fit into the expiry time at least, so that one lost beat removes nobody. */
const BEATS_PER_EXPIRY = 2.3;
const MS_PER_SECOND = 1000;

/** Heartbeat interval in a zone of so many members, milliseconds: large zones beat more slowly. */
export function heartbeatIntervalMs(baseMs: number, members: number, expireMs: number): number {
  const byLoad = (members * MS_PER_SECOND) / BEATS_PER_SECOND;
  return Math.min(expireMs / BEATS_PER_EXPIRY, Math.max(baseMs, byLoad));
}
