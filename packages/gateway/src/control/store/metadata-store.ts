/**
 * What the gateway asks of the metadata store: linearizable reads, watches, and changes under a
 * condition.
 */
import type { GladespoolError } from '@gladespool/coordination';
import type { Result } from 'neverthrow';

/** One key of the store. */
export interface StoreItem {
  readonly key: string;
  readonly value: string;
  /** Revision of its latest change. */
  readonly revision: number;
}

/** All keys under a prefix. */
export interface StoreRange {
  readonly items: readonly StoreItem[];
  /** Revision of the store at which the read began. */
  readonly revision: number;
}

/** One key as a read found it. */
export interface StoreEntry {
  /** Undefined when the key does not exist. */
  readonly item: StoreItem | undefined;
  /** Revision of the store that the read showed; 0 when the key does not exist. */
  readonly revision: number;
}

/** One change seen by a watch. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoreItem }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: number };

/** What a watch brought. */
export type WatchResult =
  | { readonly kind: 'events'; readonly events: readonly StoreEvent[]; readonly revision: number }
  /** The store no longer has the changes asked for; everything has to be read anew. */
  | { readonly kind: 'compacted' };

/** A condition of a change: the key has this revision; 0 means that it does not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly revision: number;
}

/** A change of several keys, all or nothing. */
export interface StoreChange {
  readonly conditions: readonly StoreCondition[];
  readonly writes: readonly { readonly key: string; readonly value: string }[];
  readonly removals: readonly string[];
}

/** How a change ended; an error means that it may or may not have been done. */
export type ChangeResult =
  { readonly kind: 'done'; readonly revision: number } | { readonly kind: 'conflict' };

/** How a change ended, in one word or the message of its error; for the log. */
export function changeEnd(result: Result<ChangeResult, GladespoolError>): string {
  return result.isErr() ? result.error.message : result.value.kind;
}

/** What a call to the store is for; label of its counter. */
export enum StorePurpose {
  Proof = 'proof',
  Follow = 'follow',
  Watch = 'watch',
  Register = 'register',
  Record = 'record',
}

/** Client of the metadata store. */
export interface MetadataStore {
  /** Reads all keys under a prefix, never stale. */
  range(
    prefix: string,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<StoreRange, GladespoolError>>;
  /** Reads one key, never stale. */
  read(
    key: string,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<StoreEntry, GladespoolError>>;
  /** Waits up to `waitMs` for changes after a revision. */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<Result<WatchResult, GladespoolError>>;
  change(
    change: StoreChange,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<ChangeResult, GladespoolError>>;
}
