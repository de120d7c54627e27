/**
 * Times and bounds of a gateway host.
 */
import type {
  FailoverRules,
  KeyRules,
  LapseRules,
  LimitTolerance,
  RetirementRules,
} from '@gladespool/coordination';
import type { SyncRules } from './control/proofs/sync-service.js';
import type { DrainTimes } from './entry/caller-server.js';
import type { HomeRules } from './home/group-home.js';

/** Rules of one host. */
export interface GatewayRules {
  readonly home: HomeRules;
  readonly sync: SyncRules;
  readonly failover: FailoverRules;
  readonly retirement: RetirementRules;
  readonly lapse: LapseRules;
  readonly keys: KeyRules;
  /** By how much workspaces may overrun their limits. */
  readonly tolerance: LimitTolerance;
  readonly drain: DrainTimes;
  /** Callers' connections at most. */
  readonly maxCallers: number;
  /** Time in which a caller has to start its session, milliseconds. */
  readonly startTimeoutMs: number;
}
