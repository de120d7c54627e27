/**
 * Chooses the upstream that serves a read: the nearest one whose expected time is well within the
 * target latency, else the one with the lowest expected time, with a surcharge for the primary. If
 * each connection is dedicated to one workspace, upstreams with a free connection of the read's
 * workspace come first, then those to which another connection may be opened.
 */
import type { UpstreamId } from '../model/ids.js';
import type { RandomSource } from '../model/random.js';
import { Distance } from '../placement/topology.js';

/** Connections that a home has available for a workspace at an upstream. */
export enum ConnectionAvailability {
  /** A connection is free. */
  Ready = 'ready',
  /** Another connection may be opened. */
  CanOpen = 'room',
  /** Neither: a connection of another workspace would have to be closed first. */
  Full = 'full',
}

/** Load of an upstream as known to the choosing home. */
export interface UpstreamLoad {
  readonly id: UpstreamId;
  readonly isPrimary: boolean;
  /** Distance from the zone of the choosing host. */
  readonly distance: Distance;
  /** Number of this home's statements that run on the upstream or wait for a connection to it. */
  readonly inFlight: number;
  /** Moving average of the response time, milliseconds. */
  readonly meanMs: number;
  /** Connections available for the read's workspace; Ready if connections are shared. */
  readonly availability: ConnectionAvailability;
  /** Local time until which the upstream is avoided (lagging, busy, failing), milliseconds. */
  readonly avoidUntil: number;
}

/** Cost factor of a read at the primary, which also has to execute all writes. */
const PRIMARY_SURCHARGE = 2;
/**
 * Share of an operation's target latency up to which a near upstream is chosen although a far one
 * would be faster. Within it the caller gains nothing from a faster answer, and traffic between
 * zones is expensive; a near upstream whose queue grows exceeds it long before its answers are
 * late.
 */
const NEAR_LATENCY_SHARE = 0.25;
/** Range of the random factor that spreads hosts over equal upstreams. */
const JITTER = 0.2;

/**
 * Chooses the upstream for a read of an operation with the given target latency (milliseconds)
 * among those that are not avoided: the fastest in the same zone if it is fast enough for the
 * target, else in the same region, else the fastest of all. If all are avoided, chooses the one
 * that is avoided for the shortest time.
 */
export function chooseUpstream(
  loads: readonly UpstreamLoad[],
  targetLatencyMs: number,
  now: number,
  random: RandomSource,
): UpstreamId | undefined {
  const eligible = loads.filter((load) => load.avoidUntil <= now);
  if (eligible.length === 0) return minBy(loads, (load) => load.avoidUntil);
  const nearLatencyMs = targetLatencyMs * NEAR_LATENCY_SHARE;
  const fastEnough = eligible.filter((load) => expectedMs(load) <= nearLatencyMs);
  const within = (most: Distance): readonly UpstreamLoad[] =>
    bestAvailable(fastEnough).filter((load) => load.distance <= most);
  const choices = [
    within(Distance.SameZone),
    within(Distance.SameRegion),
    bestAvailable(fastEnough),
  ];
  const candidates = choices.find((loads) => loads.length > 0) ?? eligible;
  return minBy(candidates, (load) => expectedMs(load) * (1 + JITTER * random.unit()));
}

/**
 * The upstreams with the best connection availability. Opening a connection takes the upstream as
 * long as a short statement, and if another workspace's connection is closed for it, that workspace
 * will soon need it again.
 */
function bestAvailable(loads: readonly UpstreamLoad[]): readonly UpstreamLoad[] {
  for (const availability of [ConnectionAvailability.Ready, ConnectionAvailability.CanOpen]) {
    const found = loads.filter((load) => load.availability === availability);
    if (found.length > 0) return found;
  }
  return loads;
}

function expectedMs(load: UpstreamLoad): number {
  const surcharge = load.isPrimary ? PRIMARY_SURCHARGE : 1;
  return load.meanMs * (1 + load.inFlight) * surcharge;
}

function minBy(
  loads: readonly UpstreamLoad[],
  costOf: (load: UpstreamLoad) => number,
): UpstreamId | undefined {
  let best: { readonly id: UpstreamId; readonly cost: number } | undefined;
  for (const load of loads) {
    const cost = costOf(load);
    if (best === undefined || cost < best.cost) best = { id: load.id, cost };
  }
  return best?.id;
}
