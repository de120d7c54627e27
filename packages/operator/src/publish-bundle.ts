/**
 * Publishes a signed bundle: first its parts, keyed by content hash, then the head with a
 * compare-and-swap against the version that the bundle is based on.
 */
import type { GladespoolError } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { PlatformStore, StoredValue } from '@gladespool/platform';
import { SwapOutcome } from '@gladespool/platform';
import type {
  Bundle,
  BundleHead,
  BundlePart,
  BundleSignature,
  ChainLink,
} from '@gladespool/protocol';
import {
  BUNDLE_HEAD_KEY,
  decodeHead,
  encodeHead,
  partKey,
  readManifest,
  splitBundle,
} from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Signed bundle to publish. */
export interface Publication {
  readonly bundle: Bundle;
  readonly signatures: readonly BundleSignature[];
  /** Unique id of this publication; repeating the same publication uses the same id. */
  readonly change: string;
}

/** Reason why a bundle was rejected without any change to the version in force. */
export enum PublishRefusal {
  /** The store holds a different version than the bundle is based on. */
  StaleBase = 'stale-base',
  /** Fewer valid signatures than the bundle in force requires. */
  Unauthorized = 'unauthorized',
}

/** Outcome of a publication, if it is known. */
export type PublishOutcome =
  | { readonly kind: 'published'; readonly version: number }
  | {
      readonly kind: 'refused';
      readonly reason: PublishRefusal;
      /** Version that the store holds. */
      readonly present: number;
      /** Change id of the version that the store holds. */
      readonly change: string;
    };

/** Maximum total length of part texts embedded in the head; the store accepts values of up to 1 MB. */
const MAX_FRESH_LENGTH = 256 * 1024;
const CONTEXT = { step: Step.Bundle, peer: 'store' };
const READ_BACK_ATTEMPTS = 5;
const READ_BACK_PAUSE_MS = 200;

/**
 * Publishes a bundle.
 *
 * @returns an error if the store did not answer and the outcome could not be read back
 */
export async function publishBundle(
  store: PlatformStore,
  publication: Publication,
): Promise<Result<PublishOutcome, GladespoolError>> {
  const read = await store.read(BUNDLE_HEAD_KEY);
  if (read.isErr()) return err(read.error);
  const present = read.value;
  const held = present === undefined ? undefined : decodeHead(present.value);
  if (held?.change === publication.change) return ok(publishedOutcome(publication));
  const version = versionOf(held);
  if (version !== publication.bundle.base) return ok(staleOutcome(held));
  const parts = await putParts(store, publication.bundle);
  if (parts.isErr()) return err(parts.error);
  const head = await createHead(store, publication, held);
  if (head.isErr()) return err(head.error);
  return swapHead(store, publication, head.value, present);
}

/** Returns the version of a head; 0 if there is none. */
export function versionOf(head: BundleHead | undefined): number {
  return head === undefined ? 0 : (readManifest(head.manifest)?.version ?? 0);
}

async function swapHead(
  store: PlatformStore,
  publication: Publication,
  head: BundleHead,
  present: StoredValue | undefined,
): Promise<Result<PublishOutcome, GladespoolError>> {
  const swap = {
    key: BUNDLE_HEAD_KEY,
    value: encodeHead(head),
    expected: present?.revision ?? 0,
  };
  const swapped = await store.swap([swap]);
  if (swapped.isOk() && swapped.value === SwapOutcome.Swapped)
    return ok(publishedOutcome(publication));
  return readBack(store, publication);
}

/** Determines the outcome after a conflict or a lost reply by reading the head from the store. */
async function readBack(
  store: PlatformStore,
  publication: Publication,
): Promise<Result<PublishOutcome, GladespoolError>> {
  for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
    const read = await store.read(BUNDLE_HEAD_KEY);
    if (read.isOk()) {
      const head = read.value === undefined ? undefined : decodeHead(read.value.value);
      const isOwn = head?.change === publication.change;
      if (isOwn) return ok(publishedOutcome(publication));
      if (versionOf(head) >= publication.bundle.version) return ok(staleOutcome(head));
      return err(
        gladespoolError(CONTEXT, 'the store did not accept the bundle; nothing was changed'),
      );
    }
    await new Promise((resolve) => setTimeout(resolve, READ_BACK_PAUSE_MS));
  }
  const message = 'reply lost and the store cannot be read: run publish again with the same file';
  return err(gladespoolError(CONTEXT, message));
}

async function putParts(
  store: PlatformStore,
  bundle: Bundle,
): Promise<Result<undefined, GladespoolError>> {
  for (const part of splitBundle(bundle).parts) {
    const key = partKey(part.hash);
    const swapped = await store.swap([{ key, value: part.text, expected: 0 }]);
    if (swapped.isErr()) {
      const held = await store.read(key);
      if (held.isErr()) return err(held.error);
      if (held.value === undefined) return err(swapped.error);
    }
  }
  return ok(undefined);
}

async function createHead(
  store: PlatformStore,
  publication: Publication,
  held: BundleHead | undefined,
): Promise<Result<BundleHead, GladespoolError>> {
  const { manifest, parts } = splitBundle(publication.bundle);
  const signatures = publication.signatures.map(({ operator, signature }) => ({
    operator,
    signature: signature.toString('base64'),
  }));
  const chain = await chainAfter(store, held);
  return chain.map((links) => ({
    manifest,
    signatures,
    change: publication.change,
    chain: [...links],
    fresh: missingTexts(parts, held),
  }));
}

/** Returns the texts of the parts that `held` does not list; none if they exceed the size limit of the head. */
function missingTexts(parts: readonly BundlePart[], held: BundleHead | undefined): string[] {
  const known = held === undefined ? undefined : readManifest(held.manifest);
  const hashes = new Set(known?.parts.map((part) => part.hash));
  const texts = parts.filter((part) => !hashes.has(part.hash)).map((part) => part.text);
  const length = texts.reduce((sum, text) => sum + text.length, 0);
  return length <= MAX_FRESH_LENGTH ? texts : [];
}

/** Returns the chain of heads, with the current head appended if its operators differ from the last entry's. */
async function chainAfter(
  store: PlatformStore,
  held: BundleHead | undefined,
): Promise<Result<readonly ChainLink[], GladespoolError>> {
  const coreHash = held && readManifest(held.manifest)?.parts[0].hash;
  if (held === undefined || coreHash === undefined) return ok([]);
  const core = await store.read(partKey(coreHash));
  if (core.isErr()) return err(core.error);
  const text = core.value?.value ?? '';
  const last = held.chain.at(-1);
  if (last !== undefined && operatorsOf(last.core) === operatorsOf(text)) return ok(held.chain);
  const { manifest, signatures } = held;
  return ok([...held.chain, { manifest, signatures, core: text }]);
}

/** Returns a core text without its version numbers, which leaves the operators and the threshold. */
function operatorsOf(core: string): string {
  return core
    .split('\n')
    .filter((line) => !/^(?:version|base)=/.test(line))
    .join('\n');
}

function publishedOutcome(publication: Publication): PublishOutcome {
  return { kind: 'published', version: publication.bundle.version };
}

function staleOutcome(head: BundleHead | undefined): PublishOutcome {
  return {
    kind: 'refused',
    reason: PublishRefusal.StaleBase,
    present: versionOf(head),
    change: head?.change ?? '',
  };
}
