/**
 * Workspaces: which key opens which, and what an operation of a caller is admitted as.
 */
import { createHash } from 'node:crypto';
import type { RegionId, WorkspaceId } from './ids.js';

/** What a workspace may use, over all hosts together. */
export interface WorkspaceLimit {
  /** Operations a second in the long run. */
  readonly ratePerS: number;
  /** Operations that may come at once after a rest. */
  readonly burst: number;
}

/** A workspace as the operators configure it. */
export interface Workspace {
  readonly id: WorkspaceId;
  /** Undefined where nothing is limited. */
  readonly limit: WorkspaceLimit | undefined;
  /** Regions that its data may not leave; missing where it may be anywhere. */
  readonly regions?: readonly RegionId[];
}

declare const keyHashBrand: unique symbol;

/** Hash of a key; the key itself is kept nowhere and never logged. */
export type KeyHash = string & { readonly [keyHashBrand]: true };

/** Workspaces by the hashes of their keys; undefined where no keys are asked for. */
export type WorkspaceKeys = ReadonlyMap<KeyHash, Workspace> | undefined;

/** Hash of a caller's key. Looking up a hash tells nothing of the keys by the time that it takes. */
export function hashKey(key: string): KeyHash {
  return createHash('sha256').update(key).digest('base64') as KeyHash;
}

/** Whether keys go on to count on a host that can't learn of those taken away. */
export interface KeyRules {
  /**
   * Time after which a host that does not know its configuration to be the newest serves no key, milliseconds;
   * undefined where keys count until their removal is known.
   */
  readonly unconfirmedTtlMs: number | undefined;
}

/** Whether keys count at `now` by a configuration that was surely the newest at `confirmedAt`. */
export function areKeysValid(confirmedAt: number, now: number, rules: KeyRules): boolean {
  const { unconfirmedTtlMs } = rules;
  return unconfirmedTtlMs === undefined || now - confirmedAt <= unconfirmedTtlMs;
}

/** What an operation is admitted as. */
export type Admission =
  /** It needs no key and belongs to no workspace. */
  | { readonly kind: 'open' }
  | { readonly kind: 'workspace'; readonly workspace: Workspace }
  | { readonly kind: 'unknown-key' };

const OPEN: Admission = { kind: 'open' };
const UNKNOWN_KEY: Admission = { kind: 'unknown-key' };

/** Admits an operation on a route by the keys in force when it begins. */
export function admit(isPublic: boolean, keys: WorkspaceKeys, key: KeyHash): Admission {
  if (isPublic || keys === undefined) return OPEN;
  const workspace = keys.get(key);
  return workspace === undefined ? UNKNOWN_KEY : { kind: 'workspace', workspace };
}
