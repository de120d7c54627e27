/**
 * Sends callers to other hosts while this one is cut off: without a proof it may use no primary, and
 * soon no replica either, since nothing tells it how old a replica's data is.
 */
import type { AuthorityRules } from '@gladespool/coordination';
import type { Logger } from '@gladespool/observability';
import type { GatewayBoard } from '../knowledge/board.js';

/** What the guard works on. */
export interface IsolationGuardOptions {
  readonly board: GatewayBoard;
  readonly authority: AuthorityRules;
  /**
   * Time after which the balancer has noticed that this host takes no callers, milliseconds; also the time
   * between two times of sending away.
   */
  readonly balancerDelayMs: number;
  /** Ends every session where it rests; callers come back by way of the balancer. */
  readonly closeSessionsWhenIdle: () => void;
  readonly log: Logger;
}

/** Guard of one host. */
export class IsolationGuard {
  /** Local time at which this guard first saw the present cut; undefined while there is none. */
  private since: number | undefined;
  /** Local time at which callers were last sent away in the present cut. */
  private sentAwayAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: IsolationGuardOptions) {}

  /** Whether this host is cut off at `now`; also before its first proof. */
  isIsolated(now: number): boolean {
    const { board, authority } = this.options;
    return board.isIsolated(now, authority);
  }

  /** Notes changes, and sends callers away once the balancer sends them elsewhere. */
  tick(now: number): void {
    if (!this.isIsolated(now)) {
      this.noteRejoined(now);
      return;
    }
    this.noteIsolated(now);
    const { balancerDelayMs: noticedAfterMs, closeSessionsWhenIdle: sendAway } = this.options;
    const noticedAt = (this.since ?? now) + noticedAfterMs;
    if (now < noticedAt || now - this.sentAwayAt < noticedAfterMs) return;
    this.sentAwayAt = now;
    sendAway();
  }

  private noteIsolated(now: number): void {
    if (this.since !== undefined) return;
    this.since = now;
    const age = Math.round(now - this.options.board.latestProofAt);
    this.options.log.info('isolated', { proof_age_ms: age });
  }

  private noteRejoined(now: number): void {
    if (this.since === undefined) return;
    this.options.log.info('rejoined', { after_ms: Math.round(now - this.since) });
    this.since = undefined;
    this.sentAwayAt = Number.NEGATIVE_INFINITY;
  }
}
