/**
 * Shapes of embedded deployments: zones, hosts, groups and latencies of Ramdin's and Harborline's
 * present deployments.
 */

/** Shape of an embedded deployment. */
export interface DeploymentShape {
  readonly name: string;
  readonly zones: readonly string[];
  readonly hostsPerZone: number;
  readonly groups: readonly string[];
  readonly connectionsPerUpstream: number;
  /** Time to open a connection to an upstream, milliseconds. */
  readonly connectMs: number;
  /** One-way latency between zones, milliseconds. */
  readonly zoneLatencyMs: number;
  /** One-way latency between callers and hosts, milliseconds. */
  readonly callerLatencyMs: number;
}

const CONNECT_MS = 10;

/** Ramdin Signature Ledger Pooling, Port Louis. */
export const RAMDIN: DeploymentShape = {
  name: 'ramdin',
  zones: ['az1', 'az2', 'az3'],
  hostsPerZone: 3,
  groups: ['ledger1', 'ledger2', 'ledger3'],
  connectionsPerUpstream: 25,
  connectMs: CONNECT_MS,
  zoneLatencyMs: 1.5,
  callerLatencyMs: 3,
};

/** Harborline Head Office Script Database Pool, New England. */
export const HARBORLINE: DeploymentShape = {
  name: 'harborline',
  zones: ['az1', 'az2', 'az3'],
  hostsPerZone: 3,
  groups: ['scripts1', 'scripts2', 'scripts3'],
  connectionsPerUpstream: 40,
  connectMs: CONNECT_MS,
  zoneLatencyMs: 1,
  callerLatencyMs: 1,
};
