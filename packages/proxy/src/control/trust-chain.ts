/**
 * Follows changes of the trusted operators. Each link of the chain is a head that changed the operators,
 * signed by the operators trusted before it. A host that holds an old bundle, or only its settings,
 * derives the currently trusted operators from the chain.
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
 * Returns the operators and the signature threshold that apply to a head of `version`.
 *
 * @param trust - operators trusted as of version `since`
 * @returns `trust` updated by every valid link between `since` and `version`, up to the first link
 * that is not authorized.
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
