/**
 * What every change of a primary on one host works with.
 */
import type { AuthorityRules, FailoverRules } from '@gladespool/coordination';
import type { HostMetrics, Logger } from '@gladespool/observability';
import type { GatewayBoard, HostEntry } from '../../knowledge/board.js';
import type { HomeDirectory } from '../../knowledge/home-directory.js';
import type { UpstreamProbe } from '../../home/upstream-probe.js';
import type { ClaimLock } from './claim-lock.js';
import type { HostRound } from '../hosts/host-round.js';
import type { MetadataStore } from '../store/metadata-store.js';
import type { PeerCalls } from '../../peering/peer-calls.js';
import type { PromotionPort } from './promotion-call.js';
import type { ProofKeeper } from '../proofs/proof-keeper.js';
import type { StoreView } from '../store/store-view.js';
import type { WriteHolds } from '../../knowledge/write-holds.js';

/** What attempts work with. */
export interface PromotionContext {
  readonly self: HostEntry;
  readonly board: GatewayBoard;
  readonly directory: HomeDirectory;
  readonly store: MetadataStore;
  readonly view: StoreView;
  readonly proofs: ProofKeeper;
  readonly calls: PeerCalls;
  readonly round: HostRound;
  readonly probe: UpstreamProbe;
  readonly holds: WriteHolds;
  readonly claims: ClaimLock;
  readonly port: PromotionPort;
  readonly authority: AuthorityRules;
  readonly rules: FailoverRules;
  readonly metrics: HostMetrics;
  readonly log: Logger;
}
