/**
 * Selects the hosts that are asked whether they reach a primary that this host does not reach.
 *
 * Load pattern: a primary fails in a large fleet. If all hosts were asked, each would open a
 * connection to a primary that may only be slow, hundreds at once against a limit of tens, and the
 * asking host would have to open a link to every host. A few hosts of each zone show just as well
 * whether the primary has failed or is unreachable for some hosts only. No change of primary rests
 * on their answers alone: more than half of all hosts have to release the former primary.
 */
import type { AzId, HostId } from '../model/ids.js';
import { topCandidates } from '../placement/rendezvous.js';

/**
 * Number of hosts per zone that are asked. 4: no single host decides for its zone, and in zones of
 * up to four hosts this is every host.
 */
export const REACH_SAMPLE_PER_ZONE = 4;

/**
 * The hosts that `asker` asks: one of each zone, then a second one of each zone, and so on. Homes
 * of the group come first, since they already have connections to the primary; the other hosts
 * differ from asker to asker, so that the same few are not asked by all.
 */
export function reachSample(
  asker: HostId,
  zones: ReadonlyMap<AzId, readonly HostId[]>,
  homes: ReadonlyMap<AzId, readonly HostId[]>,
  perZone: number = REACH_SAMPLE_PER_ZONE,
): readonly HostId[] {
  const samples = [...zones].map(([az, hosts]) => {
    const others = hosts.filter((host) => host !== asker);
    return sampleOf(asker, others, homes.get(az) ?? [], perZone);
  });
  const places = Array.from({ length: perZone }, (_, place) => place);
  return places.flatMap((place) => samples.flatMap((sample) => sample.slice(place, place + 1)));
}

function sampleOf(
  asker: HostId,
  hosts: readonly HostId[],
  homes: readonly HostId[],
  count: number,
): readonly HostId[] {
  const isHome = new Set(homes);
  const first = hosts.filter((host) => isHome.has(host)).slice(0, count);
  const rest = hosts.filter((host) => !isHome.has(host));
  return [...first, ...topCandidates(`reach|${asker}`, rest, count - first.length)];
}
