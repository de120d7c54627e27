/**
 * Rendezvous (highest random weight) hashing: every host ranks the candidates of a key alike
 * without exchanging a message, and the loss of one candidate moves only that candidate's keys.
 */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;

/** FNV-1a over UTF-16 units with the finalizer of MurmurHash3; unsigned 32 bits. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_A);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_B);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Candidates of `key` in order of preference. */
export function rankCandidates<Id extends string>(key: string, candidates: readonly Id[]): Id[] {
  const weighted = candidates.map((id) => ({ id, weight: hash32(`${key}|${id}`) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map((entry) => entry.id);
}

/** The `count` preferred candidates of `key`. */
export function topCandidates<Id extends string>(
  key: string,
  candidates: readonly Id[],
  count: number,
): Id[] {
  return rankCandidates(key, candidates).slice(0, count);
}
