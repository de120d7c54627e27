/**
 * What the gateway asks of the metadata store: linearizable reads, watches, and changes under a
 * condition.
 */
import type { GladespoolError, StorePosition } from '@gladespool/coordination';
import type { Result } from 'neverthrow';

/** One key of the store. */
export interface StoreItem {
  readonly key: string;
  readonly value: string;
  /** Position of its latest change, in the era in which the store showed it. */
  readonly position: StorePosition;
}

/** All keys under a prefix. */
export interface StoreRange {
  readonly items: readonly StoreItem[];
  /** Position of the store at which the read began. */
  readonly position: StorePosition;
}

/** One key as a read found it. */
export interface StoreEntry {
  /** Undefined when the key does not exist. */
  readonly item: StoreItem | undefined;
  /** Position of the store that the read showed; only its era is told when the key does not exist. */
  readonly position: StorePosition;
}

/** One change seen by a watch. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoreItem }
  | { readonly kind: 'removed'; readonly key: string; readonly position: StorePosition };

/** What a watch brought. */
export type WatchResult =
  | {
      readonly kind: 'events';
      readonly events: readonly StoreEvent[];
      readonly position: StorePosition;
    }
  /** The store does not have the changes asked for; everything has to be read anew. */
  | { readonly kind: 'compacted' };

/** A condition of a change: the key's latest change is this one; revision 0 means that it does not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly position: StorePosition;
}

/** A change of several keys, all or nothing. */
export interface StoreChange {
  readonly conditions: readonly StoreCondition[];
  readonly writes: readonly { readonly key: string; readonly value: string }[];
  readonly removals: readonly string[];
}

/** How a change ended; an error means that it may or may not have been done. */
export type ChangeResult =
  { readonly kind: 'done'; readonly position: StorePosition } | { readonly kind: 'conflict' };

/** How a change ended, in one word or the message of its error; for the log. */
export function changeResultText(result: Result<ChangeResult, GladespoolError>): string {
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
  /** Waits up to `waitMs` for changes after a position; whether the answer is of its era is for the caller to see. */
  watch(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<Result<WatchResult, GladespoolError>>;
  change(
    change: StoreChange,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<ChangeResult, GladespoolError>>;
}
