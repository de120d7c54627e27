/**
 * Port to the platform's call that promotes an upstream to primary of its group.
 */
import type { GladespoolError, GroupId, HostId, UpstreamId } from '@gladespool/coordination';
import type { Result } from 'neverthrow';

/** A request for a promotion. */
export interface PromotionRequest {
  readonly group: GroupId;
  readonly upstream: UpstreamId;
  readonly holder: HostId;
  readonly fence: number;
  readonly timeoutMs: number;
}

/** Result of a promotion request. */
export enum PromotionResult {
  Done = 'done',
  /** The upstream does not run, or the fence is too low. */
  Refused = 'refused',
  /** Not at present: too many calls, or the platform cannot serve the request. */
  RetryLater = 'later',
}

/** Requests promotions; an error means that the promotion may or may not take effect. */
export interface PromotionPort {
  promote(req: PromotionRequest): Promise<Result<PromotionResult, GladespoolError>>;
}
