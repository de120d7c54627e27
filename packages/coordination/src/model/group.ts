/**
 * Shared state of a database group: its members (from the bundle) and its record (term, primary,
 * lineage; kept in the platform's store and changed only by compare-and-swap).
 */
import type { AzId, GroupId, HostId, UpstreamId } from './ids.js';
import type { Lineage } from '../reads/position.js';

/** Phase of a group's record. */
export enum GroupPhase {
  /** The primary accepts writes. */
  Serving = 'serving',
  /** A planned handover: open transactions finish, new ones are held. */
  Draining = 'draining',
  /** A promotion has claimed the next term and is fencing the upstreams. */
  Fencing = 'fencing',
}

/** Membership state of an upstream as specified by the bundle. */
export enum UpstreamState {
  Active = 'active',
  /** Receives no new work; its primary role is handed over. */
  Leaving = 'leaving',
}

/** One upstream of a group as the bundle lists it. */
export interface UpstreamSpec {
  readonly id: UpstreamId;
  readonly az: AzId;
  /** IP address. */
  readonly address: string;
  readonly port: number;
  readonly state: UpstreamState;
}

/** Which rule confirms writes. */
export enum AcknowledgementKind {
  /** A majority of the group's upstreams under one term. */
  Majority = 'majority',
  /**
   * The primary's commit alone. A promotion can lose confirmed writes; only for use as a baseline
   * of measurements.
   */
  PrimaryCommit = 'primary-commit',
}

/** Consistency guarantee of a session. */
export enum SessionGuarantee {
  /** Reads see the session's own writes. */
  OwnWrites = 'own-writes',
  /** Reads also never return an older state than the session has read before. */
  Monotonic = 'monotonic',
}

/** A database group as the bundle describes it. */
export interface GroupSpec {
  readonly id: GroupId;
  readonly upstreams: readonly UpstreamSpec[];
  /** Connections that all hosts together may hold to one upstream. */
  readonly connectionsPerUpstream: number;
  /** Maximum age of data for reads that state none themselves, milliseconds; 0 means no bound. */
  readonly defaultMaxAgeMs: number;
  readonly acknowledgement: AcknowledgementKind;
  readonly sessionGuarantee: SessionGuarantee;
}

/** Record of a group in the platform's store. */
export interface GroupRecord {
  readonly group: GroupId;
  readonly term: number;
  readonly phase: GroupPhase;
  /** Primary of `term`; while fencing, the primary of the previous term. */
  readonly primary: UpstreamId;
  readonly lineage: Lineage;
  /**
   * Id of the attempt that wrote the record; if a reply was lost, reading the record shows whether
   * the write took effect.
   */
  readonly attempt: string;
  readonly promoter: HostId;
}

/** Number of upstreams that form a majority of `members`. */
export function majorityOf(members: number): number {
  return Math.floor(members / 2) + 1;
}

/** Compares two records of one group; positive if `a` is newer. */
export function compareRecords(a: GroupRecord, b: GroupRecord): number {
  if (a.term !== b.term) return a.term - b.term;
  return PHASE_ORDER[a.phase] - PHASE_ORDER[b.phase];
}

/** Order of the phases within one term. */
const PHASE_ORDER: Readonly<Record<GroupPhase, number>> = {
  [GroupPhase.Fencing]: 0,
  [GroupPhase.Serving]: 1,
  [GroupPhase.Draining]: 2,
};
