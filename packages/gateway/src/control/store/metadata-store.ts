/**
 * Interface of the metadata store: linearizable reads, watches, and conditional changes.
 */
import type { GladespoolError, StorePosition } from '@gladespool/coordination';
import type { Result } from 'neverthrow';

/** One key of the store. */
export interface StoreItem {
  readonly key: string;
  readonly value: string;
  /** Position of its latest change, in the era in which it was read. */
  readonly position: StorePosition;
}

/** All keys under a prefix. */
export interface StoreRange {
  readonly items: readonly StoreItem[];
  /** Position of the store at which the read began. */
  readonly position: StorePosition;
}

/** Result of reading one key. */
export interface StoreEntry {
  /** Undefined when the key does not exist. */
  readonly item: StoreItem | undefined;
  /** Position of the store at the read; only its era is set when the key does not exist. */
  readonly position: StorePosition;
}

/** One change reported by a watch. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoreItem }
  | { readonly kind: 'removed'; readonly key: string; readonly position: StorePosition };

/** Result of a watch. */
export type WatchResult =
  | {
      readonly kind: 'events';
      readonly events: readonly StoreEvent[];
      readonly position: StorePosition;
    }
  /** The store no longer has the requested changes; everything has to be read again. */
  | { readonly kind: 'compacted' };

/** Condition of a change: the key's latest change is at this position; revision 0 requires that it does not exist. */
export interface StoreCondition {
  readonly key: string;
  readonly position: StorePosition;
}

/** An atomic change of several keys. */
export interface StoreChange {
  readonly conditions: readonly StoreCondition[];
  readonly writes: readonly { readonly key: string; readonly value: string }[];
  readonly removals: readonly string[];
}

/** Result of a change; an error instead of it means that the change may or may not have been made. */
export type ChangeResult =
  { readonly kind: 'done'; readonly position: StorePosition } | { readonly kind: 'conflict' };

/** Text of a change's result for the log: its kind, or the error message. */
export function changeResultText(result: Result<ChangeResult, GladespoolError>): string {
  return result.isErr() ? result.error.message : result.value.kind;
}

/** Purpose of a call to the store; label of the call counter. */
export enum StorePurpose {
  Proof = 'proof',
  Follow = 'follow',
  Watch = 'watch',
  Register = 'register',
  Record = 'record',
}

/** Client of the metadata store. */
export interface MetadataStore {
  /** Reads all keys under a prefix; the read is linearizable. */
  range(
    prefix: string,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<StoreRange, GladespoolError>>;
  /** Reads one key; the read is linearizable. */
  read(
    key: string,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<StoreEntry, GladespoolError>>;
  /** Waits up to `waitMs` for changes after a position; the caller has to check that the result is of the same era. */
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
