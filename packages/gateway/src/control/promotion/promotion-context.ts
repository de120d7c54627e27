/**
 * Dependencies shared by all promotion attempts of one host.
 */
import type { AuthorityRules, FailoverRules } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { HomeDirectory } from '../../knowledge/home-directory.js';
import type { UpstreamProbe } from '../../home/upstream-probe.js';
import type { ClaimLock } from './claim-lock.js';
import type { HostListTracker } from '../hosts/host-list-tracker.js';
import type { HostRound } from '../hosts/host-round.js';
import type { MetadataStore } from '../store/metadata-store.js';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { PromotionPort } from './promotion-port.js';
import type { ProofRenewer } from '../proofs/proof-renewer.js';
import type { StoreView } from '../store/store-view.js';
import type { WriteHolds } from '../../knowledge/write-holds.js';

/** Dependencies of promotion attempts. */
export interface PromotionContext {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly directory: HomeDirectory;
  readonly store: MetadataStore;
  readonly view: StoreView;
  readonly proofs: ProofRenewer;
  readonly lists: HostListTracker;
  readonly calls: PeerCalls;
  readonly round: HostRound;
  readonly probe: UpstreamProbe;
  readonly holds: WriteHolds;
  readonly claimLock: ClaimLock;
  readonly port: PromotionPort;
  readonly authority: AuthorityRules;
  readonly rules: FailoverRules;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}
