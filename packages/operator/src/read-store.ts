/**
 * Reads the published bundle and the status reports of availability zones from the platform's store.
 */
import type { GladespoolError } from '@gladespool/coordination';
import type { PlatformStore } from '@gladespool/platform';
import type { Bundle, BundleHead, ZoneStatus } from '@gladespool/protocol';
import {
  BUNDLE_HEAD_KEY,
  decodeHead,
  decodeZoneStatus,
  joinParts,
  partKey,
  readBundle,
  readManifest,
  ZONE_STATUS_PREFIX,
} from '@gladespool/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Bundle in the store with its head. */
export interface StoredBundle {
  readonly head: BundleHead;
  readonly bundle: Bundle;
}

/** Reads the bundle in the store; undefined if there is none or it is corrupt. */
export async function readStoredBundle(
  store: PlatformStore,
): Promise<Result<StoredBundle | undefined, GladespoolError>> {
  const read = await store.read(BUNDLE_HEAD_KEY);
  if (read.isErr()) return err(read.error);
  const head = read.value === undefined ? undefined : decodeHead(read.value.value);
  const manifest = head && readManifest(head.manifest);
  if (head === undefined || manifest === undefined) return ok(undefined);
  const texts: string[] = [];
  for (const part of manifest.parts) {
    const text = await store.read(partKey(part.hash));
    if (text.isErr()) return err(text.error);
    texts.push(text.value?.value ?? '');
  }
  const bundle = readBundle('store', joinParts(texts));
  return ok(bundle.isOk() ? { head, bundle: bundle.value } : undefined);
}

/** Reads the status reports of all availability zones; skips reports that cannot be decoded. */
export async function readZoneStatuses(
  store: PlatformStore,
): Promise<Result<readonly ZoneStatus[], GladespoolError>> {
  const values = await store.readPrefix(ZONE_STATUS_PREFIX);
  return values.map((list) =>
    list.map((value) => decodeZoneStatus(value.value)).filter((status) => status !== undefined),
  );
}
