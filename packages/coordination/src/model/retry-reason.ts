/** Reasons for which the proxy itself tries a step again; label values of the retry counter. */
export enum RetryReason {
  PeerUnreachable = 'peer-unreachable',
  StaleReplica = 'stale-replica',
  ReadOnlyUpstream = 'read-only-upstream',
  ConnectFailed = 'connect-failed',
  ReadLost = 'read-lost',
  NotPrimary = 'not-primary',
  StoreFailed = 'store-failed',
  StoreConflict = 'store-conflict',
  WatchLost = 'watch-lost',
  UpstreamBusy = 'upstream-busy',
  LostPreparation = 'lost-preparation',
  UpstreamExcluded = 'upstream-excluded',
}
