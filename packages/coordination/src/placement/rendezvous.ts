/**
 * Rendezvous (highest random weight) hashing: all hosts rank the candidates of a key identically
 * without exchanging messages, and the loss of a candidate moves only the keys of that candidate.
 */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;

/** FNV-1a over UTF-16 units with the finalizer of MurmurHash3; unsigned 32 bits. */
export function hash32(text: string): number {
  return finalizeHash(updateHash(FNV_OFFSET, text));
}

/** State of the hash after `text`, starting from `state`, so that a common prefix is hashed only once. */
function updateHash(state: number, text: string): number {
  let hash = state;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash;
}

function finalizeHash(state: number): number {
  let hash = Math.imul(state ^ (state >>> 16), MIX_A);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_B);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** A candidate with its weight for one key. */
interface Weighted<Id extends string> {
  readonly id: Id;
  readonly weight: number;
}

/** Candidates of `key` in order of preference. */
export function rankCandidates<Id extends string>(key: string, candidates: readonly Id[]): Id[] {
  const weighted = weigh(key, candidates);
  weighted.sort(byPreference);
  return weighted.map((entry) => entry.id);
}

/**
 * The `count` most preferred candidates of `key`; selected without sorting all, since there may be
 * many hosts.
 */
export function topCandidates<Id extends string>(
  key: string,
  candidates: readonly Id[],
  count: number,
): Id[] {
  const top: Weighted<Id>[] = [];
  for (const entry of weigh(key, candidates)) {
    const place = top.findIndex((held) => byPreference(entry, held) < 0);
    if (place >= 0) top.splice(place, 0, entry);
    else top.push(entry);
    if (top.length > count) top.pop();
  }
  return top.map((entry) => entry.id);
}

function weigh<Id extends string>(key: string, candidates: readonly Id[]): Weighted<Id>[] {
  const prefixState = updateHash(FNV_OFFSET, `${key}|`);
  return candidates.map((id) => ({ id, weight: finalizeHash(updateHash(prefixState, id)) }));
}

function byPreference(a: Weighted<string>, b: Weighted<string>): number {
  return b.weight - a.weight || (a.id < b.id ? -1 : 1);
}
