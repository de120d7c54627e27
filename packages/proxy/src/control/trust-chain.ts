/**
 * Follows changes of operators: each link of the chain is a head that changed who may sign, signed
 * by those who could before. A host that holds an old bundle, or only its settings, learns in this
 * way whose signatures count now.
 */
import type { ChainLink, TrustRoot } from '@gladespool/protocol';
import {
  hashPart,
  isAuthorized,
  readBundleCore,
  readManifest,
  signaturesOf,
} from '@gladespool/protocol';

/**
 * Trust in force for a head of `version`.
 *
 * @param trust - operators trusted after version `since`
 * @returns `trust` followed through every valid link between `since` and `version`; the first link
 * that isn't authorized ends the walk.
 */
export function trustAfterChain(
  trust: TrustRoot,
  since: number,
  chain: readonly ChainLink[],
  version: number,
): TrustRoot {
  let current = trust;
  for (const link of chain) {
    const manifest = readManifest(link.manifest);
    if (manifest === undefined || manifest.version <= since) continue;
    if (manifest.version >= version) break;
    if (!isAuthorized(link.manifest, signaturesOf(link), current)) break;
    if (hashPart(link.core) !== manifest.parts[0].hash) break;
    const core = readBundleCore('chain', link.core);
    if (core.isErr()) break;
    current = { operators: core.value.operators, threshold: core.value.threshold };
  }
  return current;
}
