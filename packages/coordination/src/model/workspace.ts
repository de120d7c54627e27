/**
 * Workspaces: which key belongs to which, and how an operation of a caller is admitted.
 */
import { createHash } from 'node:crypto';
import type { RegionId, WorkspaceId } from './ids.js';

/** Rate limit of a workspace over all hosts together. */
export interface WorkspaceLimit {
  /** Sustained rate, operations per second. */
  readonly ratePerS: number;
  /** Operations that may arrive at once after a period without any. */
  readonly burst: number;
}

/** A workspace as configured by the operators. */
export interface Workspace {
  readonly id: WorkspaceId;
  /** Undefined if the workspace is not limited. */
  readonly limit: WorkspaceLimit | undefined;
  /** Regions that its data may not leave; missing if it may be in any region. */
  readonly regions?: readonly RegionId[];
}

declare const keyHashBrand: unique symbol;

/** Hash of a key. The key itself is never stored or logged. */
export type KeyHash = string & { readonly [keyHashBrand]: true };

/** Workspaces by the hashes of their keys; undefined if no keys are required. */
export type WorkspaceKeys = ReadonlyMap<KeyHash, Workspace> | undefined;

/**
 * Hashes a caller's key. Keys are looked up by hash, so that the time of a look-up reveals nothing
 * about them.
 */
export function hashKey(key: string): KeyHash {
  return createHash('sha256').update(key).digest('base64') as KeyHash;
}

/** Validity of keys on a host that can't learn which keys have been revoked. */
export interface KeyRules {
  /**
   * Time after which a host that can't confirm that its configuration is the latest accepts no key,
   * milliseconds; undefined if keys stay valid until the host learns of their revocation.
   */
  readonly unconfirmedTtlMs: number | undefined;
}

/**
 * Whether keys are valid at `now` under a configuration that was last confirmed as the latest at
 * `confirmedAt`.
 */
export function areKeysValid(confirmedAt: number, now: number, rules: KeyRules): boolean {
  const { unconfirmedTtlMs } = rules;
  return unconfirmedTtlMs === undefined || now - confirmedAt <= unconfirmedTtlMs;
}

/** Result of the admission of an operation. */
export type Admission =
  /** It needs no key and belongs to no workspace. */
  | { readonly kind: 'open' }
  | { readonly kind: 'workspace'; readonly workspace: Workspace }
  | { readonly kind: 'unknown-key' };

const OPEN: Admission = { kind: 'open' };
const UNKNOWN_KEY: Admission = { kind: 'unknown-key' };

/** Admits an operation on a route by the keys in force when it starts. */
export function admit(isPublic: boolean, keys: WorkspaceKeys, key: KeyHash): Admission {
  if (isPublic || keys === undefined) return OPEN;
  const workspace = keys.get(key);
  return workspace === undefined ? UNKNOWN_KEY : { kind: 'workspace', workspace };
}
