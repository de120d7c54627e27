/**
 * Log of one change of a primary; each line carries the group, the epoch that the change opens, and the cause.
 */
import type { PrimaryRecord } from '@gladespool/coordination';
import type { LogFields, Logger } from '@gladespool/observability';
import type { PromotionCause } from './promotion-cause.js';

/** Log of one attempt. */
export class PromotionLog {
  constructor(
    private readonly log: Logger,
    private readonly former: PrimaryRecord,
    private readonly cause: PromotionCause,
  ) {}

  /** Logs an event at level info. */
  info(event: string, fields: LogFields): void {
    const { group, epoch } = this.former;
    this.log.info(event, { group, epoch: epoch + 1, cause: this.cause, ...fields });
  }
}
