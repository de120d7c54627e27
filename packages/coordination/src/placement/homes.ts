/**
 * Which hosts of a zone hold the connections of a group (its homes), and how many each may hold.
 *
 * A zone's part of an upstream's budget is cut into one slot for each home and one reserve slot.
 * A host that becomes a home works from its slice of the reserve until the former holder of its
 * slot has surely given up, so the sum stays within the zone's part while both believe to hold it.
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

/** How long a host has held a home. */
export interface HomeTenure {
  /** When this host became a home of the group, local milliseconds. */
  readonly since: number;
  /** Whether the former holder of the slot gave it up by message, or there was none. */
  readonly handedOver: boolean;
}

/** Least part of a zone with two homes: a slot for each and a reserve for two successors. */
export const MIN_ZONE_SHARE = 4;

/** Bounds of the split. */
export interface SlotRules {
  readonly homesPerGroup: number;
  /** Time after which a host that lost its home has surely given its connections back, milliseconds. */
  readonly releaseTimeoutMs: number;
}

/** Connections to each upstream that one home may hold at `now`. */
export function homeShare(part: number, tenure: HomeTenure, rules: SlotRules, now: number): number {
  const { homesPerGroup, releaseTimeoutMs } = rules;
  const reserve = Math.max(homesPerGroup, Math.floor(part / (homesPerGroup + 1)));
  const slot = Math.max(1, Math.floor((part - reserve) / homesPerGroup));
  const settled = tenure.handedOver || now - tenure.since >= releaseTimeoutMs;
  return settled ? slot : Math.min(slot, Math.floor(reserve / homesPerGroup));
}
