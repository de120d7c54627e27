/**
 * Publishes a signed bundle: parts first, addressed by content, then the head by compare-and-swap
 * from the version that the bundle was made from.
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

/** A bundle ready to be published. */
export interface Publication {
  readonly bundle: Bundle;
  readonly signatures: readonly BundleSignature[];
  /** Unique id of this publishing. */
  readonly change: string;
}

/** Why a bundle was not published; nothing was changed. */
export enum PublishRefusal {
  /** Another bundle came first. */
  StaleBase = 'stale-base',
  /** Not enough valid signatures for the bundle in force. */
  Unauthorized = 'unauthorized',
}

/** Outcome of a publishing whose result is certain. */
export type PublishOutcome =
  | { readonly kind: 'published'; readonly version: number }
  | {
      readonly kind: 'refused';
      readonly reason: PublishRefusal;
      /** Version in the store. */
      readonly present: number;
      /** Change id of the version in the store. */
      readonly change: string;
    };

/** Longest texts that travel inside the head; the store takes values of 1 MB. */
const MOST_FRESH_LENGTH = 256 * 1024;
const PLACE = { step: Step.Bundle, peer: 'store' };
const READ_BACK_TRIES = 5;
const READ_BACK_PAUSE_MS = 200;

/** Publishes; an error means that the store did not answer and the outcome could not be read back. */
export async function publishBundle(
  store: PlatformStore,
  publication: Publication,
): Promise<Result<PublishOutcome, GladespoolError>> {
  const read = await store.read(BUNDLE_HEAD_KEY);
  if (read.isErr()) return err(read.error);
  const present = read.value;
  const held = present === undefined ? undefined : decodeHead(present.value);
  if (held?.change === publication.change) return ok(published(publication));
  const version = versionOf(held);
  if (version !== publication.bundle.base) return ok(stale(held));
  const parts = await putParts(store, publication.bundle);
  if (parts.isErr()) return err(parts.error);
  const head = await headOf(store, publication, held);
  if (head.isErr()) return err(head.error);
  return swapHead(store, publication, head.value, present);
}

/** Version of a head; 0 when there is none. */
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
  if (swapped.isOk() && swapped.value === SwapOutcome.Swapped) return ok(published(publication));
  return readBack(store, publication);
}

/** Settles a conflict or a lost reply by what the store holds. */
async function readBack(
  store: PlatformStore,
  publication: Publication,
): Promise<Result<PublishOutcome, GladespoolError>> {
  for (let attempt = 0; attempt < READ_BACK_TRIES; attempt += 1) {
    const read = await store.read(BUNDLE_HEAD_KEY);
    if (read.isOk()) {
      const head = read.value === undefined ? undefined : decodeHead(read.value.value);
      const mine = head?.change === publication.change;
      if (mine) return ok(published(publication));
      if (versionOf(head) >= publication.bundle.version) return ok(stale(head));
      return err(gladespoolError(PLACE, 'the store did not take the bundle; nothing was changed'));
    }
    await new Promise((resolve) => setTimeout(resolve, READ_BACK_PAUSE_MS));
  }
  const message = 'reply lost and the store can not be read: run publish again with the same file';
  return err(gladespoolError(PLACE, message));
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

async function headOf(
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
    fresh: freshTexts(parts, held),
  }));
}

/** Texts of the parts that `held` lacks; none when they would make the head too large. */
function freshTexts(parts: readonly BundlePart[], held: BundleHead | undefined): string[] {
  const known = held === undefined ? undefined : readManifest(held.manifest);
  const hashes = new Set(known?.parts.map((part) => part.hash));
  const texts = parts.filter((part) => !hashes.has(part.hash)).map((part) => part.text);
  const length = texts.reduce((sum, text) => sum + text.length, 0);
  return length <= MOST_FRESH_LENGTH ? texts : [];
}

/** Chain with the present head added when its operators differ from those before. */
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

/** The part of a core text that names operators and threshold, without version numbers. */
function operatorsOf(core: string): string {
  return core
    .split('\n')
    .filter((line) => !/^(?:version|base)=/.test(line))
    .join('\n');
}

function published(publication: Publication): PublishOutcome {
  return { kind: 'published', version: publication.bundle.version };
}

function stale(head: BundleHead | undefined): PublishOutcome {
  return {
    kind: 'refused',
    reason: PublishRefusal.StaleBase,
    present: versionOf(head),
    change: head?.change ?? '',
  };
}
