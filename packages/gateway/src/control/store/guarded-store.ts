/**
 * Wraps the metadata store with checks of the era: answers of a previous era are logged and rejected, and a change
 * whose conditions belong to another era than the current one is not made.
 */
import type { GladespoolError, StorePosition } from '@gladespool/coordination';
import { gladespoolError, Step } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type {
  ChangeResult,
  MetadataStore,
  StoreChange,
  StoreEntry,
  StorePurpose,
  StoreRange,
  WatchResult,
} from './metadata-store.js';
import { eraKey } from './store-documents.js';

/** Source of the current era. */
export interface EraSource {
  /** Latest era that this host knows of. */
  readonly era: number;
}

/** Client of the store that accepts answers and makes changes of the current era only. */
export class GuardedStore implements MetadataStore {
  constructor(
    private readonly store: MetadataStore,
    private readonly known: EraSource,
    private readonly log: Logger,
  ) {}

  async range(
    prefix: string,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<StoreRange, GladespoolError>> {
    const range = await this.store.range(prefix, purpose, timeoutMs);
    return range.andThen((read) => this.requireCurrentEra(read, read.position, Step.StoreRead));
  }

  async read(
    key: string,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<StoreEntry, GladespoolError>> {
    const entry = await this.store.read(key, purpose, timeoutMs);
    return entry.andThen((read) => this.requireCurrentEra(read, read.position, Step.StoreRead));
  }

  async watch(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<Result<WatchResult, GladespoolError>> {
    const result = await this.store.watch(prefix, after, waitMs);
    return result.andThen((watched) =>
      watched.kind === 'events'
        ? this.requireCurrentEra(watched, watched.position, Step.StoreWatch)
        : ok(watched),
    );
  }

  /** If the answer is of another era than the conditions, it is unknown against which versions they were checked. */
  async change(
    change: StoreChange,
    purpose: StorePurpose,
    timeoutMs: number,
  ): Promise<Result<ChangeResult, GladespoolError>> {
    const { era } = this.known;
    if (change.conditions.some(({ position }) => position.era !== era)) {
      return ok({ kind: 'conflict' });
    }
    const result = await this.store.change(unlessNextEraOpened(change, era), purpose, timeoutMs);
    if (result.isErr() || result.value.kind === 'conflict') return result;
    const { position } = result.value;
    if (position.era === era || change.conditions.length === 0) return result;
    this.log.warn('store-change-in-other-era', { era, done_in: position.era });
    return err(
      gladespoolError(errorContext(Step.StoreWrite), 'change was made in another era of the store'),
    );
  }

  private requireCurrentEra<Answer>(
    answer: Answer,
    { era }: StorePosition,
    step: Step,
  ): Result<Answer, GladespoolError> {
    const { era: present } = this.known;
    if (era >= present) return ok(answer);
    this.log.warn('store-answer-of-former-era', { step, era, present });
    return err(
      gladespoolError(errorContext(step), 'answer belongs to a previous era of the store'),
    );
  }
}

/**
 * Adds the condition that the next era is not opened. A call without an answer may still be executed seconds later,
 * when its conditions can match again because a restored store reuses revisions.
 */
function unlessNextEraOpened(change: StoreChange, era: number): StoreChange {
  const next = { key: eraKey(era + 1), position: { era, revision: 0 } };
  return { ...change, conditions: [...change.conditions, next] };
}

function errorContext(step: Step): { readonly step: Step; readonly peer: string } {
  return { step, peer: 'metadata store' };
}
