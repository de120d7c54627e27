/**
 * Which upstream serves a read: the nearest that serves it in comfort, else the one with the least
 * expected time; the primary at a surcharge. Where connections serve one workspace each, one goes
 * first that has a free connection of the read's workspace, and next one that has room for another.
 */
import type { UpstreamId } from '../model/ids.js';
import type { RandomSource } from '../model/random.js';
import { Distance } from '../placement/topology.js';

/** What a home has for a workspace at an upstream. */
export enum ConnectionAvailability {
  /** A free connection. */
  Ready = 'ready',
  /** Room to open one. */
  CanOpen = 'room',
  /** Neither; a connection of another workspace would have to be closed. */
  Full = 'full',
}

/** What a home knows of an upstream when it chooses. */
export interface UpstreamLoad {
  readonly id: UpstreamId;
  readonly isPrimary: boolean;
  /** Distance from the zone of the choosing host. */
  readonly distance: Distance;
  /** Statements of this home that are at the upstream or wait for a connection to it. */
  readonly inFlight: number;
  /** Moving average of the time of an answer, milliseconds. */
  readonly meanMs: number;
  /** What is there for the read's workspace; ready where connections serve everybody. */
  readonly availability: ConnectionAvailability;
  /** Until when the upstream is to be avoided (lagging, busy, failing), local milliseconds. */
  readonly avoidUntil: number;
}

/** A read costs this much more at the primary, which also has all writes to do. */
const PRIMARY_SURCHARGE = 2;
/**
 * Part of an operation's target latency that a near upstream may be expected to take while a far one
 * would be faster. Up to here the caller gains nothing from the faster answer, and bytes between
 * zones are dear; a near upstream whose queue grows passes this long before its answers are late.
 */
const COMFORT_SHARE = 0.25;
/** Width of the random factor that spreads hosts over equal upstreams. */
const SPREAD = 0.2;

/**
 * Upstream for a read of an operation with the given target latency (milliseconds), among those not
 * to be avoided: the fastest of the own zone if that is comfortable, else of the own region, else the
 * fastest of all. If all are to be avoided, the one whose time of avoidance ends first.
 */
export function chooseUpstream(
  loads: readonly UpstreamLoad[],
  targetLatencyMs: number,
  now: number,
  random: RandomSource,
): UpstreamId | undefined {
  const open = loads.filter((load) => load.avoidUntil <= now);
  if (open.length === 0) return leastBy(loads, (load) => load.avoidUntil);
  const comfortMs = targetLatencyMs * COMFORT_SHARE;
  const comfortable = open.filter((load) => expectedMs(load) <= comfortMs);
  const within = (most: Distance): readonly UpstreamLoad[] =>
    reusable(comfortable).filter((load) => load.distance <= most);
  const choices = [within(Distance.SameZone), within(Distance.SameRegion), reusable(comfortable)];
  const candidates = choices.find((loads) => loads.length > 0) ?? open;
  return leastBy(candidates, (load) => expectedMs(load) * (1 + SPREAD * random.unit()));
}

/**
 * Those with the best reuse. Opening a connection takes the time of a short statement at the upstream, and
 * another workspace needs the one that is closed for it soon again.
 */
function reusable(loads: readonly UpstreamLoad[]): readonly UpstreamLoad[] {
  for (const reuse of [ConnectionAvailability.Ready, ConnectionAvailability.CanOpen]) {
    const found = loads.filter((load) => load.availability === reuse);
    if (found.length > 0) return found;
  }
  return loads;
}

function expectedMs(load: UpstreamLoad): number {
  const surcharge = load.isPrimary ? PRIMARY_SURCHARGE : 1;
  return load.meanMs * (1 + load.inFlight) * surcharge;
}

function leastBy(
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
