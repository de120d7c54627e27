/**
 * Times and bounds of a gateway host.
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

/** By how much a cold upstream's limit may be exceeded in any second. */
export interface WarmupTolerance {
  /** Factor on the statements of a second. */
  readonly overrun: number;
  /** Statements on top of that. */
  readonly slack: number;
}

/** Rules of one host. */
export interface GatewayRules {
  readonly home: HomeRules;
  readonly sync: SyncRules;
  readonly failover: FailoverRules;
  readonly retirement: RetirementRules;
  readonly lapse: ExpiryRules;
  readonly keys: KeyRules;
  /** By how much workspaces may overrun their limits. */
  readonly tolerance: LimitTolerance;
  /** By how much the statements of a cold upstream may exceed its limit. */
  readonly warmupTolerance: WarmupTolerance;
  /** Time within which upstreams of an evacuated zone get no work any more, milliseconds. */
  readonly evacuationMs: number;
  readonly drain: DrainTimes;
  /** Callers' connections at most. */
  readonly maxCallers: number;
  /** Time in which a caller has to start its session, milliseconds. */
  readonly startTimeoutMs: number;
}
