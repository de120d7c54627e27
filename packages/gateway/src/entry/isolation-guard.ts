/**
 * Closes the sessions of callers while this host is isolated, so that they reconnect to other hosts. Without a proof
 * the host may not use any primary, and soon no replica either, as it cannot determine the age of a replica's data.
 */
import type { AuthorityRules } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard } from '../knowledge/board.js';

/** Dependencies and settings of the guard. */
export interface IsolationGuardOptions {
  readonly board: GatewayBoard;
  readonly authority: AuthorityRules;
  /**
   * Time after which the load balancer has noticed that this host is not ready, milliseconds; also the interval at
   * which sessions are closed.
   */
  readonly balancerDelayMs: number;
  /** Closes every session as soon as it is idle; callers reconnect through the load balancer. */
  readonly closeSessionsWhenIdle: () => void;
  readonly log: Logger;
}

export class IsolationGuard {
  /** Local time at which the current isolation was first observed; undefined if the host is not isolated. */
  private isolatedSince: number | undefined;
  /** Local time at which sessions were last closed in the current isolation. */
  private sessionsClosedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: IsolationGuardOptions) {}

  /** Whether this host is isolated at `now`; also true before its first proof. */
  isIsolated(now: number): boolean {
    const { board, authority } = this.options;
    return board.isIsolated(now, authority);
  }

  /** Logs changes, and closes sessions once the load balancer routes callers to other hosts. */
  tick(now: number): void {
    if (!this.isIsolated(now)) {
      this.endIsolation(now);
      return;
    }
    this.beginIsolation(now);
    const { balancerDelayMs, closeSessionsWhenIdle } = this.options;
    const firstCloseAt = (this.isolatedSince ?? now) + balancerDelayMs;
    if (now < firstCloseAt || now - this.sessionsClosedAt < balancerDelayMs) return;
    this.sessionsClosedAt = now;
    closeSessionsWhenIdle();
  }

  private beginIsolation(now: number): void {
    if (this.isolatedSince !== undefined) return;
    this.isolatedSince = now;
    const age = Math.round(now - this.options.board.latestProofAt);
    this.options.log.info('isolated', { proof_age_ms: age });
  }

  private endIsolation(now: number): void {
    if (this.isolatedSince === undefined) return;
    this.options.log.info('rejoined', { after_ms: Math.round(now - this.isolatedSince) });
    this.isolatedSince = undefined;
    this.sessionsClosedAt = Number.NEGATIVE_INFINITY;
  }
}
