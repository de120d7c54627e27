/**
 * Whom a host asks whether they reach a primary that it misses itself.
 *
 * Load pattern: a primary is lost while the fleet is large. If all hosts were asked, each would open a
 * connection to a primary that may only be slow, hundreds at once against a cap of tens, and the host
 * that asks would have to open a link to everyone. A few hosts of each zone tell as well whether the
 * primary is lost or only out of reach for some, and no change of primary rests on their word alone: more
 * than half of all hosts have to give the former primary up.
 */
import type { AzId, HostId } from '../model/ids.js';
import { topCandidates } from '../placement/rendezvous.js';

/**
 * Hosts of each zone that are asked. 4: no single host of a zone decides for it, and at the sizes of
 * single digits a zone this is every host, as it was before fleets grew.
 */
export const REACH_SAMPLE_PER_ZONE = 4;

/**
 * The hosts that `asker` asks, one of each zone first, then a second one of each, and so on. Homes of
 * the group come first, since they have connections to the primary already; the others differ from
 * asker to asker, so that the same few are not asked by all.
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
