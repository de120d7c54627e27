/**
 * Which hosts of a zone hold the connections of a group (its homes), and how many each may hold.
 *
 * A zone's share of an upstream's connections is divided into one slot per home and one reserve
 * slot. A host that becomes a home uses its part of the reserve until the former holder of its slot
 * has certainly released it, so the sum stays within the zone's share while both consider
 * themselves holders.
 */
import type { GroupSpec } from '../model/group.js';
import type { AzId, GroupId, HostId } from '../model/ids.js';
import { topCandidates } from './rendezvous.js';

/** Homes of a group in a zone, preferred first. */
export function homesOf(group: GroupId, hosts: readonly HostId[], count: number): HostId[] {
  return topCandidates(`home|${group}`, hosts, count);
}

/** Relays of a zone, preferred first. */
export function relaysOf(az: AzId, hosts: readonly HostId[], count: number): HostId[] {
  return topCandidates(`relay|${az}`, hosts, count);
}

/** Zones of a group's upstreams, sorted. */
export function zonesOfGroup(spec: GroupSpec): readonly AzId[] {
  return [...new Set(spec.upstreams.map((upstream) => upstream.az))].sort();
}

/** Connections to each upstream that the hosts of `az` may hold together. */
export function zoneShare(spec: GroupSpec, az: AzId): number {
  const zones = zonesOfGroup(spec);
  const index = zones.indexOf(az);
  if (index < 0) return 0;
  const even = Math.floor(spec.connectionsPerUpstream / zones.length);
  const remainder = spec.connectionsPerUpstream % zones.length;
  return even + (index < remainder ? 1 : 0);
}

/** How long a host has been a home of a group. */
export interface HomeTenure {
  /** When this host became a home of the group, local milliseconds. */
  readonly since: number;
  /** Whether the former holder of the slot released it by message, or there was none. */
  readonly handedOver: boolean;
}

/** Minimum share of a zone with two homes: a slot for each and a reserve for two successors. */
export const MIN_ZONE_SHARE = 4;

/** Parameters of the division into slots. */
export interface SlotRules {
  readonly homesPerGroup: number;
  /**
   * Time after which a host that is no longer a home has certainly released its connections,
   * milliseconds.
   */
  readonly releaseTimeoutMs: number;
}

/** Connections to each upstream that one home may hold at `now`. */
export function homeShare(
  share: number,
  tenure: HomeTenure,
  rules: SlotRules,
  now: number,
): number {
  const { homesPerGroup, releaseTimeoutMs } = rules;
  const reserve = Math.max(homesPerGroup, Math.floor(share / (homesPerGroup + 1)));
  const slotShare = Math.max(1, Math.floor((share - reserve) / homesPerGroup));
  const isReleased = tenure.handedOver || now - tenure.since >= releaseTimeoutMs;
  return isReleased ? slotShare : Math.min(slotShare, Math.floor(reserve / homesPerGroup));
}
