/**
 * Dependencies of the homes of one host, created for a board.
 */
import {
  DEFAULT_AUTHORITY,
  DEFAULT_OUTAGE_ESTIMATES,
  SeededRandom,
} from '@gladespool/coordination';
import { createLogger, HostMetrics } from '@gladespool/observability';
import type { GatewayBoard, HomeContext, UpstreamDriver } from '../../src/index.js';
import { HomeDirectory } from '../../src/knowledge/home-directory.js';
import { PromotionTracker } from '../../src/knowledge/promotion-tracker.js';
import { ReachabilityReports } from '../../src/knowledge/reachability-reports.js';
import { WriteHolds } from '../../src/knowledge/write-holds.js';

/** Time within which the use of an evacuated zone has to end, milliseconds. */
export const EVACUATION_MS = 5000;

/** Creates the context of homes that use `board`. */
export function homeContext(board: GatewayBoard, driver: UpstreamDriver): HomeContext {
  return {
    board,
    driver,
    rules: {
      authority: DEFAULT_AUTHORITY,
      connectTimeoutMs: 5,
      maxWaiting: 16,
      outageEstimates: DEFAULT_OUTAGE_ESTIMATES,
    },
    holds: new WriteHolds(board),
    promotionTracker: new PromotionTracker(board, 0),
    directory: new HomeDirectory(board),
    reachability: new ReachabilityReports(),
    random: new SeededRandom(1),
    evacuationMs: EVACUATION_MS,
    metrics: new HostMetrics(),
    log: createLogger('test'),
  };
}
