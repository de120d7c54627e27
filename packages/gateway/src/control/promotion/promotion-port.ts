/**
 * The platform's call that makes an upstream the primary of its group.
 */
import type { GladespoolError, GroupId, HostId, UpstreamId } from '@gladespool/coordination';
import type { Result } from 'neverthrow';

/** One call for a promotion. */
export interface PromotionRequest {
  readonly group: GroupId;
  readonly upstream: UpstreamId;
  readonly holder: HostId;
  readonly fence: number;
  readonly timeoutMs: number;
}

/** How the call ended. */
export enum PromotionResult {
  Done = 'done',
  /** That upstream does not run, or the fence is too low. */
  Refused = 'refused',
  /** Not now: too many calls, or the platform can't serve it. */
  RetryLater = 'later',
}

/** Calls for promotions; an error means that the promotion may or may not come about. */
export interface PromotionPort {
  promote(req: PromotionRequest): Promise<Result<PromotionResult, GladespoolError>>;
}
