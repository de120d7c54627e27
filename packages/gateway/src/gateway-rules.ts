/**
 * Settings of a gateway host: timeouts, limits and tolerances.
 */
import type {
  FailoverRules,
  KeyRules,
  ExpiryRules,
  LimitTolerance,
  RetirementRules,
} from '@gladespool/coordination';
import type { SyncRules } from './control/proofs/sync-service.js';
import type { DrainTimes } from './entry/caller-server.js';
import type { HomeRules } from './home/group-home.js';

/** How far the statements sent to an upstream that is still warming up may exceed its limit in any second. */
export interface WarmupTolerance {
  /** Factor applied to the limit of statements per second. */
  readonly overrun: number;
  /** Statements allowed in addition. */
  readonly slack: number;
}

/** Settings of one gateway host. */
export interface GatewayRules {
  readonly home: HomeRules;
  readonly sync: SyncRules;
  readonly failover: FailoverRules;
  readonly retirement: RetirementRules;
  readonly expiry: ExpiryRules;
  readonly keys: KeyRules;
  /** How far workspaces may exceed their rate limits. */
  readonly tolerance: LimitTolerance;
  /** How far the statements sent to an upstream that is still warming up may exceed its limit. */
  readonly warmupTolerance: WarmupTolerance;
  /** Time after the start of an evacuation by which upstreams of the zone receive no more work, milliseconds. */
  readonly evacuationMs: number;
  readonly drain: DrainTimes;
  /** Maximum number of caller connections. */
  readonly maxCallers: number;
  /** Time within which a caller has to send its start message, milliseconds. */
  readonly startTimeoutMs: number;
}
