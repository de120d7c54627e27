/**
 * Executes the actions of one promotion: swaps and reads in the store, fences and promotes upstreams,
 * and feeds each outcome back to the state machine.
 */
import type {
  GroupRecord,
  PromotionAction,
  PromotionEvent,
  PromotionStart,
  PromotionState,
  PromotionStep,
  UpstreamId,
} from '@gladespool/coordination';
import { advancePromotion, PromotionStage, startPromotion } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { PlatformStore } from '@gladespool/platform';
import { SwapOutcome } from '@gladespool/platform';
import { decodeRecord, encodeRecord, recordKey } from '@gladespool/protocol';
import type { ControlResult } from '@gladespool/upstreams';
import { fenceSql, promoteSql } from '@gladespool/upstreams';

/** Store, upstreams and log that a promotion uses, and its time limits. */
export interface PromotionPorts {
  readonly store: PlatformStore;
  /** Runs a control statement on an upstream. */
  readonly control: (upstream: UpstreamId, sql: string) => Promise<ControlResult>;
  readonly log: Logger;
  /** Time limit of one attempt, milliseconds. */
  readonly timeoutMs: number;
  /** Maximum wait for a majority among the upstreams that are not to be avoided, milliseconds. */
  readonly graceMs: number;
}

const READ_RETRY_MS = 50;

/** Time from the start of an attempt until each stage was reached, milliseconds; 0 if not reached. */
export interface PromotionTimes {
  readonly claimedMs: number;
  readonly fencedMs: number;
  readonly promotedMs: number;
  readonly publishedMs: number;
}

/** Final state and timing of an attempt. */
export interface PromotionResult {
  readonly state: PromotionState;
  readonly times: PromotionTimes;
}

/** Runs one attempt until it is done or abandoned. */
export function runPromotion(
  start: PromotionStart,
  ports: PromotionPorts,
): Promise<PromotionResult> {
  return new PromotionRunner(start, ports).run();
}

class PromotionRunner {
  private state: PromotionState;
  private readonly startedAt = performance.now();
  private readonly reachedAt = new Map<PromotionStage, number>();
  private settle: ((result: PromotionResult) => void) | undefined;

  constructor(
    private readonly start: PromotionStart,
    private readonly ports: PromotionPorts,
  ) {
    this.state = startPromotion(start).state;
  }

  run(): Promise<PromotionResult> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.handle({ kind: 'expired' });
      }, this.ports.timeoutMs);
      this.settle = (result) => {
        clearTimeout(timer);
        resolve(result);
      };
      this.applyStep(startPromotion(this.start));
    });
  }

  private handle(event: PromotionEvent): void {
    this.applyStep(advancePromotion(this.state, event));
  }

  private applyStep(step: PromotionStep): void {
    const before = this.state.stage;
    this.state = step.state;
    const { stage, record } = step.state;
    if (stage === PromotionStage.Fencing && stage !== before) {
      setTimeout(() => {
        this.handle({ kind: 'grace-over' });
      }, this.ports.graceMs);
    }
    if (stage !== before) {
      this.reachedAt.set(stage, performance.now() - this.startedAt);
      this.ports.log.info('promotion-stage', { group: record.group, term: record.term, stage });
    }
    if (stage === PromotionStage.Done || stage === PromotionStage.Abandoned) {
      this.settle?.({ state: this.state, times: this.times() });
      return;
    }
    for (const action of step.actions) void this.perform(action);
  }

  private async perform(action: PromotionAction): Promise<void> {
    switch (action.kind) {
      case 'swap':
        this.handle(await this.swap(action.record, action.expected));
        return;
      case 'read-record':
        this.handle(await this.readRecord());
        return;
      case 'fence':
        for (const upstream of action.upstreams) void this.fence(upstream, action.term);
        return;
      case 'promote': {
        const sql = promoteSql(action.term, action.lineage);
        const result = await this.ports.control(action.upstream, sql);
        if (result.isOk()) this.handle({ kind: 'promoted', report: result.value.report });
        else this.handle({ kind: 'promote-failed' });
      }
    }
  }

  private async swap(record: GroupRecord, expected: number): Promise<PromotionEvent> {
    const key = recordKey(record.group);
    const result = await this.ports.store.swap([{ key, value: encodeRecord(record), expected }]);
    if (result.isErr()) return { kind: 'swap-unknown' };
    return { kind: result.value === SwapOutcome.Swapped ? 'swapped' : 'conflict' };
  }

  /** Retries the read until the store replies or the time limit of the attempt expires. */
  private async readRecord(): Promise<PromotionEvent> {
    for (;;) {
      const result = await this.ports.store.read(recordKey(this.state.record.group));
      if (result.isOk()) {
        const record = decodeRecord(result.value?.value ?? '');
        return { kind: 'record-read', record, revision: result.value?.revision ?? 0 };
      }
      if (this.state.stage === PromotionStage.Abandoned) return { kind: 'expired' };
      await new Promise((resolve) => setTimeout(resolve, READ_RETRY_MS));
    }
  }

  /** Fences one upstream; retries while the attempt is in the fencing stage. */
  private async fence(upstream: UpstreamId, term: number): Promise<void> {
    while (this.state.stage === PromotionStage.Fencing) {
      const result = await this.ports.control(upstream, fenceSql(term));
      if (result.isOk()) {
        this.handle({ kind: 'fenced', report: result.value.report });
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, READ_RETRY_MS));
    }
  }

  private times(): PromotionTimes {
    const at = (stage: PromotionStage): number => this.reachedAt.get(stage) ?? 0;
    return {
      claimedMs: at(PromotionStage.Fencing),
      fencedMs: at(PromotionStage.Promoting),
      promotedMs: at(PromotionStage.Publishing),
      publishedMs: at(PromotionStage.Done),
    };
  }
}
